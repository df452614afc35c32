#include "dewbeam/src/gateway/crash_reports.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"
#include "dewbeam/src/gateway/part_blame.h"

namespace dewbeam::gateway {

namespace {

/// Crash reports as `upstream/order`, with what is said of them.
std::string to_text(const std::vector<quarantine::crash_report>& reports)
{
    std::vector<std::string> items;
    items.reserve(reports.size());
    for (const auto& item : reports) {
        items.push_back(absl::StrCat(item.m_upstream.value(), "/", item.m_order,
                                     item.m_is_doubtful ? " doubtful" : "",
                                     item.m_is_outweighed ? " outweighed" : ""));
    }
    return absl::StrJoin(items, ", ");
}

/// Logs attempts that are no evidence any more.
void log_forgotten(const std::vector<lost_attempt>& losses, const upstream_incarnation& where,
                   const char* reason, time_point now)
{
    for (const auto& loss : losses) {
        log_event(log_level::info, "lost_attempt_forgotten",
                  {{"content", loss.m_content.value()},
                   {"order", loss.m_order},
                   {"upstream", where.m_upstream.value()},
                   {"reason", reason},
                   {"age_ms", to_milliseconds(now - loss.m_lost_at)}});
    }
}

void merge_suspicion(gateway_state& state, const registrar::pooled_suspicion& subject,
                     time_point now)
{
    perform(state, state.m_pools.merge_suspicion(subject.m_pool, subject.m_record, now), now);
}

/// Offsets the crash reports of a content, and has the broker follow.
void offset_content_reports(gateway_state& state, const quarantine::suspicion& update,
                            time_point now)
{
    for (const auto& record :
         offset_crash_reports(state, state.m_crashes.m_good_runs, update, now)) {
        merge_suspicion(state, record, now);
    }
}

/// Reports to all gateways what happened to the upstream of a lost attempt.
void report(gateway_state& state, const upstream_incarnation& where, const lost_attempt& loss,
            const quarantine::crash_report& crash, const char* reason, time_point now)
{
    registrar::pooled_suspicion subject{loss.m_pool, {}};
    subject.m_record.m_content = loss.m_content;
    subject.m_record.m_crash_reports.push_back(crash);
    if (!state.m_feed.report(subject)) {
        return;
    }
    log_suspicion(state, "content_suspected", subject, where.m_upstream.value(), reason, now);
    state.m_metrics.content_suspected(reason);
    merge_suspicion(state, subject, now);
    offset_content_reports(state, subject.m_record, now);
}

quarantine::crash_report crash_report_of(const upstream_incarnation& where,
                                         const lost_attempt& loss)
{
    quarantine::crash_report crash{where.m_upstream, where.m_incarnation, loss.m_lost_at, false};
    crash.m_order = loss.m_order;
    return crash;
}

void report_all(gateway_state& state, const upstream_incarnation& where,
                const std::vector<lost_attempt>& losses, bool is_doubtful, const char* reason,
                time_point now)
{
    for (const auto& loss : losses) {
        auto crash = crash_report_of(where, loss);
        crash.m_is_doubtful = is_doubtful;
        report(state, where, loss, crash, reason, now);
        if (!is_doubtful) {
            report_parts(state, loss, crash, reason, now);
        }
    }
}

/// Removes answered attempts whose contents have run well lately. With a complete answer they are
/// weak evidence, and a content that many callers send was answered at each upstream just before
/// it crashed.
std::vector<lost_attempt> take_weak_evidence(crash_tracker& crashes,
                                             std::vector<lost_attempt>& losses, time_point now)
{
    const auto weak =
        std::stable_partition(losses.begin(), losses.end(), [&](const lost_attempt& loss) {
            return !loss.m_is_answered ||
                   !has_recent_good_run(crashes.m_good_runs, loss.m_content, now);
        });
    std::vector<lost_attempt> result(std::make_move_iterator(weak),
                                     std::make_move_iterator(losses.end()));
    losses.erase(weak, losses.end());
    return result;
}

std::vector<lost_attempt> losses_at(const lost_attempt_tracker& tracker,
                                    const upstream_incarnation& where)
{
    const auto place = tracker.m_losses.find(where);
    return place == tracker.m_losses.end() ? std::vector<lost_attempt>() : place->second;
}

}  // namespace

void log_suspicion(const gateway_state& state, const char* event,
                   const registrar::pooled_suspicion& subject, const std::string& upstream,
                   const char* reason, time_point now)
{
    const auto key = subject.m_record.m_content;
    log_event(log_level::info, event,
              {{"pool", subject.m_pool},
               {is_about_part(subject) ? "part" : "content", key.value()},
               {"upstream", upstream},
               {"reason", reason},
               {"reports", to_text(subject.m_record.m_crash_reports)},
               {"deaths", state.m_feed.deaths_of(key, now)}});
}

std::vector<registrar::pooled_suspicion> offset_crash_reports(gateway_state& state, good_runs& runs,
                                                              const quarantine::suspicion& update,
                                                              time_point now)
{
    std::vector<registrar::pooled_suspicion> changed;
    for (const auto& item : update.m_crash_reports) {
        {
            const std::lock_guard lock(state.m_crashes.m_mutex);
            if (!spend_good_run(runs, update.m_content)) {
                break;
            }
        }
        if (item.m_is_outweighed) {
            continue;  // another gateway offset it, with good runs that include this one
        }
        if (auto record = state.m_feed.report_successful_run(update.m_content, now)) {
            changed.push_back(*std::move(record));
        }
    }
    return changed;
}

void confirm_crash(gateway_state& state, const upstream_incarnation& where, const char* reason,
                   time_point now)
{
    std::vector<lost_attempt> losses;
    std::vector<lost_attempt> weak;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        losses = take_losses(state.m_crashes.m_losses, where);
        for (auto& answered : take_losses(state.m_crashes.m_answered, where)) {
            losses.push_back(std::move(answered));
        }
        weak = take_weak_evidence(state.m_crashes, losses, now);
    }
    log_forgotten(weak, where, "ran_well_elsewhere", now);
    report_all(state, where, losses, false, reason, now);
}

void count_good_run(gateway_state& state, fingerprint content, time_point now)
{
    const auto record = state.m_feed.report_successful_run(content, now);
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        auto& runs = state.m_crashes.m_good_runs;
        if (record) {
            note_spent_good_run(runs, content, now);
        }
        else {
            note_good_run(runs, content, now);
        }
    }
    if (record) {
        log_suspicion(state, "suspicion_outweighed", *record, "", "ran_to_its_end", now);
        merge_suspicion(state, *record, now);
    }
}

void forget_outlived_attempts(gateway_state& state, const upstream_incarnation& where,
                              const char* reason, time_point now)
{
    std::vector<lost_attempt> outlived;
    std::vector<lost_attempt> answered;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        outlived = forget_losses(state.m_crashes.m_losses, where, now);
        answered = forget_losses(state.m_crashes.m_answered, where, now);
    }
    log_forgotten(outlived, where, reason, now);
    outlived.insert(outlived.end(), answered.begin(), answered.end());
    for (const auto& attempt : outlived) {
        if (attempt.m_is_answered) {
            count_good_run(state, attempt.m_content, now);
        }
    }
}

void retract_reports(gateway_state& state, const upstream_incarnation& where, time_point now)
{
    forget_outlived_attempts(state, where, "answered", now);
    std::vector<lost_attempt> judged;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        judged = take_losses(state.m_crashes.m_reported_losses, where);
    }
    for (const auto& loss : judged) {
        auto crash = crash_report_of(where, loss);
        crash.m_is_outweighed = true;
        crash.m_is_doubtful = true;
        report_parts(state, loss, crash, "upstream_goes_on", now);
        registrar::pooled_suspicion subject{loss.m_pool, {}};
        subject.m_record.m_content = loss.m_content;
        subject.m_record.m_crash_reports.push_back(crash);
        if (state.m_feed.report(subject)) {
            log_suspicion(state, "suspicion_taken_back", subject, where.m_upstream.value(),
                          "upstream_goes_on", now);
            merge_suspicion(state, subject, now);
        }
    }
}

void report_unresponsive(gateway_state& state, const upstream_incarnation& where, bool is_doubtful,
                         const char* reason, time_point now)
{
    std::vector<lost_attempt> losses;
    std::vector<lost_attempt> weak;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        auto& known = state.m_crashes.m_losses;
        losses = is_doubtful ? losses_at(known, where) : take_losses(known, where);
        weak = take_weak_evidence(state.m_crashes, losses, now);
        for (const auto& loss : losses) {
            note_loss(state.m_crashes.m_reported_losses, where, loss);
        }
    }
    if (!is_doubtful) {
        log_forgotten(weak, where, "ran_well_elsewhere", now);
    }
    report_all(state, where, losses, is_doubtful, reason, now);
}

void take_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                    time_point now)
{
    log_suspicion(state, "suspicion_heard", received, "", "registry", now);
    merge_suspicion(state, received, now);
    offset_content_reports(state, received.m_record, now);
}

}  // namespace dewbeam::gateway
