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

/// The value of a field line, without the one space that may stand before it.
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

void take_field(open_event& open, std::string_view line)
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

std::string_view unfinished_line(const event_splitter& state)
{
    return std::string_view(state.m_partial).substr(state.m_line_begin);
}

/// Takes the line that ends at `end`; gives whether what came before is whole.
bool take_line(event_splitter& state, std::size_t end)
{
    const auto line = unfinished_line(state).substr(0, end - state.m_line_begin);
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
        take_field(state.m_open, line);
    }
    return false;
}

}  // namespace

std::string split_events(event_splitter& state, std::string_view bytes)
{
    const auto taken = state.m_partial.size();
    state.m_partial += bytes;
    std::size_t whole = 0;
    for (auto end = state.m_partial.find_first_of(line_ends, taken); end != std::string::npos;
         end = state.m_partial.find_first_of(line_ends, end + 1)) {
        const bool is_whole = take_line(state, end);
        // The LF of a CRLF goes with what it ends.
        if (is_whole || (whole == end && state.m_partial[end] == '\n')) {
            whole = end + 1;
        }
    }
    auto result = state.m_partial.substr(0, whole);
    state.m_partial.erase(0, whole);
    state.m_line_begin -= whole;
    return result;
}

bool is_inside_event(const event_splitter& state)
{
    const auto line = unfinished_line(state);
    return state.m_open.m_has_fields || (!line.empty() && !is_comment(line));
}

void drop_partial(event_splitter& state)
{
    state.m_partial.clear();
    state.m_line_begin = 0;
    state.m_after_return = false;
    state.m_open = {};
}

}  // namespace dewbeam::replies
