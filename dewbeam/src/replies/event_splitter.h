/// \file
/// Cuts a stream of server-sent events into whole events, and knows the id of the last one.
///
/// Only whole events are passed on, so that a stream that breaks inside an event can go on
/// elsewhere behind the last whole one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dewbeam::replies {

/// The state: bytes behind the last whole event, and the last id met.
struct event_splitter {
    std::string m_partial;
    std::optional<std::uint64_t> m_last_id;
    std::uint64_t m_events = 0;
};

/// Takes bytes in; gives the whole events that are complete now, as they came.
std::string split_events(event_splitter& state, std::string_view bytes);

/// Drops what came of an unfinished event: its upstream broke off.
void drop_partial(event_splitter& state);

}  // namespace dewbeam::replies
