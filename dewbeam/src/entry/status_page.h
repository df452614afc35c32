/// \file
/// What all programs put on their status pages, and how they join the membership.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam/lifecycle"
#include "dewbeam/link"
#include "dewbeam/membership"
#include "dewbeam/src/entry/membership_runner.h"

namespace dewbeam::entry {

/// A member as status pages show it.
nlohmann::json to_json(const membership::member& member);

/// What agents last reported to an entry, as its status page shows it.
nlohmann::json loads_to_json(const std::vector<membership::member>& agents);

/// `{"host", "role", "failure_domain", "phase", "incarnation", "configuration", "cut_off",
/// "reach", "members"}`; the program adds its own.
struct status_facts {
    std::string m_host;
    membership::role m_role = membership::role::entry;
    std::string m_failure_domain;
    lifecycle::phase m_phase = lifecycle::phase::starting;
    incarnation m_incarnation;
    std::uint64_t m_number = 0;
    configuration_version m_version;
};
nlohmann::json status_page(const status_facts& facts, const membership_runner& members,
                           time_point now);

/// The member that a process announces, as far as the settings and its node tell.
membership::member self_of(const nlohmann::json& settings, membership::role kind,
                           const link::node& node, incarnation life);

/// Joins the membership by the seeds of the setting `/entries`.
std::unique_ptr<membership_runner> join(const nlohmann::json& settings,
                                        const membership::member& self, link::node& node,
                                        membership_hooks hooks);

}  // namespace dewbeam::entry
