#include "dewbeam/src/routing/prefix_index.h"

#include <algorithm>

namespace dewbeam::routing {

namespace {

/// Entries that share a bucket; the one with the oldest confirmation gives way.
constexpr std::size_t ways = 4;
/// Capacity that is assumed until an upstream states one.
constexpr double assumed_capacity = 4096.0;
/// Churn up to which an entry counts fully; from there it falls to nothing within one more.
constexpr double full_confidence_churn = 0.5;
constexpr double event_gain = 0.1;

std::uint64_t key_of(upstream_index upstream, block_hash block)
{
    return combine_hash(block, upstream + 1);
}

}  // namespace

prefix_index::prefix_index(prefix_options options)
    : m_buckets(std::max<std::size_t>(1, options.m_most_entries / ways))
{
}

std::size_t prefix_index::bucket_of(std::uint64_t key) const
{
    return (key % m_buckets) * ways;
}

prefix_index::upstream_cache& prefix_index::cache_of(upstream_index upstream)
{
    if (upstream >= m_upstreams.size()) {
        m_upstreams.resize(upstream + 1);
    }
    return m_upstreams[upstream];
}

void prefix_index::set_capacity(upstream_index upstream, double blocks)
{
    cache_of(upstream).m_capacity = blocks;
}

void prefix_index::store(upstream_index upstream, block_hash block)
{
    if (m_entries.empty()) {
        m_entries.resize(m_buckets * ways);
        m_holders.resize(m_buckets);
    }
    const auto& cache = cache_of(upstream);
    const auto key = key_of(upstream, block);
    const auto bucket = bucket_of(key);
    auto* place = &m_entries[bucket];
    for (std::size_t i = 0; i < ways; ++i) {
        auto& candidate = m_entries[bucket + i];
        if (candidate.m_key == key || candidate.m_life == 0) {
            place = &candidate;
            break;
        }
        if (candidate.m_churn < place->m_churn) {
            place = &candidate;
        }
    }
    *place = {key, static_cast<float>(cache.m_churn), cache.m_life};
    add_holder(upstream, block);
}

void prefix_index::remove(upstream_index upstream, block_hash block)
{
    if (m_entries.empty()) {
        return;
    }
    const auto key = key_of(upstream, block);
    const auto bucket = bucket_of(key);
    for (std::size_t i = 0; i < ways; ++i) {
        if (m_entries[bucket + i].m_key == key) {
            m_entries[bucket + i] = {};
        }
    }
}

void prefix_index::add_holder(upstream_index upstream, block_hash block)
{
    auto& list = m_holders[block % m_buckets];
    if (list.m_block != block) {
        list = {block, {}};
    }
    auto& items = list.m_items;
    auto place = std::find(items.begin(), items.end(), upstream + 1);
    if (place == items.end()) {
        place = items.end() - 1;
        *place = upstream + 1;
    }
    std::rotate(items.begin(), place, place + 1);
}

void prefix_index::note_dispatch(upstream_index upstream, const std::vector<block_hash>& prompt)
{
    auto& cache = cache_of(upstream);
    double added = 0.0;
    for (const auto block : prompt) {
        added += confidence(upstream, block) > 0.0 ? 0.0 : 1.0;
        store(upstream, block);
    }
    if (cache.m_last_event == 0) {
        const double capacity = cache.m_capacity > 0.0 ? cache.m_capacity : assumed_capacity;
        cache.m_churn += added / capacity;
    }
}

void prefix_index::note_event(upstream_index upstream, const cache_event& event)
{
    auto& cache = cache_of(upstream);
    if (event.m_number <= cache.m_last_event) {
        return;  // late: what it says may have been overtaken
    }
    if (cache.m_last_event != 0 && event.m_number != cache.m_last_event + 1) {
        const auto lost = static_cast<double>(event.m_number - cache.m_last_event - 1);
        const double capacity = cache.m_capacity > 0.0 ? cache.m_capacity : assumed_capacity;
        cache.m_churn += lost * cache.m_event_blocks / capacity;
    }
    cache.m_last_event = event.m_number;
    cache.m_event_blocks +=
        event_gain * (static_cast<double>(event.m_blocks.size()) - cache.m_event_blocks);
    for (const auto block : event.m_blocks) {
        event.m_is_removal ? remove(upstream, block) : store(upstream, block);
    }
}

void prefix_index::forget(upstream_index upstream)
{
    const auto life = cache_of(upstream).m_life + 1;
    cache_of(upstream) = {};
    cache_of(upstream).m_life = life;
}

double prefix_index::confidence(upstream_index upstream, block_hash block) const
{
    if (upstream >= m_upstreams.size() || m_entries.empty()) {
        return 0.0;
    }
    const auto key = key_of(upstream, block);
    const auto bucket = bucket_of(key);
    for (std::size_t i = 0; i < ways; ++i) {
        const auto& candidate = m_entries[bucket + i];
        if (candidate.m_key == key && candidate.m_life == m_upstreams[upstream].m_life) {
            const double age = m_upstreams[upstream].m_churn - candidate.m_churn;
            return std::clamp(1.0 + full_confidence_churn - age, 0.0, 1.0);
        }
    }
    return 0.0;
}

double prefix_index::expected_blocks(upstream_index upstream,
                                     const std::vector<block_hash>& prompt) const
{
    // A block can only be used after all before it, so presence is monotone but for lost entries.
    std::size_t held = 0;
    std::size_t missing = prompt.size();
    double weight = 0.0;
    while (held < missing) {
        const auto middle = (held + missing) / 2;
        const double found = confidence(upstream, prompt[middle]);
        if (found > 0.0) {
            held = middle + 1;
            weight = found;
        }
        else {
            missing = middle;
        }
    }
    return static_cast<double>(held) * weight;
}

const prefix_index::holder_list& prefix_index::holders_of(block_hash block) const
{
    return m_holders[block % m_buckets];
}

bool prefix_index::is_held(block_hash block) const
{
    const auto& list = holders_of(block);
    return list.m_block == block &&
           std::any_of(list.m_items.begin(), list.m_items.end(), [&](upstream_index item) {
               return item != 0 && confidence(item - 1, block) > 0.0;
           });
}

prefix_index::holders prefix_index::find_holders(const std::vector<block_hash>& prompt) const
{
    holders result;
    std::size_t held = 0;
    std::size_t missing = m_entries.empty() ? 0 : prompt.size();
    while (held < missing) {
        const auto middle = (held + missing) / 2;
        if (is_held(prompt[middle])) {
            held = middle + 1;
        }
        else {
            missing = middle;
        }
    }
    if (held == 0) {
        return result;
    }
    for (const auto item : holders_of(prompt[held - 1]).m_items) {
        if (item != 0) {
            result.m_items[result.m_count++] = item - 1;
        }
    }
    return result;
}

}  // namespace dewbeam::routing
