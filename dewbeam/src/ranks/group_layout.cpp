#include "dewbeam/src/ranks/group_layout.h"

#include <algorithm>

namespace dewbeam::ranks {

std::optional<group_layout> find_layout(
    const rank_report& report, const std::map<upstream_id, registry::announcement>& announced,
    std::uint16_t link_port)
{
    if (report.m_ranks == 0) {
        return std::nullopt;
    }
    group_layout result;
    result.m_group = report.m_group;
    result.m_rank = report.m_rank;
    result.m_members.resize(report.m_ranks);
    result.m_engines.resize(report.m_ranks);
    std::vector<std::uint64_t> formations(report.m_ranks, 0);
    for (const auto& [name, known] : announced) {
        const auto& at = known.m_group;
        if (!at || at->m_group != result.m_group || at->m_rank.value() >= report.m_ranks ||
            at->m_epoch < formations[at->m_rank.value()]) {
            continue;
        }
        const auto rank = at->m_rank.value();
        formations[rank] = at->m_epoch;
        result.m_engines[rank] = known.m_address;
        result.m_members[rank] = "tcp://" + to_string(endpoint{known.m_address.m_ip, link_port});
    }
    const bool is_whole = std::none_of(result.m_members.begin(), result.m_members.end(),
                                       [](const std::string& item) { return item.empty(); });
    return is_whole ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace dewbeam::ranks
