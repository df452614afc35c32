#include "dewbeam/src/gateway/part_blame.h"

#include <algorithm>

#include "dewbeam/src/gateway/crash_reports.h"
#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

namespace {

/// A part that crashes upstreams does so with the first tokens of an answer.
constexpr time_span crash_window = std::chrono::milliseconds(500);
/// Parts of one prompt that are judged. Each takes a place among the good runs that are remembered
/// (`good_runs`), so that longer prompts would push out what is known of others.
constexpr std::size_t max_parts = 64;
/// Keeps the records of parts apart from those of contents in the pool of that name.
constexpr std::string_view part_pool_suffix = "#prompt-part";

registrar::pooled_suspicion suspicion_of_part(const std::string& pool, fingerprint part)
{
    registrar::pooled_suspicion result{pool + std::string(part_pool_suffix), {}};
    result.m_record.m_content = part;
    return result;
}

bool has_part(const gateway_request& request, fingerprint part)
{
    const auto& parts = request.known().m_parts;
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Refuses the requests that hold a part that is quarantined from now on, unless their answers have
/// begun.
void refuse_waiting_requests(gateway_state& state, fingerprint part, time_point now)
{
    if (!state.m_feed.quarantined_until(part, now)) {
        return;
    }
    for (const auto& request : state.m_requests.all()) {
        const bool is_unanswered = !request->attempt() || request->unanswered_attempt();
        if (!is_unanswered || !has_part(*request, part)) {
            continue;
        }
        if (const auto refusal = quarantined_part_refusal(state, request->known(), now)) {
            give_up(state, request, *refusal, now);
        }
    }
}

}  // namespace

std::vector<fingerprint> part_keys_of(const caller_call& call, const std::string& pool)
{
    std::vector<fingerprint> result;
    const auto& parts = call.m_prompt_parts;
    const auto count = std::min(parts.empty() ? 0 : parts.size() - 1, max_parts);
    const auto salt = stable_hash(pool, stable_hash(part_pool_suffix));
    for (std::size_t i = 0; i < count; ++i) {
        const fingerprint key(combine_hash(salt, parts[i]));
        if (std::find(result.begin(), result.end(), key) == result.end()) {
            result.push_back(key);
        }
    }
    return result;
}

std::vector<part_evidence> begin_part_run(const gateway_state& state,
                                          const gateway_request::facts& known)
{
    std::vector<part_evidence> result;
    result.reserve(known.m_parts.size());
    for (const auto part : known.m_parts) {
        result.push_back({part, state.m_feed.next_order(part)});
    }
    return result;
}

bool is_part_evidence(const sent_attempt& sent, const std::optional<time_point>& since,
                      time_point now)
{
    return sent.m_parts && since && !has_outlived_crash(*since, now);
}

bool has_outlived_crash(time_point since, time_point now)
{
    return now >= since + crash_window;
}

void note_good_part_run(gateway_state& state, const request_pointer& request, time_point now)
{
    const auto& known = request->known();
    for (const auto part : known.m_parts) {
        if (const auto record = state.m_feed.report_successful_run(part, now)) {
            log_suspicion(state, "part_suspicion_outweighed", *record, request->upstream().value(),
                          "ran_on", now);
            continue;
        }
        const std::lock_guard lock(state.m_crashes.m_mutex);
        note_good_run(state.m_crashes.m_good_part_runs, part, now);
    }
}

void report_parts(gateway_state& state, const lost_attempt& loss,
                  const quarantine::crash_report& crash, const char* reason, time_point now)
{
    for (const auto& item : loss.m_parts) {
        auto subject = suspicion_of_part(loss.m_pool, item.m_part);
        auto own = crash;
        own.m_order = item.m_order;
        subject.m_record.m_crash_reports.push_back(own);
        if (!state.m_feed.report(subject)) {
            continue;
        }
        log_suspicion(state, "part_suspected", subject, crash.m_upstream.value(), reason, now);
        offset_crash_reports(state, state.m_crashes.m_good_part_runs, subject.m_record, now);
        refuse_waiting_requests(state, item.m_part, now);
    }
}

bool is_about_part(const registrar::pooled_suspicion& subject)
{
    return subject.m_pool.ends_with(part_pool_suffix);
}

void apply_part_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                          time_point now)
{
    log_suspicion(state, "part_suspicion_heard", received, "", "registry", now);
    offset_crash_reports(state, state.m_crashes.m_good_part_runs, received.m_record, now);
    refuse_waiting_requests(state, received.m_record.m_content, now);
}

std::optional<gateway_error> quarantined_part_refusal(const gateway_state& state,
                                                      const gateway_request::facts& known,
                                                      time_point now)
{
    for (const auto part : known.m_parts) {
        if (const auto until = state.m_feed.quarantined_until(part, now)) {
            return gateway_error{503, "quarantined",
                                 "upstreams ended while they ran requests with a part of this "
                                 "prompt",
                                 *until - now};
        }
    }
    return std::nullopt;
}

}  // namespace dewbeam::gateway
