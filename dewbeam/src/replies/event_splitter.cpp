#include "dewbeam/src/replies/event_splitter.h"

#include <absl/strings/numbers.h>

#include <utility>

namespace dewbeam::replies {

namespace {

constexpr std::string_view line_ends = "\r\n";
constexpr std::string_view end_marker = "[DONE]";

bool is_comment(std::string_view line)
{
    return line.starts_with(':');
}

/// The value of a field line, without the optional single space before it.
std::string_view value_of(std::string_view line, std::string_view name)
{
    auto value = line.substr(name.size() + 1);
    value.remove_prefix(value.starts_with(' ') ? 1 : 0);
    return value;
}

bool is_field(std::string_view line, std::string_view name)
{
    return line.starts_with(name) && line.substr(name.size()).starts_with(':');
}

void parse_field(open_event& open, std::string_view line)
{
    open.m_has_fields = true;
    std::uint64_t number = 0;
    if (is_field(line, "id")) {
        const auto value = value_of(line, "id");
        if (absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &number)) {
            open.m_id = number;
        }
    }
    else if (is_field(line, "data")) {
        ++open.m_data_lines;
        open.m_has_end_marker = open.m_has_end_marker || value_of(line, "data") == end_marker;
    }
}

void end_event(event_splitter& state)
{
    const auto ended = std::exchange(state.m_open, {});
    if (!ended.m_has_fields) {
        return;
    }
    if (ended.m_id) {
        state.m_last_id = ended.m_id;
    }
    ++state.m_events;
    state.m_has_ended = ended.m_has_end_marker && ended.m_data_lines == 1;
}

std::string_view incomplete_line(const event_splitter& state)
{
    return std::string_view(state.m_partial).substr(state.m_line_begin);
}

/// Processes the line that ends at `end`; returns whether all bytes up to there are complete.
bool process_line(event_splitter& state, std::size_t end)
{
    const auto line = incomplete_line(state).substr(0, end - state.m_line_begin);
    const bool is_after_return = std::exchange(state.m_after_return, state.m_partial[end] == '\r');
    const bool is_rest_of_line_end =
        is_after_return && line.empty() && state.m_partial[end] == '\n';
    state.m_line_begin = end + 1;
    if (is_rest_of_line_end) {
        return false;
    }
    if (line.empty()) {
        end_event(state);
        return true;
    }
    if (!is_comment(line)) {
        parse_field(state.m_open, line);
    }
    return false;
}

}  // namespace

std::string split_events(event_splitter& state, std::string_view bytes)
{
    const auto previous_size = state.m_partial.size();
    const auto previous_events = state.m_events;
    state.m_partial += bytes;
    std::size_t complete_size = 0;
    for (auto end = state.m_partial.find_first_of(line_ends, previous_size);
         end != std::string::npos; end = state.m_partial.find_first_of(line_ends, end + 1)) {
        const bool is_complete = process_line(state, end);
        // The LF of a CRLF belongs to the event that the CR completed.
        if (is_complete || (complete_size == end && state.m_partial[end] == '\n')) {
            complete_size = end + 1;
        }
    }
    auto result = state.m_partial.substr(0, complete_size);
    state.m_partial.erase(0, complete_size);
    state.m_line_begin -= complete_size;
    state.m_bytes_since_event = state.m_events == previous_events
                                    ? state.m_bytes_since_event + bytes.size()
                                    : state.m_partial.size();
    return result;
}

bool is_inside_event(const event_splitter& state)
{
    const auto line = incomplete_line(state);
    return state.m_open.m_has_fields || (!line.empty() && !is_comment(line));
}

bool is_oversized(const event_splitter& state, std::size_t most_event_bytes)
{
    return state.m_bytes_since_event > most_event_bytes;
}

void drop_partial(event_splitter& state)
{
    state.m_bytes_since_event = 0;
    state.m_partial.clear();
    state.m_line_begin = 0;
    state.m_after_return = false;
    state.m_open = {};
}

}  // namespace dewbeam::replies
