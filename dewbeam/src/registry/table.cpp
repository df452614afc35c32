#include "dewbeam/src/registry/table.h"

#include <algorithm>

namespace dewbeam::registry {

namespace {

/// Difference between two announced ends of coldness that matters to followers: more than delays
/// of announcements make, less than the seconds for which upstreams are cold.
constexpr time_span cold_tolerance = std::chrono::milliseconds(500);

/// Whether followers must be sent the difference. The sequence number doesn't matter to them, nor
/// does the time left until the upstream is warm, as long as the moment stays about the same.
bool differs(const announcement& known, const announcement& received)
{
    auto same_number = received;
    same_number.m_number = known.m_number;
    same_number.m_cold_left = known.m_cold_left;
    return same_number != known;
}

/// Whether an announcement says otherwise of an upstream's coldness than followers were told.
bool is_coldness_changed(const record& known, time_span cold_left, time_point now)
{
    const bool was_cold = known.m_told_cold_until > now + cold_tolerance;
    const bool is_cold = cold_left > cold_tolerance;
    if (was_cold != is_cold) {
        return true;
    }
    const auto until = now + cold_left;
    return is_cold && (until > known.m_told_cold_until + cold_tolerance ||
                       until + cold_tolerance < known.m_told_cold_until);
}

merge_result mark_changed(table& state, record& subject)
{
    subject.m_change = ++state.m_last_change;
    const auto cold_left = subject.m_announced.m_cold_left.value_or(time_span::zero());
    subject.m_told_cold_until = subject.m_heard_at + cold_left;
    return merge_result::changed;
}

bool is_gone(const record& subject)
{
    return subject.m_announced.m_state == upstream_state::gone;
}

/// Whether an announcement is newer than the known state of its upstream.
bool is_newer(const table& state, const record& known, const announcement& received, time_point now)
{
    const auto& held = known.m_announced;
    if (is_gone(known) && held.m_incarnation == incarnation{}) {
        return received.m_incarnation != incarnation{} &&
               known.m_heard_at + state.m_options.m_unknown_end_window <= now;
    }
    if (received.m_incarnation != held.m_incarnation) {
        return received.m_incarnation > held.m_incarnation;
    }
    return !is_gone(known) && received.m_number > held.m_number;
}

}  // namespace

const char* to_string(upstream_state value)
{
    switch (value) {
        case upstream_state::ready:
            return "ready";
        case upstream_state::leaving:
            return "leaving";
        case upstream_state::gone:
            break;
    }
    return "gone";
}

merge_result merge(table& state, const announcement& received, time_point now)
{
    if (received.m_state == upstream_state::gone) {
        return end_upstream(state, received.m_name, received.m_incarnation, now);
    }
    const auto [place, is_new] = state.m_records.try_emplace(received.m_name);
    auto& known = place->second;
    if (is_new) {
        known.m_announced = received;
        known.m_heard_at = now;
        return mark_changed(state, known);
    }
    if (!is_newer(state, known, received, now)) {
        return merge_result::nothing;
    }
    const bool is_news =
        differs(known.m_announced, received) || known.m_is_unresponsive ||
        is_coldness_changed(known, received.m_cold_left.value_or(time_span::zero()), now);
    known.m_announced = received;
    known.m_heard_at = now;
    known.m_is_unresponsive = false;
    return is_news ? mark_changed(state, known) : merge_result::renewed;
}

merge_result end_upstream(table& state, const upstream_id& name, incarnation ended, time_point now)
{
    auto& known = state.m_records[name];
    const auto held = known.m_announced.m_incarnation;
    const bool is_earlier = ended != incarnation{} && ended < held;
    if (is_earlier || (is_gone(known) && ended <= held)) {
        return merge_result::nothing;
    }
    known.m_announced.m_name = name;
    known.m_announced.m_incarnation = std::max(held, ended);
    known.m_announced.m_state = upstream_state::gone;
    known.m_heard_at = now;
    known.m_is_unresponsive = false;
    return mark_changed(state, known);
}

void note_silence(table& state, time_point now)
{
    for (auto& [name, known] : state.m_records) {
        if (!is_gone(known) && !known.m_is_unresponsive &&
            known.m_heard_at + state.m_options.m_silent_after <= now) {
            known.m_is_unresponsive = true;
            mark_changed(state, known);
        }
    }
}

merge_result merge_silence(table& state, const announcement& last)
{
    const auto place = state.m_records.find(last.m_name);
    if (place == state.m_records.end()) {
        return merge_result::nothing;
    }
    auto& known = place->second;
    const auto& held = known.m_announced;
    const bool is_older =
        last.m_incarnation < held.m_incarnation ||
        (last.m_incarnation == held.m_incarnation && last.m_number < held.m_number);
    if (is_gone(known) || known.m_is_unresponsive || is_older) {
        return merge_result::nothing;
    }
    known.m_is_unresponsive = true;
    return mark_changed(state, known);
}

void forget_old(table& state, time_point now)
{
    std::erase_if(state.m_records, [&](const auto& item) {
        const auto& known = item.second;
        const bool has_ended = is_gone(known);
        const auto retention =
            has_ended ? state.m_options.m_ended_retention : state.m_options.m_silent_retention;
        return (has_ended || known.m_is_unresponsive) && known.m_heard_at + retention <= now;
    });
}

std::vector<const record*> changes_since(const table& state, std::uint64_t change)
{
    std::vector<const record*> result;
    for (const auto& [name, known] : state.m_records) {
        if (known.m_change > change) {
            result.push_back(&known);
        }
    }
    return result;
}

}  // namespace dewbeam::registry
