#include "dewbeam/src/claims/table.h"

#include <algorithm>

namespace dewbeam::claims {

namespace {

void forget(table& state, const claim_key& key)
{
    const auto place = state.m_claims.find(key);
    if (place->second.m_answer) {
        state.m_answer_bytes -= size_of(*place->second.m_answer);
        std::erase(state.m_answers, key);
    }
    state.m_claims.erase(place);
}

/// Moves the table's time on and forgets what is over.
void advance(table& state, time_point now)
{
    state.m_time = std::max(state.m_time, now);
    while (!state.m_expiries.empty() && state.m_expiries.begin()->m_at <= state.m_time) {
        forget(state, state.m_expiries.begin()->m_key);
        state.m_expiries.erase(state.m_expiries.begin());
    }
}

/// Starts the retention anew; a proposer whose clock is late shortens nothing.
void retain(table& state, const claim_key& key, claim_record& record, time_span retention)
{
    const auto forget_at = std::max(record.m_forget_at, state.m_time + retention);
    state.m_expiries.erase({record.m_forget_at, key});
    record.m_forget_at = forget_at;
    state.m_expiries.insert({forget_at, key});
}

bool is_released(const claim_record& record, const attempt_id& attempt)
{
    return std::find(record.m_released.begin(), record.m_released.end(), attempt) !=
           record.m_released.end();
}

void remember_released(claim_record& record, const attempt_id& attempt)
{
    if (is_released(record, attempt)) {
        return;
    }
    record.m_released.push_back(attempt);
    if (record.m_released.size() > most_released) {
        record.m_released.erase(record.m_released.begin());
    }
}

void release(claim_record& record, const attempt_id& attempt)
{
    record.m_state = claim_state::released;
    remember_released(record, attempt);
}

void drop_oldest_answer(table& state)
{
    auto& record = state.m_claims.at(state.m_answers.front());
    state.m_answer_bytes -= size_of(*record.m_answer);
    record.m_answer.reset();
    state.m_answers.pop_front();
}

void keep_answer(table& state, const claim_key& key, kept_answer answer)
{
    const auto size = size_of(answer);
    if (size > most_answer_bytes) {
        return;
    }
    state.m_claims.at(key).m_answer = std::move(answer);
    state.m_answers.push_back(key);
    state.m_answer_bytes += size;
    while (state.m_answer_bytes > most_kept_bytes) {
        drop_oldest_answer(state);
    }
}

verdict describe(const claim_record& record, decision value)
{
    return {value, record.m_attempt, record.m_agent, record.m_answer};
}

decision decide_known(const claim_record& record, const claim& wanted)
{
    if (is_released(record, wanted.m_attempt)) {
        return decision::withdrawn;
    }
    if (record.m_state == claim_state::released) {
        return decision::granted;
    }
    if (record.m_fingerprint != wanted.m_fingerprint) {
        return decision::mismatch;
    }
    if (record.m_state == claim_state::running) {
        return record.m_attempt == wanted.m_attempt ? decision::granted : decision::running;
    }
    return record.m_state == claim_state::finished ? decision::finished : decision::unknown;
}

void grant(claim_record& record, const claim& wanted)
{
    const bool is_again =
        record.m_state == claim_state::running && record.m_attempt == wanted.m_attempt;
    if (is_again && record.m_proposal != wanted.m_proposal) {
        record.m_is_shared = true;
        return;
    }
    record.m_state = claim_state::running;
    record.m_is_shared = is_again && record.m_is_shared;
    record.m_proposal = wanted.m_proposal;
    record.m_attempt = wanted.m_attempt;
    record.m_agent = wanted.m_agent;
    record.m_fingerprint = wanted.m_fingerprint;
}

/// The report came before its claim: the claim must not be granted any more.
void withdraw_unclaimed(table& state, const claim_report& report)
{
    if (report.m_outcome != ledger::outcome::not_run || state.m_claims.size() >= most_claims) {
        return;
    }
    auto& record = state.m_claims[report.m_key];
    release(record, report.m_attempt);
    retain(state, report.m_key, record, report.m_forget_at - report.m_time);
}

/// Whether a withdrawal would take the key from a call that was told it is granted.
bool is_held_by_another(const claim_record& record, const claim_report& report)
{
    return report.m_withdraws && (record.m_is_shared || record.m_proposal != *report.m_withdraws);
}

void end_attempt(table& state, const claim_report& report, claim_record& record)
{
    switch (report.m_outcome) {
        case ledger::outcome::completed:
            record.m_state = claim_state::finished;
            if (report.m_answer) {
                keep_answer(state, report.m_key, *report.m_answer);
            }
            return;
        case ledger::outcome::not_run:
            release(record, report.m_attempt);
            return;
        case ledger::outcome::unknown:
            record.m_state = claim_state::unknown;
            return;
    }
}

}  // namespace

const char* to_string(decision value)
{
    switch (value) {
        case decision::granted:
            return "granted";
        case decision::running:
            return "running";
        case decision::finished:
            return "finished";
        case decision::unknown:
            return "unknown";
        case decision::mismatch:
            return "mismatch";
        case decision::withdrawn:
            return "withdrawn";
        case decision::full:
            break;
    }
    return "full";
}

verdict apply(table& state, const claim& wanted)
{
    advance(state, wanted.m_time);
    const auto place = state.m_claims.find(wanted.m_key);
    if (place == state.m_claims.end() && state.m_claims.size() >= most_claims) {
        return {decision::full, {}, {}, {}};
    }
    auto& record = state.m_claims[wanted.m_key];
    const auto is_new = place == state.m_claims.end();
    const auto value = is_new ? decision::granted : decide_known(record, wanted);
    if (value == decision::granted) {
        record.m_state = is_new ? claim_state::released : record.m_state;
        grant(record, wanted);
        retain(state, wanted.m_key, record, wanted.m_forget_at - wanted.m_time);
    }
    return describe(record, value);
}

void apply(table& state, const claim_report& report)
{
    advance(state, report.m_time);
    const auto place = state.m_claims.find(report.m_key);
    if (place == state.m_claims.end()) {
        withdraw_unclaimed(state, report);
        return;
    }
    auto& record = place->second;
    const bool is_current =
        record.m_state == claim_state::running && record.m_attempt == report.m_attempt;
    if (is_current && !is_held_by_another(record, report)) {
        end_attempt(state, report, record);
    }
    else if (report.m_outcome == ledger::outcome::not_run && record.m_attempt != report.m_attempt) {
        remember_released(record, report.m_attempt);  // its claim may still be on its way
    }
    retain(state, report.m_key, record, report.m_forget_at - report.m_time);
}

std::optional<verdict> look_up(const table& state, const claim_key& key)
{
    const auto place = state.m_claims.find(key);
    if (place == state.m_claims.end() || place->second.m_state == claim_state::released) {
        return std::nullopt;
    }
    switch (place->second.m_state) {
        case claim_state::running:
            return describe(place->second, decision::running);
        case claim_state::finished:
            return describe(place->second, decision::finished);
        default:
            return describe(place->second, decision::unknown);
    }
}

byte_count size_of(const kept_answer& answer)
{
    std::size_t bytes = answer.m_body.size();
    for (const auto& header : answer.m_headers) {
        bytes += header.m_name.size() + header.m_value.size();
    }
    return {static_cast<std::int64_t>(bytes)};
}

void restore(table& state, const claim_key& key, claim_record record)
{
    state.m_expiries.insert({record.m_forget_at, key});
    state.m_claims.insert_or_assign(key, std::move(record));
}

void restore_answer(table& state, const claim_key& key, kept_answer answer)
{
    if (state.m_claims.contains(key)) {
        keep_answer(state, key, std::move(answer));
    }
}

}  // namespace dewbeam::claims
