/// \file
/// The announcements in which upstreams describe themselves.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registry {

/// Sequence number of an announcement within one incarnation of an upstream; detects late ones.
using announcement_number = strong<struct announcement_tag, std::uint64_t>;

/// The lifecycle state of an upstream.
enum class upstream_state {
    ready,
    leaving,  ///< accepts no new work
    gone,     ///< this incarnation has ended permanently; a later one may have the same name
};

/// The name of a state in logs and status pages.
const char* to_string(upstream_state value);

/// The position of an upstream in a lock-step group of ranks.
struct group_place {
    std::string m_group;
    std::uint64_t m_epoch = 0;  ///< incremented each time the group forms
    rank_id m_rank;
    bool m_is_broken = false;  ///< a rank is missing, so the whole group is stalled

    friend bool operator==(const group_place&, const group_place&) = default;
};

/// One announcement. An upstream that restarts may keep its name. It is then a new incarnation,
/// which has no state of the previous one and numbers its announcements from the start again. The
/// address doesn't identify an upstream, since it may soon be reassigned to another one.
struct announcement {
    upstream_id m_name;
    incarnation m_incarnation;  ///< increases with each restart; 0: unknown
    std::string m_service;
    endpoint m_address;
    failure_domain_id m_failure_domain;
    std::string m_software;     ///< version of its software
    std::uint32_t m_slots = 1;  ///< requests that it runs concurrently
    upstream_state m_state = upstream_state::ready;
    announcement_number m_number;
    std::optional<group_place> m_group;
    /// How much longer it stays cold, as of its sending; zero: not cold; empty: not stated.
    std::optional<time_span> m_cold_left;

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// Checks every name in an announcement by `check_name`; the error tells the field. A record with
/// other bytes must not be kept: it would be passed on to all processes that follow the registry.
absl::Status check_names(const announcement& item);

}  // namespace dewbeam::registry
