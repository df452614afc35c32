#include "dewbeam/src/gateway/crash_blame.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <set>
#include <utility>

#include "dewbeam/src/gateway/crash_reports.h"
#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"
#include "dewbeam/src/gateway/part_blame.h"

namespace dewbeam::gateway {

namespace {

/// An upstream that is alive this long after an attempt broke didn't crash from it. A process that
/// crashes may serve on for a while after it closed the connection.
constexpr time_span crash_delay_limit = std::chrono::seconds(2);
/// The same after a complete answer.
constexpr time_span answered_crash_delay_limit = std::chrono::milliseconds(500);
/// Delay before the second probe of an upstream. Doubled for each further one, up to the limit.
constexpr time_span second_probe_delay = std::chrono::milliseconds(250);
constexpr time_span max_probe_delay = std::chrono::seconds(1);
/// How long after an upstream was found unresponsive the decision is delayed: its neighbours may be
/// found unresponsive within this time too, as in a network partition.
constexpr time_span unresponsive_settle_time = std::chrono::milliseconds(1500);
/// An upstream that has been unresponsive for longer is no evidence of a current partition.
constexpr time_span recent_unresponsive_window = std::chrono::seconds(5);
/// Maximum delay of a retry while the gateway determines whether the previous upstream crashed.
constexpr time_span max_hold = std::chrono::milliseconds(100);
/// The same for a suspect, whose exclusive grant is kept for longer.
constexpr time_span max_suspect_hold = std::chrono::milliseconds(500);
/// Delay before an upstream that has not answered is reported. An upstream that is only slow
/// answers another request within this time.
constexpr time_span unanswered_check_delay = std::chrono::milliseconds(200);
/// Longer than the registries take to find an upstream unresponsive and its successor takes to
/// announce itself.
constexpr time_span loss_retention = std::chrono::seconds(12);
/// How long an upstream that gives no sign of life may have crashed behind an answer: longer than
/// the registries take to find it unresponsive.
constexpr time_span answered_retention = std::chrono::seconds(8);
constexpr time_span reported_loss_retention = std::chrono::minutes(10);
/// A neighbour that answered within this time shows that its failure domain is reachable.
constexpr time_span neighbour_contact_window = std::chrono::seconds(1);

upstream_incarnation incarnation_of(const sent_attempt& sent)
{
    return {sent.m_upstream, sent.m_incarnation};
}

lost_attempt loss_of(const request_pointer& request, const sent_attempt& sent, time_point now)
{
    const auto& known = request->known();
    lost_attempt result{known.m_content, known.m_pool, sent.m_order, now};
    result.m_outlived_at = now + crash_delay_limit;
    return result;
}

/// Whether only the upstream is unresponsive, rather than the network path to it or its whole
/// service.
bool have_neighbours_answered(gateway_state& state, const sent_attempt& sent, time_point now)
{
    return state.m_upstreams.has_neighbour_answered(
        sent.m_upstream, std::max(sent.m_sent_at, now - neighbour_contact_window));
}

void note_loss(gateway_state& state, const request_pointer& request, const sent_attempt& sent,
               bool has_part_evidence, time_point now)
{
    auto loss = loss_of(request, sent, now);
    if (has_part_evidence) {
        loss.m_parts = *sent.m_parts;
    }
    const std::lock_guard lock(state.m_crashes.m_mutex);
    note_loss(state.m_crashes.m_losses, incarnation_of(sent), loss);
}

/// Answered attempts whose upstreams didn't crash, although they gave no sign of life, are good
/// runs.
void count_old_answered_attempts(gateway_state& state, time_point now)
{
    std::vector<lost_attempt> old;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        old = expire(state.m_crashes.m_answered, answered_retention, now);
    }
    for (const auto& attempt : old) {
        count_good_run(state, attempt.m_content, now);
    }
}

/// Whether attempts were lost or answered at an upstream lately.
bool has_run_recently(gateway_state& state, const upstream_incarnation& where)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    return state.m_crashes.m_losses.m_losses.contains(where) ||
           state.m_crashes.m_answered.m_losses.contains(where);
}

/// Whether an upstream may still crash from an attempt that was lost or answered there.
bool may_crash(gateway_state& state, const upstream_incarnation& where, time_point now)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    const auto is_pending = [&](const lost_attempt_tracker& tracker) {
        const auto place = tracker.m_losses.find(where);
        return place != tracker.m_losses.end() &&
               std::any_of(place->second.begin(), place->second.end(),
                           [&](const lost_attempt& item) { return now < item.m_outlived_at; });
    };
    return is_pending(state.m_crashes.m_losses) || is_pending(state.m_crashes.m_answered);
}

void end_probing(gateway_state& state, const upstream_incarnation& where)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    state.m_crashes.m_probed.erase(where);
}

/// Whether an upstream that is being probed has losses that it hasn't outlived. If not, ends the
/// probing.
bool has_losses(gateway_state& state, const upstream_incarnation& where)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    const bool result = state.m_crashes.m_losses.m_losses.contains(where);
    if (!result) {
        state.m_crashes.m_probed.erase(where);
    }
    return result;
}

/// Returns false if the upstream is being probed already.
bool begin_probing(gateway_state& state, const upstream_incarnation& where)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    return state.m_crashes.m_probed.insert(where).second;
}

/// Probes an upstream that may have crashed, if attempts were lost or answered there lately. A
/// refused connection confirms it.
void check_crash(gateway_state& state, const upstream_incarnation& where)
{
    const auto target = state.m_upstreams.find(where.m_upstream);
    if (!target.m_client || target.m_is_leaving || target.m_incarnation != where.m_incarnation ||
        !has_run_recently(state, where) || !begin_probing(state, where)) {
        return;
    }
    state.m_crashes.m_probe.ask(target.m_address, [&state, where](probe_result result) {
        if (result == probe_result::refused) {
            confirm_crash(state, where, "connection_refused", program::now());
        }
        end_probing(state, where);
    });
}

/// Probes an upstream that accepted a connection after one of its connections broke, until it has
/// crashed or outlived its losses. `then` is called after the first of these probes.
void probe_until_outlived(gateway_state& state, const upstream_incarnation& where,
                          const endpoint& address, time_span delay,
                          const std::function<void()>& then)
{
    const auto look = [&state, where, address, delay, then](probe_result result) {
        const auto now = program::now();
        if (result == probe_result::refused) {
            confirm_crash(state, where, "connection_refused", now);
        }
        else if (result == probe_result::accepted) {
            forget_outlived_attempts(state, where, "accepted", now);
        }
        if (has_losses(state, where)) {
            const auto next = std::min<time_span>(2 * delay, max_probe_delay);
            probe_until_outlived(state, where, address, next, [] {});
        }
        then();
    };
    state.m_crashes.m_probe.wait(
        delay, [&state, address, look] { state.m_crashes.m_probe.ask(address, look); });
}

/// Evaluates the probe of an upstream after one of its connections broke. `then` continues the
/// request: immediately, but for a suspect only once it is known whether the upstream crashed.
void handle_probe_result(gateway_state& state, const sent_attempt& sent, const endpoint& address,
                         probe_result result, bool is_suspect, const std::function<void()>& then)
{
    const auto now = program::now();
    const auto where = incarnation_of(sent);
    switch (result) {
        case probe_result::refused:
            confirm_crash(state, where, "connection_refused", now);
            break;
        case probe_result::accepted:
            if (begin_probing(state, where)) {
                probe_until_outlived(state, where, address, second_probe_delay, then);
            }
            if (is_suspect) {
                return;
            }
            break;
        case probe_result::no_answer:
            if (have_neighbours_answered(state, sent, now)) {
                report_unresponsive(state, where, true, "no_connection", now);
            }
            break;
    }
    then();
}

/// If the upstream still has not answered, records a failure against it, so that it is sent fewer
/// requests, and reports its lost contents as doubtful suspects. Both happen only if its neighbours
/// answer. In either case the upstream is probed, and a refused connection confirms a crash.
void report_if_unanswered(gateway_state& state, const sent_attempt& sent, const std::string& pool,
                          const endpoint& address, time_point now)
{
    if (state.m_upstreams.heard_at(sent.m_upstream) >= sent.m_sent_at) {
        return;
    }
    if (have_neighbours_answered(state, sent, now)) {
        report_unresponsive(state, incarnation_of(sent), true, "no_answer", now);
        state.m_pools.note_result(pool, sent.m_upstream, dispatch::upstream_result::failed, now);
    }
    state.m_crashes.m_probe.ask(address, [&state, sent](probe_result result) {
        if (result == probe_result::refused) {
            confirm_crash(state, incarnation_of(sent), "connection_refused", program::now());
        }
    });
}

/// Probes an upstream that the registries found unresponsive. If its host refuses connections, its
/// process has ended, and its silence is no evidence of a network partition.
void probe_unresponsive(gateway_state& state, const upstream_incarnation& where,
                        const endpoint& address)
{
    state.m_crashes.m_probe.ask(address, [&state, where](probe_result result) {
        if (result != probe_result::refused) {
            return;
        }
        {
            const std::lock_guard lock(state.m_crashes.m_mutex);
            state.m_crashes.m_unresponsive_since.erase(where);
            state.m_crashes.m_unreported_incarnations.erase(where);
        }
        confirm_crash(state, where, "connection_refused", program::now());
    });
}

/// Suspected contents whose last run here was lost so recently that its upstream may still crash.
std::vector<fingerprint> contents_awaiting_outcome(gateway_state& state, time_point now)
{
    std::set<fingerprint> recent;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        for (const auto& [process, losses] : state.m_crashes.m_losses.m_losses) {
            for (const auto& loss : losses) {
                if (now < loss.m_outlived_at) {
                    recent.insert(loss.m_content);
                }
            }
        }
    }
    std::erase_if(recent,
                  [&](fingerprint content) { return !state.m_feed.is_suspected(content, now); });
    return {recent.begin(), recent.end()};
}

}  // namespace

void handle_broken_attempt(gateway_state& state, const request_pointer& request,
                           const sent_attempt& sent, bool has_part_evidence,
                           std::function<void()> then, time_point now)
{
    const auto target = state.m_upstreams.find(sent.m_upstream);
    if (!target.m_client || target.m_is_leaving) {
        then();
        return;
    }
    note_loss(state, request, sent, has_part_evidence, now);
    const auto is_over = std::make_shared<std::atomic<bool>>(false);
    const std::function<void()> go_on = [is_over, then = std::move(then)] {
        if (!is_over->exchange(true)) {
            then();
        }
    };
    // A suspect that is retried immediately could crash the next upstream before the last crash is
    // known.
    const bool is_suspect =
        has_part_evidence || state.m_feed.is_suspected(request->known().m_content, now);
    state.m_crashes.m_probe.wait(is_suspect ? max_suspect_hold : max_hold, go_on);
    state.m_crashes.m_probe.ask(target.m_address, [&state, sent, address = target.m_address,
                                                   is_suspect, go_on](probe_result result) {
        handle_probe_result(state, sent, address, result, is_suspect, go_on);
    });
}

void check_unanswered_attempt(gateway_state& state, const request_pointer& request,
                              const sent_attempt& sent, time_point now)
{
    const auto target = state.m_upstreams.find(sent.m_upstream);
    if (!target.m_client || target.m_is_leaving ||
        state.m_upstreams.heard_at(sent.m_upstream) >= sent.m_sent_at) {
        return;
    }
    note_loss(state, request, sent, false, now);
    state.m_pools.suspend_exclusive_grant(request->known().m_pool, request->known().m_content);
    state.m_crashes.m_probe.wait(
        unanswered_check_delay,
        [&state, sent, pool = request->known().m_pool, address = target.m_address] {
            report_if_unanswered(state, sent, pool, address, program::now());
        });
}

void handle_answered_attempt(gateway_state& state, const request_pointer& request,
                             const sent_attempt& sent, time_point now)
{
    const auto where = incarnation_of(sent);
    const auto target = state.m_upstreams.find(sent.m_upstream);
    auto run = loss_of(request, sent, now);
    run.m_is_answered = true;
    run.m_outlived_at = now + answered_crash_delay_limit;
    if (!target.m_client || target.m_is_leaving) {
        count_good_run(state, run.m_content, now);
        return;
    }
    const bool is_suspect = state.m_feed.is_suspected(run.m_content, now);
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        note_loss(is_suspect ? state.m_crashes.m_losses : state.m_crashes.m_answered, where, run);
    }
    if (!is_suspect) {
        return;
    }
    // The next run must not begin before it is known whether this one ends the upstream.
    state.m_pools.suspend_exclusive_grant(run.m_pool, run.m_content);
    if (begin_probing(state, where)) {
        probe_until_outlived(state, where, target.m_address, second_probe_delay, [] {});
    }
}

void check_unreachable_upstream(gateway_state& state, const sent_attempt& sent)
{
    check_crash(state, incarnation_of(sent));
}

void check_idle_end(gateway_state& state, const upstream_incarnation& where, time_point now)
{
    if (may_crash(state, where, now)) {
        check_crash(state, where);
    }
}

void record_upstream_answer(gateway_state& state, const sent_attempt& sent, time_point now)
{
    state.m_upstreams.note_heard(sent.m_upstream, now);
    forget_outlived_attempts(state, incarnation_of(sent), "answered", now);
    bool is_doubted = false;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        is_doubted = state.m_crashes.m_reported_losses.m_losses.contains(incarnation_of(sent));
    }
    if (is_doubted) {
        retract_reports(state, incarnation_of(sent), now);
    }
}

void handle_upstream_change(gateway_state& state, const registry::record& changed, time_point now)
{
    const auto& known = changed.m_announced;
    const upstream_incarnation current{known.m_name, known.m_incarnation};
    if (known.m_state != registry::upstream_state::ready) {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        forget_upstream(state.m_crashes.m_losses, known.m_name);
        forget_upstream(state.m_crashes.m_answered, known.m_name);
        return;
    }
    if (changed.m_is_unresponsive) {
        {
            const std::lock_guard lock(state.m_crashes.m_mutex);
            if (!state.m_crashes.m_unresponsive_since.try_emplace(current, now).second) {
                return;
            }
            state.m_crashes.m_unreported_incarnations.insert(current);
        }
        probe_unresponsive(state, current, known.m_address);
        return;
    }
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        state.m_crashes.m_unresponsive_since.erase(current);
        state.m_crashes.m_unreported_incarnations.erase(current);
    }
    if (state.m_upstreams.is_unresponsive(known.m_name)) {
        retract_reports(state, current, now);
    }
    std::vector<upstream_incarnation> ended;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        ended = earlier_incarnations(state.m_crashes.m_losses, current);
        const auto answered = earlier_incarnations(state.m_crashes.m_answered, current);
        ended.insert(ended.end(), answered.begin(), answered.end());
    }
    for (const auto& other : state.m_upstreams.at_address(known.m_address)) {
        if (other.m_upstream != known.m_name) {
            ended.push_back(other);
        }
    }
    for (const auto& process : ended) {
        confirm_crash(state, process, "replaced", now);
    }
}

void apply_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                     time_point now)
{
    // Another gateway's evidence says that the upstream crashed, whatever ran there from here.
    for (const auto& crash : received.m_record.m_crash_reports) {
        check_crash(state, {crash.m_upstream, crash.m_incarnation});
    }
    if (is_about_part(received)) {
        apply_part_suspicion(state, received, now);
        return;
    }
    take_suspicion(state, received, now);
}

void apply_exclusive_grants(gateway_state& state, const std::vector<fingerprint>& granted,
                            time_point now)
{
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        if (granted.empty() && state.m_crashes.m_granted == 0) {
            return;
        }
        state.m_crashes.m_granted = granted.size();
    }
    auto usable = granted;
    for (const auto content : contents_awaiting_outcome(state, now)) {
        std::erase(usable, content);
    }
    perform(state, state.m_pools.set_exclusive_grants(usable, false, now), now);
}

void request_exclusive_grants(gateway_state& state, time_point now)
{
    auto wanted = state.m_pools.wanted_turns();
    const auto kept = contents_awaiting_outcome(state, now);
    wanted.insert(wanted.end(), kept.begin(), kept.end());
    state.m_feed.set_wanted_turns(std::move(wanted));
    const bool has_no_registry = state.m_feed.heard(now) == 0;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        if (!has_no_registry && !state.m_crashes.m_has_no_registry) {
            return;
        }
        state.m_crashes.m_has_no_registry = has_no_registry;
    }
    perform(state, state.m_pools.set_exclusive_grants({}, has_no_registry, now), now);
}

void report_unresponsive_upstreams(gateway_state& state, time_point now)
{
    count_old_answered_attempts(state, now);
    std::vector<upstream_incarnation> due;
    std::set<upstream_id> recently_unresponsive;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        expire(state.m_crashes.m_losses, loss_retention, now);
        expire(state.m_crashes.m_reported_losses, reported_loss_retention, now);
        for (const auto& [process, since] : state.m_crashes.m_unresponsive_since) {
            recently_unresponsive.insert(process.m_upstream);
            if (since + unresponsive_settle_time <= now &&
                state.m_crashes.m_unreported_incarnations.erase(process) > 0) {
                due.push_back(process);
            }
        }
        std::erase_if(state.m_crashes.m_unresponsive_since, [&](const auto& item) {
            return item.second + recent_unresponsive_window <= now;
        });
    }
    for (const auto& process : due) {
        if (state.m_upstreams.do_neighbours_announce(process.m_upstream, recently_unresponsive)) {
            report_unresponsive(state, process, false, "announcements_stopped", now);
        }
    }
}

}  // namespace dewbeam::gateway
