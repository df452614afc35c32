#include "dewbeam/src/group_map/messages.h"

namespace dewbeam::group_map {

fencing_number fencing_base(std::uint64_t epoch_number)
{
    return fencing_number(epoch_number * orders_per_epoch);
}

std::uint64_t min_epoch_above(fencing_number highest)
{
    return highest.value() / orders_per_epoch + 1;
}

map_id settled_map(const engine_state& engine)
{
    return engine.m_armed && engine.m_switching ? engine.m_armed->m_map : engine.m_current;
}

const char* to_string(command_kind value)
{
    switch (value) {
        case command_kind::collect:
            return "collect";
        case command_kind::confirm:
            return "confirm";
        case command_kind::stage:
            return "stage";
        case command_kind::arm:
            return "arm";
        case command_kind::commit:
            return "commit";
        case command_kind::release:
            break;
    }
    return "release";
}

const char* to_string(order_kind value)
{
    switch (value) {
        case order_kind::read:
            return "read";
        case order_kind::stage:
            return "stage";
        case order_kind::hold:
            return "hold";
        case order_kind::switch_map:
            return "switch_map";
        case order_kind::release:
            break;
    }
    return "release";
}

}  // namespace dewbeam::group_map
