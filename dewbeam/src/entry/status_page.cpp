#include "dewbeam/src/entry/status_page.h"

#include <utility>

#include "dewbeam/program"

namespace dewbeam::entry {

namespace {

using json = nlohmann::json;

/// An unresponsive upstream gets no more requests after this and a few rounds of gossip: within 3 s
/// in total.
constexpr std::chrono::seconds member_lease{2};

}  // namespace

json to_json(const membership::member& member)
{
    json labels = json::object();
    for (const auto& label : member.m_labels) {
        labels[label.m_key] = label.m_value;
    }
    json models = json::array();
    for (const auto& model : member.m_models) {
        models.push_back(model.value());
    }
    return {{"host", member.m_host.value()},
            {"role", membership::to_string(member.m_role)},
            {"failure_domain", member.m_failure_domain.value()},
            {"address", member.m_address},
            {"http_address", member.m_http_address},
            {"upstream", member.m_upstream.value()},
            {"labels", labels},
            {"models", models},
            {"slots", member.m_slots},
            {"incarnation", member.m_incarnation.value()},
            {"leaving", member.m_leaving},
            {"suspect", member.m_suspect},
            {"dead", member.m_dead}};
}

json loads_to_json(const std::vector<membership::member>& agents)
{
    json list = json::array();
    for (const auto& agent : agents) {
        list.push_back({{"upstream", agent.m_upstream.value()},
                        {"running", agent.m_load.m_running},
                        {"waiting", agent.m_load.m_waiting},
                        {"skew", agent.m_load.m_skew}});
    }
    return list;
}

json status_page(const status_facts& facts, const membership_runner& members, time_point now)
{
    json list = json::array();
    for (const auto& member : members.members()) {
        if (member.m_host.value() != facts.m_host) {
            list.push_back(to_json(member));
        }
    }
    return {{"host", facts.m_host},
            {"role", membership::to_string(facts.m_role)},
            {"failure_domain", facts.m_failure_domain},
            {"phase", to_string(facts.m_phase)},
            {"incarnation", facts.m_incarnation.value()},
            {"configuration",
             {{"number", facts.m_number},
              {"term", facts.m_version.m_term},
              {"index", facts.m_version.m_index}}},
            {"cut_off", members.reach(now).m_is_cut_off},
            {"reach", members.reach_json(now)},
            {"members", list}};
}

membership::member self_of(const json& settings, membership::role kind, const link::node& node,
                           incarnation process_incarnation)
{
    membership::member self;
    self.m_host = host_id(setting_value<std::string>(settings, "/host"));
    self.m_failure_domain =
        failure_domain_id(setting_value<std::string>(settings, "/failure_domain"));
    self.m_role = kind;
    self.m_address = node.address();
    self.m_incarnation = process_incarnation;
    return self;
}

std::unique_ptr<membership_runner> join(const json& settings, const membership::member& self,
                                        link::node& node, membership_hooks hooks)
{
    membership::view_options options;
    options.m_lease = member_lease;
    options.m_seeds = program::link_addresses(settings, "/entries");
    hooks.m_send = [&node](const std::string& address, wire::Envelope message) {
        node.send(address, std::move(message));
    };
    hooks.m_held_up = [&node] { return node.held_up(); };
    auto random = program::seeded_engine();
    return std::make_unique<membership_runner>(options, self, std::move(hooks), random(),
                                               program::now());
}

}  // namespace dewbeam::entry
