/// \file
/// The common part of all programs' status pages, and joining the membership.
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

/// The latest loads that agents reported to an entry, as its status page shows them.
nlohmann::json loads_to_json(const std::vector<membership::member>& agents);

/// What a program knows about itself for its status page, which has the fields `{"host", "role",
/// "failure_domain", "phase", "incarnation", "configuration", "cut_off", "reach", "members"}`; the
/// program adds its own.
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

/// The member that a process announces, as far as its settings and its node determine it.
membership::member self_of(const nlohmann::json& settings, membership::role kind,
                           const link::node& node, incarnation process_incarnation);

/// Joins the membership, with the addresses of the setting `/entries` as seeds.
std::unique_ptr<membership_runner> join(const nlohmann::json& settings,
                                        const membership::member& self, link::node& node,
                                        membership_hooks hooks);

}  // namespace dewbeam::entry
