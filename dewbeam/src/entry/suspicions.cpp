#include "dewbeam/src/entry/suspicions.h"

#include "dewbeam/src/entry/peers.h"
#include "dewbeam/src/entry/suspicion_wire.h"

namespace dewbeam::entry {

namespace {

known_entries other_entry_processes(const entry_state& state)
{
    known_entries result;
    for (const auto& member : state.m_membership->members()) {
        const bool is_other =
            member.m_role == membership::role::entry && member.m_address != state.m_node->address();
        if (is_other && !member.m_dead) {
            result.emplace(member.m_address, member.m_incarnation);
        }
    }
    return result;
}

}  // namespace

void broadcast_suspicions(entry_state& state, time_point now)
{
    for (const auto& item : state.m_pools.take_suspicions()) {
        wire::Envelope message;
        to_wire(item, now, program::wall_now(), *message.mutable_suspicion());
        log_event(log_level::warning, "content_suspected",
                  {{"pool", item.m_pool},
                   {"content", item.m_record.m_content.value()},
                   {"deaths", item.m_record.m_crash_reports.size()}});
        for (const auto& address : other_entries(state)) {
            state.m_node->send(address, message);
        }
    }
}

void send_suspicions_to_new_entries(entry_state& state, known_entries& known, time_point now)
{
    auto there = other_entry_processes(state);
    for (const auto& entry : there) {
        if (known.contains(entry)) {
            continue;
        }
        for (const auto& item : state.m_pools.all_suspicions()) {
            wire::Envelope message;
            to_wire(item, now, program::wall_now(), *message.mutable_suspicion());
            state.m_node->send(entry.first, std::move(message));
        }
    }
    known = std::move(there);
}

}  // namespace dewbeam::entry
