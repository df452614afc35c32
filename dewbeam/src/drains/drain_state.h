/// \file
/// The drained failure domains, as a replicated state machine.
///
/// An operator orders a drain or withdraws it, and repeats the order while it gets no answer.
/// Orders carry no number of their own, so a copy that was held up must not undo a later order.
/// Each order therefore names the last order for its domain that was known when it arrived, and has
/// an effect only if that is still the last one.
///
/// \code
/// drain_state state;
/// apply(state, {failure_domain_id("east"), true, last_change(state, failure_domain_id("east"))},
///       change_number(12));
/// \endcode
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "dewbeam/base"

namespace dewbeam::drains {

/// Number of an accepted order: the index of its log entry; 0: none.
using change_number = strong<struct change_tag, std::uint64_t>;

/// An operator's order for one failure domain.
struct order {
    failure_domain_id m_domain;
    bool m_is_drained = false;        ///< what the domain shall be
    change_number m_expected_change;  ///< last change of the domain when the order arrived
};

/// What is in force for one failure domain.
struct domain_state {
    bool m_is_drained = false;
    change_number m_last_change;

    friend bool operator==(const domain_state&, const domain_state&) = default;
};

/// All failure domains that were ever ordered to be drained.
struct drain_state {
    std::map<failure_domain_id, domain_state> m_domains;
    change_number m_last_change;  ///< of any domain

    friend bool operator==(const drain_state&, const drain_state&) = default;
};

/// The effect of an order.
enum class order_result {
    applied,   ///< the state is as ordered now
    in_force,  ///< it was as ordered already
    outdated,  ///< a later order for the domain was applied; this one has no effect
};

/// Applies the order that stands at `place` of the log.
order_result apply(drain_state& state, const order& wanted, change_number place);

/// Last change of a domain; 0 if there was none.
change_number last_change(const drain_state& state, const failure_domain_id& domain);

/// Whether a domain is drained.
bool is_drained(const drain_state& state, const failure_domain_id& domain);

/// Names of the drained domains.
std::set<failure_domain_id> drained_domains(const drain_state& state);

}  // namespace dewbeam::drains
