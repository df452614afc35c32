#include "dewbeam/src/drains/drain_state.h"

namespace dewbeam::drains {

order_result apply(drain_state& state, const order& wanted, change_number place)
{
    const bool is_in_force = is_drained(state, wanted.m_domain) == wanted.m_is_drained;
    if (!is_in_force && last_change(state, wanted.m_domain) != wanted.m_expected_change) {
        return order_result::outdated;
    }
    // An acknowledged order that changes nothing also makes orders that are still on their way
    // outdated.
    state.m_domains[wanted.m_domain] = {wanted.m_is_drained, place};
    state.m_last_change = place;
    return is_in_force ? order_result::in_force : order_result::applied;
}

change_number last_change(const drain_state& state, const failure_domain_id& domain)
{
    const auto known = state.m_domains.find(domain);
    return known == state.m_domains.end() ? change_number{} : known->second.m_last_change;
}

bool is_drained(const drain_state& state, const failure_domain_id& domain)
{
    const auto known = state.m_domains.find(domain);
    return known != state.m_domains.end() && known->second.m_is_drained;
}

std::set<failure_domain_id> drained_domains(const drain_state& state)
{
    std::set<failure_domain_id> result;
    for (const auto& [domain, known] : state.m_domains) {
        if (known.m_is_drained) {
            result.insert(domain);
        }
    }
    return result;
}

}  // namespace dewbeam::drains
