#include "dewbeam/src/admission/kv_memory.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::admission {

namespace {

auto find(kv_memory& memory, kv_owner owner)
{
    return std::find_if(memory.m_grants.begin(), memory.m_grants.end(),
                        [&](const kv_grant& grant) { return grant.m_owner == owner; });
}

}  // namespace

token_count reservation_of(const kv_options& options, token_count prompt, token_count output_bound)
{
    const double share = static_cast<double>(output_bound.m_count) * options.m_output_share;
    return prompt + token_count{static_cast<std::int64_t>(std::ceil(share))};
}

kv_outcome reserve(kv_memory& memory, kv_owner owner, token_count prompt, token_count output_bound)
{
    if (prompt + output_bound > memory.m_options.m_total) {
        return kv_outcome::never;
    }
    const auto wanted = reservation_of(memory.m_options, prompt, output_bound);
    if (memory.m_reserved + wanted > memory.m_options.m_total) {
        return kv_outcome::wait;
    }
    memory.m_grants.push_back({owner, wanted, prompt});
    memory.m_reserved += wanted;
    return kv_outcome::granted;
}

std::vector<kv_owner> grow(kv_memory& memory, kv_owner owner, token_count tokens)
{
    std::vector<kv_owner> evicted;
    const auto place = find(memory, owner);
    if (place == memory.m_grants.end()) {
        return evicted;
    }
    place->m_used += tokens;
    if (place->m_used <= place->m_reserved) {
        return evicted;
    }
    memory.m_reserved += place->m_used - place->m_reserved;
    place->m_reserved = place->m_used;
    while (memory.m_reserved > memory.m_options.m_total) {
        evicted.push_back(memory.m_grants.back().m_owner);
        memory.m_reserved -= memory.m_grants.back().m_reserved;
        memory.m_grants.pop_back();
    }
    return evicted;
}

void release(kv_memory& memory, kv_owner owner)
{
    const auto place = find(memory, owner);
    if (place == memory.m_grants.end()) {
        return;
    }
    memory.m_reserved -= place->m_reserved;
    memory.m_grants.erase(place);
}

}  // namespace dewbeam::admission
