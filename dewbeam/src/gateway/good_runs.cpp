#include "dewbeam/src/gateway/good_runs.h"

#include <algorithm>
#include <utility>

namespace dewbeam::gateway {

namespace {

/// Bounds the number of crashes that a content may cause after it ran successfully before.
constexpr std::uint32_t max_of_one_content = 4;
constexpr std::size_t max_young = 4096;

}  // namespace

void note_good_run(good_runs& runs, fingerprint content)
{
    if (runs.m_young.size() >= max_young) {
        runs.m_old = std::exchange(runs.m_young, {});
    }
    auto& count = runs.m_young[content];
    const auto before = runs.m_old.find(content);
    if (before != runs.m_old.end()) {
        count += before->second;
        runs.m_old.erase(before);
    }
    count = std::min(count + 1, max_of_one_content);
}

bool spend_good_run(good_runs& runs, fingerprint content)
{
    for (auto* generation : {&runs.m_young, &runs.m_old}) {
        const auto place = generation->find(content);
        if (place != generation->end() && place->second > 0) {
            --place->second;
            return true;
        }
    }
    return false;
}

}  // namespace dewbeam::gateway
