#include "dewbeam/src/entry/member_feed.h"

#include "dewbeam/src/entry/attempts.h"

namespace dewbeam::entry {

namespace {

void remove_member_from_pools(entry_state& state, const membership::member& member, time_point now)
{
    std::vector<dispatch::actions> wanted;
    {
        const std::lock_guard lock(state.m_update_mutex);
        for (const auto& pool : pools_of(member)) {
            wanted.push_back(state.m_pools.remove_upstream(pool, member.m_upstream, now));
        }
    }
    for (const auto& actions : wanted) {
        perform(state, actions, now);
    }
}

void on_member(entry_state& state, const membership::member& member)
{
    const auto now = program::now();
    if (state.m_frame.phase() == lifecycle::phase::starting) {
        state.m_last_member_change = now;
    }
    if (member.m_role != membership::role::agent) {
        return;
    }
    if (!member.m_dead) {
        if (state.m_members.is_new_process(member)) {
            // Requests the load of the new process at once. The old process sends nothing more.
            state.m_next_interest = time_point{};
            state.m_node->close(member.m_address);
            end_attempts_at(state, member.m_address, "agent_restarted", now);
        }
        if (member.m_suspect) {
            log_event(log_level::info, "upstream_doubted",
                      {{"host", member.m_host.value()}, {"reason", "lease_ended"}});
        }
        state.m_members.update_member(member);
        update_pools(state, member.m_host, now);
    }
    else if (state.m_members.remove(member)) {
        log_event(log_level::info, "upstream_gone", {{"upstream", member.m_upstream.value()}});
        remove_member_from_pools(state, member, now);
    }
}

/// Forgets losses at an upstream that was measured in the same incarnation after them: no content
/// crashed it.
void forget_disproved_losses(entry_state& state, const agent_report& report)
{
    if (const auto member = state.m_members.find(report.m_host)) {
        state.m_losses.forget({member->m_address, report.m_upstream_life},
                              report.m_load.m_measured_at);
    }
}

}  // namespace

membership_hooks membership_hooks_of(entry_state& state)
{
    membership_hooks hooks;
    hooks.m_on_change = [&state](const membership::member& member) { on_member(state, member); };
    hooks.m_on_report = [&state](const agent_report& report) {
        state.m_members.take_load(report.m_host, report.m_load);
        forget_disproved_losses(state, report);
        update_pools(state, report.m_host, program::now());
    };
    return hooks;
}

void update_pools(entry_state& state, const host_id& host, time_point now)
{
    std::vector<dispatch::actions> wanted;
    {
        const std::lock_guard lock(state.m_update_mutex);
        const auto member = state.m_members.find(host);
        if (!member) {
            return;
        }
        const auto active = state.m_configuration.current();
        const auto labels = configuration::effective_labels(active->m_document, member->m_labels);
        const auto info = to_upstream(*member, labels);
        for (const auto& pool : pools_of(*member)) {
            wanted.push_back(state.m_pools.update_upstream(pool, info, now));
        }
    }
    for (const auto& actions : wanted) {
        perform(state, actions, now);
    }
}

void configuration_changed(entry_state& state)
{
    const auto now = program::now();
    state.m_metrics.set_configuration_number(state.m_configuration.current()->m_number);
    for (const auto& member : state.m_members.all()) {
        update_pools(state, member.m_host, now);
    }
}

}  // namespace dewbeam::entry
