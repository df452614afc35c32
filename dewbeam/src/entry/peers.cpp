#include "dewbeam/src/entry/peers.h"

namespace dewbeam::entry {

std::vector<std::string> other_entries(const entry_state& state)
{
    std::vector<std::string> result;
    for (const auto& member : state.m_membership->members()) {
        const bool is_other =
            member.m_role == membership::role::entry && member.m_address != state.m_node->address();
        if (is_other && !member.m_dead) {
            result.push_back(member.m_address);
        }
    }
    return result;
}

bool is_from_control(const entry_state& state, const link::peer& from)
{
    return state.m_configuration.is_control(from.m_address);
}

void send_configuration(entry_state& state, const link::peer& from)
{
    if (state.m_configuration.knows_any()) {
        wire::Envelope answer;
        *answer.mutable_configuration_update() = state.m_configuration.message();
        state.m_node->reply(from, std::move(answer));
    }
}

}  // namespace dewbeam::entry
