/// \file
/// What an upstream says of itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registry {

/// Counts the announcements of one life of an upstream up, so that a late one is recognised.
using announcement_number = strong<struct announcement_tag, std::uint64_t>;

/// Where an upstream stands.
enum class upstream_state {
    ready,
    leaving,  ///< takes no new work
    gone,     ///< this life is over for good; a later one may have the same name
};

/// Name of a state in logs and pages.
const char* to_string(upstream_state value);

/// An upstream's place in a lock-step group of ranks.
struct group_place {
    std::string m_group;
    std::uint64_t m_epoch = 0;  ///< counts the group's formations
    rank_id m_rank;
    bool m_is_broken = false;  ///< a rank is missing, so that the whole group stands still

    friend bool operator==(const group_place&, const group_place&) = default;
};

/// One announcement. An upstream that restarted may keep its name: it is then another incarnation,
/// which holds and knows nothing of the one before and counts its announcements anew. An address
/// says nothing of identity, since another upstream may get it soon.
struct announcement {
    upstream_id m_name;
    incarnation m_incarnation;  ///< a later life has a higher one; 0: not known
    std::string m_service;
    endpoint m_address;
    failure_domain_id m_failure_domain;
    std::string m_software;     ///< version of its software
    std::uint32_t m_slots = 1;  ///< requests that it runs at once
    upstream_state m_state = upstream_state::ready;
    announcement_number m_number;
    std::optional<group_place> m_group;

    friend bool operator==(const announcement&, const announcement&) = default;
};

}  // namespace dewbeam::registry
