/// \file
/// Cuts a stream of server-sent events into whole events, and knows the id of the last one.
///
/// Lines end with LF, CRLF or CR, an event with an empty line. Only whole events are passed on, so
/// that a stream that breaks inside an event can go on elsewhere behind the last whole one.
///
/// \code
/// caller.write(split_events(state, bytes));
/// ...
/// if (is_inside_event(state)) {
///     drop_partial(state);  // the stream broke off, whatever its frame says
/// }
/// \endcode
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dewbeam::replies {

/// What is known of an event whose empty line has not come yet.
struct open_event {
    bool m_has_fields = false;  ///< comments alone make no event
    std::optional<std::uint64_t> m_id;
    std::uint32_t m_data_lines = 0;
    bool m_has_end_marker = false;  ///< some data line is the end marker
};

/// The state: bytes behind the last whole event, and the last id met.
struct event_splitter {
    std::string m_partial;
    std::size_t m_line_begin = 0;  ///< of the unfinished line, in `m_partial`
    bool m_after_return = false;   ///< the last byte was CR, so that an LF would belong to it
    open_event m_open;
    std::optional<std::uint64_t> m_last_id;
    std::uint64_t m_events = 0;
    bool m_has_ended = false;  ///< the last event was the marker `[DONE]`
};

/// Takes bytes in; gives the whole events that are complete now, as they came.
std::string split_events(event_splitter& state, std::string_view bytes);

/// Whether the bytes taken end inside an event. Line ends and comments behind an event are not one.
bool is_inside_event(const event_splitter& state);

/// Drops what came of an unfinished event: its upstream broke off.
void drop_partial(event_splitter& state);

}  // namespace dewbeam::replies
