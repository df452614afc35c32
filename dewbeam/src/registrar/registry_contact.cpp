#include "dewbeam/src/registrar/registry_contact.h"

#include <absl/strings/str_join.h>

#include <utility>

namespace dewbeam::registrar {

namespace {

/// At a start, registries need this long to answer.
constexpr time_span report_delay = std::chrono::seconds(1);
constexpr time_span report_interval = std::chrono::seconds(10);

}  // namespace

contact_report update_contact(registry_contact& state, bool is_any_heard, time_point now)
{
    if (is_any_heard) {
        const bool was_reported = state.m_is_reported;
        state = {};
        return was_reported ? contact_report::restored : contact_report::none;
    }
    if (!state.m_lost_at) {
        state.m_lost_at = now;
        state.m_next_report = now + report_delay;
    }
    if (now < state.m_next_report) {
        return contact_report::none;
    }
    state.m_is_reported = true;
    state.m_next_report = now + report_interval;
    return contact_report::lost;
}

time_span silence_of(const registry_contact& state, time_point now)
{
    return state.m_lost_at ? now - *state.m_lost_at : time_span::zero();
}

void report_contact(registry_contact& state, const registry_feed& feed, time_point now)
{
    const auto silence = silence_of(state, now);
    const auto report = update_contact(state, feed.heard(now) > 0, now);
    if (report == contact_report::none) {
        return;
    }
    if (report == contact_report::restored) {
        log_event(log_level::info, "registries_reached", {{"silent_ms", to_milliseconds(silence)}});
        return;
    }
    const auto known = feed.last_confirmation();
    log_event(
        log_level::warning, "registries_unreachable",
        {{"addresses", absl::StrJoin(feed.addresses(), ",")},
         {"silent_ms", to_milliseconds(silence)},
         {"revision", feed.revision().value()},
         {"confirmed_ms", known.m_at == time_point{} ? -1.0 : to_milliseconds(now - known.m_at)}});
}

}  // namespace dewbeam::registrar
