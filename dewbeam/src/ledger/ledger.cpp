#include "dewbeam/src/ledger/ledger.h"

#include <algorithm>

namespace dewbeam::ledger {

namespace {

/// Weight of the newest run in the moving mean.
constexpr std::int64_t mean_weight = 8;

record::state to_state(outcome result)
{
    switch (result) {
        case outcome::completed:
            return record::state::completed;
        case outcome::not_run:
            return record::state::not_run;
        case outcome::unknown:
            break;
    }
    return record::state::unknown;
}

outcome to_outcome(record::state value)
{
    switch (value) {
        case record::state::completed:
            return outcome::completed;
        case record::state::not_run:
            return outcome::not_run;
        case record::state::running:
        case record::state::unknown:
            break;
    }
    return outcome::unknown;
}

bool is_below_mark(const attempt_ledger& state, const attempt_id& id)
{
    const auto mark = state.m_marks.find(id.m_entry);
    return mark != state.m_marks.end() && id.m_sequence < mark->second;
}

refusal find_known(const attempt_ledger& state, const attempt_id& id)
{
    const auto known = state.m_records.find(id);
    if (known != state.m_records.end()) {
        return known->second.m_state == record::state::not_run ? refusal::tombstoned
                                                               : refusal::duplicate;
    }
    return is_below_mark(state, id) ? refusal::forgotten : refusal::none;
}

/// Each class has slots that the other can't take.
bool has_room(const attempt_ledger& state, bool urgent)
{
    const auto& options = state.m_options;
    const auto own = urgent ? state.m_running_urgent : state.m_running - state.m_running_urgent;
    const auto kept = urgent ? options.m_ordinary_slots : options.m_urgent_slots;
    return state.m_running < options.m_slots && own + kept < options.m_slots;
}

refusal find_shortage(const attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    const bool is_held = !attempt.m_alone && now < state.m_held_for_alone_until;
    if (is_held || (attempt.m_alone && state.m_running > 0) || state.m_running_alone > 0) {
        return refusal::runs_alone;
    }
    return has_room(state, attempt.m_urgent) ? refusal::none : refusal::full;
}

refusal find_refusal(const attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    const auto known = find_known(state, attempt.m_id);
    if (known == refusal::tombstoned || known == refusal::duplicate) {
        return known;
    }
    if (attempt.m_agent != state.m_options.m_incarnation) {
        return refusal::wrong_incarnation;
    }
    if (known == refusal::forgotten) {
        return known;
    }
    if (state.m_leaving) {
        return refusal::leaving;
    }
    if (state.m_paused) {
        return refusal::paused;
    }
    if (now < state.m_thawed_at) {
        return refusal::thawing;
    }
    if (now < state.m_backoff_until) {
        return refusal::backing_off;
    }
    if (attempt.m_configuration < state.m_configuration) {
        return refusal::stale_configuration;
    }
    if (attempt.m_deadline <= now) {
        return refusal::deadline_passed;
    }
    return find_shortage(state, attempt, now);
}

void begin(attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    auto& entry = state.m_records[attempt.m_id];
    entry.m_id = attempt.m_id;
    entry.m_alone = attempt.m_alone;
    entry.m_urgent = attempt.m_urgent;
    entry.m_fingerprint = attempt.m_fingerprint;
    entry.m_began_at = now;
    state.m_began.push_back(entry);
    ++state.m_running;
    state.m_running_urgent += entry.m_urgent ? 1 : 0;
    state.m_running_alone += entry.m_alone ? 1 : 0;
}

void forget_oldest(attempt_ledger& state)
{
    const auto id = state.m_ended.front().m_id;
    state.m_ended.pop_front();
    state.m_records.erase(id);
    auto& mark = state.m_marks[id.m_entry];
    mark = std::max(mark, id.m_sequence + 1);
}

/// All ended records live equally long, so the list stays in the order of their deadlines.
void remember(attempt_ledger& state, record& entry, time_point now)
{
    entry.m_forget_at = now + state.m_options.m_memory;
    state.m_ended.push_back(entry);
    while (state.m_records.size() - state.m_running > state.m_options.m_most_remembered) {
        forget_oldest(state);
    }
}

/// A process that slept reads in one go what arrived meanwhile; an offer among it may be as old.
void watch_sleep(attempt_ledger& state, time_point now)
{
    if (now >= state.m_sleeps_at) {
        state.m_thawed_at = now + state.m_options.m_thaw_time;
    }
    state.m_sleeps_at = now + state.m_options.m_sleep_limit;
}

void note_run_time(attempt_ledger& state, time_span run)
{
    state.m_mean_run += (run - state.m_mean_run) / mean_weight;
}

time_point find_retry(const attempt_ledger& state, refusal reason, time_point now)
{
    if (reason == refusal::thawing) {
        return state.m_thawed_at;
    }
    if (reason == refusal::backing_off) {
        return state.m_backoff_until;
    }
    const bool wants_room =
        reason == refusal::full || reason == refusal::runs_alone || reason == refusal::paused;
    return wants_room ? now + state.m_mean_run / std::max<std::int64_t>(1, state.m_running) : now;
}

/// A refused attempt never begins, whatever arrives later.
void bury(attempt_ledger& state, const attempt_id& id, time_point now)
{
    auto& entry = state.m_records[id];
    entry.m_id = id;
    entry.m_state = record::state::not_run;
    remember(state, entry, now);
}

}  // namespace

const char* to_string(refusal value)
{
    switch (value) {
        case refusal::none:
            return "none";
        case refusal::wrong_incarnation:
            return "wrong_incarnation";
        case refusal::stale_configuration:
            return "stale_configuration";
        case refusal::leaving:
            return "leaving";
        case refusal::tombstoned:
            return "tombstoned";
        case refusal::duplicate:
            return "duplicate";
        case refusal::deadline_passed:
            return "deadline_passed";
        case refusal::full:
            return "full";
        case refusal::runs_alone:
            return "runs_alone";
        case refusal::forgotten:
            return "forgotten";
        case refusal::thawing:
            return "thawing";
        case refusal::backing_off:
            return "backing_off";
        case refusal::paused:
            break;
    }
    return "paused";
}

outcome outcome_of(const attempt_ledger& state, refusal value)
{
    switch (value) {
        case refusal::none:
        case refusal::duplicate:
            return outcome::unknown;
        case refusal::wrong_incarnation:
        case refusal::forgotten:
            return state.m_options.m_arrives_once ? outcome::not_run : outcome::unknown;
        default:
            return outcome::not_run;
    }
}

decision offer(attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    watch_sleep(state, now);
    decision result;
    result.m_refusal = find_refusal(state, attempt, now);
    result.m_outcome = outcome_of(state, result.m_refusal);
    result.m_retry_at = find_retry(state, result.m_refusal, now);
    if (result.m_refusal == refusal::runs_alone && attempt.m_alone) {
        // Under steady work no moment without any would come by itself.
        state.m_held_for_alone_until = now + state.m_options.m_alone_hold;
    }
    if (result.m_refusal == refusal::none) {
        state.m_held_for_alone_until = attempt.m_alone ? now : state.m_held_for_alone_until;
        begin(state, attempt, now);
    }
    else if (result.m_outcome == outcome::not_run && !state.m_options.m_arrives_once &&
             result.m_refusal != refusal::tombstoned) {
        bury(state, attempt.m_id, now);
    }
    return result;
}

outcome tombstone(attempt_ledger& state, const attempt_id& id, time_point now)
{
    return tombstone(state, id, state.m_options.m_incarnation, now);
}

outcome tombstone(attempt_ledger& state, const attempt_id& id, incarnation agent, time_point now)
{
    const auto known = state.m_records.find(id);
    if (known != state.m_records.end()) {
        return to_outcome(known->second.m_state);
    }
    if (agent != state.m_options.m_incarnation || is_below_mark(state, id)) {
        return outcome::unknown;
    }
    bury(state, id, now);
    return outcome::not_run;
}

void finish(attempt_ledger& state, const attempt_id& id, outcome result, time_point now)
{
    const auto known = state.m_records.find(id);
    require(known != state.m_records.end() && known->second.m_state == record::state::running,
            "finish needs an attempt that runs");
    auto& entry = known->second;
    entry.m_state = to_state(result);
    state.m_began.erase(state.m_began.iterator_to(entry));
    --state.m_running;
    state.m_running_urgent -= entry.m_urgent ? 1 : 0;
    state.m_running_alone -= entry.m_alone ? 1 : 0;
    note_run_time(state, now - entry.m_began_at);
    remember(state, entry, now);
}

void back_off(attempt_ledger& state, time_point until)
{
    state.m_backoff_until = std::max(state.m_backoff_until, until);
}

void start_leaving(attempt_ledger& state)
{
    state.m_leaving = true;
}

bool drained(const attempt_ledger& state)
{
    return state.m_leaving && state.m_running == 0;
}

std::vector<attempt_id> running_attempts(const attempt_ledger& state)
{
    std::vector<attempt_id> result;
    result.reserve(state.m_running);
    for (const auto& entry : state.m_began) {
        result.push_back(entry.m_id);
    }
    return result;
}

void expire(attempt_ledger& state, time_point now)
{
    watch_sleep(state, now);
    while (!state.m_ended.empty() && state.m_ended.front().m_forget_at <= now) {
        forget_oldest(state);
    }
}

bool needs_renewal(const attempt_ledger& state)
{
    return state.m_marks.size() >= state.m_options.m_most_marks;
}

void renew(attempt_ledger& state, incarnation next)
{
    require(next > state.m_options.m_incarnation, "a new incarnation is larger than the last");
    while (!state.m_ended.empty()) {
        forget_oldest(state);
    }
    state.m_marks.clear();
    state.m_backoff_until = {};
    state.m_options.m_incarnation = next;
}

}  // namespace dewbeam::ledger
