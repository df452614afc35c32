#include "dewbeam/src/entry/suspicions.h"

#include "dewbeam/src/entry/peers.h"
#include "dewbeam/src/entry/suspicion_wire.h"

namespace dewbeam::entry {

void spread_suspicions(entry_state& state, time_point now)
{
    for (const auto& item : state.m_pools.take_suspicions()) {
        wire::Envelope message;
        to_wire(item, now, program::wall_now(), *message.mutable_suspicion());
        log_event(log_level::warning, "content_suspected",
                  {{"pool", item.m_pool},
                   {"content", item.m_record.m_content.value()},
                   {"deaths", item.m_record.m_deaths.size()}});
        for (const auto& address : other_entries(state)) {
            state.m_node->send(address, message);
        }
    }
}

}  // namespace dewbeam::entry
