#include "dewbeam/src/ledger/ledger.h"

#include <algorithm>

namespace dewbeam::ledger {

namespace {

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

bool anything_runs_alone(const attempt_ledger& state)
{
    return std::any_of(state.m_records.begin(), state.m_records.end(), [](const auto& item) {
        return item.second.m_state == record::state::running && item.second.m_alone;
    });
}

refusal find_refusal(const attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    if (attempt.m_agent != state.m_options.m_incarnation) {
        return refusal::wrong_incarnation;
    }
    const auto known = state.m_records.find(attempt.m_id);
    if (known != state.m_records.end()) {
        return known->second.m_state == record::state::not_run ? refusal::tombstoned
                                                               : refusal::duplicate;
    }
    if (state.m_leaving) {
        return refusal::leaving;
    }
    if (attempt.m_configuration < state.m_configuration) {
        return refusal::stale_configuration;
    }
    if (attempt.m_deadline <= now) {
        return refusal::deadline_passed;
    }
    if ((attempt.m_alone && state.m_running > 0) || anything_runs_alone(state)) {
        return refusal::runs_alone;
    }
    return state.m_running >= state.m_options.m_slots ? refusal::full : refusal::none;
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
            break;
    }
    return "runs_alone";
}

decision offer(attempt_ledger& state, const offered_attempt& attempt, time_point now)
{
    decision result;
    result.m_refusal = find_refusal(state, attempt, now);
    result.m_retry_at = now;
    if (result.m_refusal == refusal::none) {
        record entry;
        entry.m_alone = attempt.m_alone;
        entry.m_fingerprint = attempt.m_fingerprint;
        state.m_records.emplace(attempt.m_id, entry);
        ++state.m_running;
    }
    return result;
}

outcome tombstone(attempt_ledger& state, const attempt_id& id, time_point now)
{
    const auto known = state.m_records.find(id);
    if (known != state.m_records.end()) {
        return to_outcome(known->second.m_state);
    }
    record entry;
    entry.m_state = record::state::not_run;
    entry.m_forget_at = now + state.m_options.m_memory;
    state.m_records.emplace(id, entry);
    return outcome::not_run;
}

void finish(attempt_ledger& state, const attempt_id& id, outcome result, time_point now)
{
    const auto known = state.m_records.find(id);
    require(known != state.m_records.end() && known->second.m_state == record::state::running,
            "finish needs an attempt that runs");
    known->second.m_state = to_state(result);
    known->second.m_forget_at = now + state.m_options.m_memory;
    --state.m_running;
}

void start_leaving(attempt_ledger& state)
{
    state.m_leaving = true;
}

void expire(attempt_ledger& state, time_point now)
{
    std::erase_if(state.m_records,
                  [now](const auto& item) { return item.second.m_forget_at <= now; });
}

}  // namespace dewbeam::ledger
