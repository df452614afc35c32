/// \file
/// Splits a stream of server-sent events into complete events and tracks the id of the last one.
///
/// A line ends with LF, CRLF or CR, an event with an empty line. Only complete events are passed
/// on, so that a stream that breaks inside an event can be resumed on another upstream after the
/// last complete one.
///
/// \code
/// caller.write(split_events(state, bytes));
/// ...
/// if (is_inside_event(state)) {
///     drop_partial(state);  // the stream is truncated, even if its framing ended normally
/// }
/// \endcode
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dewbeam::replies {

/// An event whose terminating empty line has not been received yet.
struct open_event {
    bool m_has_fields = false;  ///< comments alone don't form an event
    std::optional<std::uint64_t> m_id;
    std::uint32_t m_data_lines = 0;
    bool m_has_end_marker = false;  ///< one of the data lines is the end marker
};

/// The parser state: the bytes after the last complete event, and the last id received.
struct event_splitter {
    std::string m_partial;
    std::size_t m_line_begin = 0;  ///< start of the incomplete line in `m_partial`
    bool m_after_return = false;   ///< the last byte was CR; an LF would belong to it
    open_event m_open;
    std::optional<std::uint64_t> m_last_id;
    std::uint64_t m_events = 0;
    bool m_has_ended = false;             ///< the last event was the marker `[DONE]`
    std::size_t m_bytes_since_event = 0;  ///< received after the last event, comments included
};

/// Appends received bytes; returns the events that are now complete, unchanged.
std::string split_events(event_splitter& state, std::string_view bytes);

/// Whether the received bytes end inside an event. Line ends and comments after an event don't
/// start a new one.
bool is_inside_event(const event_splitter& state);

/// Whether more bytes than `most_event_bytes` came without a complete event: a line, an event or
/// comments that may never end.
bool is_oversized(const event_splitter& state, std::size_t most_event_bytes);

/// Discards the bytes of an incomplete event after its stream was truncated.
void drop_partial(event_splitter& state);

}  // namespace dewbeam::replies
