#include "dewbeam/src/replies/event_splitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

namespace dewbeam::replies {

namespace {

constexpr std::string_view id_field = "id:";

/// Where the first whole event of `text` ends, behind its empty line; 0 where there is none.
std::size_t end_of_event(std::string_view text)
{
    for (auto place = text.find('\n'); place != std::string_view::npos;
         place = text.find('\n', place + 1)) {
        const auto rest = text.substr(place + 1);
        if (rest.starts_with('\n')) {
            return place + 2;
        }
        if (rest.starts_with("\r\n")) {
            return place + 3;
        }
    }
    return 0;
}

/// The id of an event, where it has one that is a number.
std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::optional<std::uint64_t> result;
    while (!event.empty()) {
        const auto end = event.find('\n');
        const auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        std::uint64_t number = 0;
        if (line.starts_with(id_field)) {
            const auto value = line.substr(id_field.size());
            if (absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &number)) {
                result = number;
            }
        }
    }
    return result;
}

}  // namespace

std::string split_events(event_splitter& state, std::string_view bytes)
{
    state.m_partial += bytes;
    std::size_t whole = 0;
    for (;;) {
        const auto rest = std::string_view(state.m_partial).substr(whole);
        const auto end = end_of_event(rest);
        if (end == 0) {
            break;
        }
        if (const auto id = id_of(rest.substr(0, end))) {
            state.m_last_id = id;
        }
        ++state.m_events;
        whole += end;
    }
    auto result = state.m_partial.substr(0, whole);
    state.m_partial.erase(0, whole);
    return result;
}

void drop_partial(event_splitter& state)
{
    state.m_partial.clear();
}

}  // namespace dewbeam::replies
