/// \file
/// What one process says of itself.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"

namespace dewbeam::membership {

/// Which program a member is.
enum class role { entry, agent, control };

/// Name of a role on status pages.
const char* to_string(role value);

/// A report as it travels; ages are turned into time points at the receiver.
struct member_load {
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    token_count m_free_kv;
    token_count m_total_kv;
    time_span m_step_time = time_span::zero();
    double m_skew = 1.0;
    std::uint32_t m_urgent = 0;          ///< urgent ones of those that run or wait
    std::uint32_t m_ordinary_slots = 0;  ///< what ordinary work may hold; 0: not said
    time_point m_measured_at{};
    std::vector<std::uint64_t> m_cached_prefixes;
    std::uint64_t m_event_sequence = 0;
};

/// One process and its lease.
struct member {
    host_id m_host;
    failure_domain_id m_failure_domain;
    role m_role = role::entry;
    std::string m_address;       ///< `tcp://IP:PORT` of its link
    std::string m_http_address;  ///< `IP:PORT`
    incarnation m_incarnation;
    std::uint64_t m_sequence = 0;  ///< grows with each announcement of one incarnation
    time_point m_lease_deadline{};
    bool m_leaving = false;
    bool m_suspect = false;
    bool m_dead = false;
    upstream_id m_upstream;             ///< of an agent
    configuration::label_set m_labels;  ///< of an agent
    std::vector<model_id> m_models;     ///< of an agent; empty before a plain service
    std::uint32_t m_slots = 0;          ///< of an agent
    incarnation m_upstream_life;        ///< of an agent: named by each dispatch to it
    member_load m_load;                 ///< of an agent
    configuration_version m_configuration;
};

/// Whether `a` says something newer than `b` of the same host.
bool is_newer(const member& a, const member& b);

}  // namespace dewbeam::membership
