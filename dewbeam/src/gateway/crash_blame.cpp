#include "dewbeam/src/gateway/crash_blame.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <set>
#include <utility>

#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

namespace {

/// A process that ends may close its connections a moment before its listener.
constexpr time_span second_look = std::chrono::milliseconds(250);
/// After an upstream was found silent its neighbours may be found so too, as in a cut.
constexpr time_span silence_settles = std::chrono::milliseconds(1500);
/// One that has been silent for longer says nothing of a cut of now.
constexpr time_span silence_is_new_for = std::chrono::seconds(5);
/// What is sent on waits no longer for what became of the upstream before.
constexpr time_span longest_hold = std::chrono::milliseconds(100);
/// An upstream that is only slow answers something else meanwhile.
constexpr time_span silence_span = std::chrono::milliseconds(200);
/// What became of an upstream is known by then, mostly; its content's turn is kept until then.
constexpr time_span judgement_span = std::chrono::milliseconds(500);
/// Longer than registries take to find an upstream silent, and its successor to announce itself.
constexpr time_span losses_kept_for = std::chrono::seconds(12);
constexpr time_span judged_kept_for = std::chrono::minutes(10);
/// Answers may be read by so much later than the end of another connection that came after them.
constexpr time_span reordering = std::chrono::milliseconds(50);
/// A neighbour that was heard this long ago shows that the way to its domain is good.
constexpr time_span neighbour_span = std::chrono::seconds(1);

upstream_life life_of(const sent_attempt& sent)
{
    return {sent.m_upstream, sent.m_incarnation};
}

lost_attempt loss_of(const request_pointer& request, const sent_attempt& sent, time_point now)
{
    const auto& known = request->known();
    return {known.m_content, known.m_pool, sent.m_order, now};
}

void log_suspicion(const gateway_state& state, const char* event,
                   const registrar::noted_suspicion& subject, const std::string& upstream,
                   const char* reason, time_point now)
{
    const auto content = subject.m_record.m_content;
    log_event(log_level::info, event,
              {{"pool", subject.m_pool},
               {"content", content.value()},
               {"upstream", upstream},
               {"reason", reason},
               {"deaths", state.m_feed.deaths_of(content, now)}});
}

void merge(gateway_state& state, const registrar::noted_suspicion& subject, time_point now)
{
    perform(state, state.m_pools.merge_suspicion(subject.m_pool, subject.m_record, now), now);
}

/// A good run that is known here speaks against each death that is news.
void weigh(gateway_state& state, const quarantine::suspicion& news, time_point now)
{
    for (const auto& item : news.m_deaths) {
        {
            const std::lock_guard lock(state.m_crashes.m_mutex);
            if (!spend_good_run(state.m_crashes.m_good_runs, news.m_content)) {
                return;
            }
        }
        if (item.m_is_outweighed) {
            continue;  // by the good runs of another gateway, of which this one is a part
        }
        if (const auto record = state.m_feed.report_good_run(news.m_content, now)) {
            merge(state, *record, now);
        }
    }
}

/// Tells all gateways how the upstream of a lost attempt fared.
void report(gateway_state& state, const upstream_life& where, const lost_attempt& loss,
            const quarantine::death& how, const char* reason, time_point now)
{
    registrar::noted_suspicion subject{loss.m_pool, {}};
    subject.m_record.m_content = loss.m_content;
    subject.m_record.m_deaths.push_back(how);
    if (!state.m_feed.report(subject)) {
        return;
    }
    log_suspicion(state, "content_suspected", subject, where.m_upstream.value(), reason, now);
    state.m_metrics.content_suspected(reason);
    merge(state, subject, now);
    weigh(state, subject.m_record, now);
}

quarantine::death death_of(const upstream_life& where, const lost_attempt& loss)
{
    quarantine::death how{where.m_upstream, where.m_incarnation, loss.m_lost_at, false};
    how.m_order = loss.m_order;
    return how;
}

void report_all(gateway_state& state, const upstream_life& where,
                const std::vector<lost_attempt>& losses, bool is_doubtful, const char* reason,
                time_point now)
{
    for (const auto& loss : losses) {
        auto how = death_of(where, loss);
        how.m_is_doubtful = is_doubtful;
        report(state, where, loss, how, reason, now);
    }
}

/// The life is over, so that all that was lost in it is suspected.
void confirm_end(gateway_state& state, const upstream_life& where, const char* reason,
                 time_point now)
{
    std::vector<lost_attempt> losses;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        losses = take_losses(state.m_crashes.m_losses, where);
    }
    report_all(state, where, losses, false, reason, now);
}

/// An upstream that was held for ended goes on in the same life.
void take_back(gateway_state& state, const upstream_life& where, time_point now)
{
    const auto seen_at = now - reordering;
    std::vector<lost_attempt> judged;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        forget_losses(state.m_crashes.m_losses, where, seen_at);
        judged = take_losses(state.m_crashes.m_judged, where);
    }
    for (const auto& loss : judged) {
        auto how = death_of(where, loss);
        how.m_is_outweighed = true;
        registrar::noted_suspicion subject{loss.m_pool, {}};
        subject.m_record.m_content = loss.m_content;
        subject.m_record.m_deaths.push_back(how);
        if (state.m_feed.report(subject)) {
            log_suspicion(state, "suspicion_taken_back", subject, where.m_upstream.value(),
                          "upstream_goes_on", now);
            merge(state, subject, now);
        }
    }
}

/// Whether what is silent is the upstream, rather than the way to it or all of its service.
bool are_neighbours_heard(gateway_state& state, const sent_attempt& sent, time_point now)
{
    return state.m_upstreams.was_neighbour_heard(sent.m_upstream,
                                                 std::max(sent.m_sent_at, now - neighbour_span));
}

std::vector<lost_attempt> losses_in(gateway_state& state, const upstream_life& where)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    const auto place = state.m_crashes.m_losses.m_losses.find(where);
    return place == state.m_crashes.m_losses.m_losses.end() ? std::vector<lost_attempt>()
                                                            : place->second;
}

/// Remembers what may have to be taken back, and tells it.
void report_silence(gateway_state& state, const upstream_life& where, bool is_doubtful,
                    const char* reason, time_point now)
{
    const auto losses = losses_in(state, where);
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        for (const auto& loss : losses) {
            note_loss(state.m_crashes.m_judged, where, loss);
        }
        if (!is_doubtful) {
            take_losses(state.m_crashes.m_losses, where);
        }
    }
    report_all(state, where, losses, is_doubtful, reason, now);
}

void note_loss(gateway_state& state, const request_pointer& request, const sent_attempt& sent,
               time_point now)
{
    const std::lock_guard lock(state.m_crashes.m_mutex);
    note_loss(state.m_crashes.m_losses, life_of(sent), loss_of(request, sent, now));
}

/// Looks once more at an upstream that accepted a connection after one of its connections broke.
void look_again(gateway_state& state, const upstream_life& where, const endpoint& address,
                time_point accepted_at, const std::function<void()>& then)
{
    const auto look = [&state, where, accepted_at, then](probe_result result) {
        if (result == probe_result::refused) {
            confirm_end(state, where, "connection_refused", program::now());
        }
        else if (result == probe_result::accepted) {
            const std::lock_guard lock(state.m_crashes.m_mutex);
            forget_losses(state.m_crashes.m_losses, where, accepted_at);
        }
        then();
    };
    state.m_crashes.m_probe.wait(
        second_look, [&state, address, look] { state.m_crashes.m_probe.ask(address, look); });
}

/// What an upstream's host says after one of its connections broke. The request goes on by `then`:
/// at once, but a suspect only when it is known whether the upstream ended.
void judge_answer(gateway_state& state, const sent_attempt& sent, const endpoint& address,
                  probe_result result, bool is_suspect, const std::function<void()>& then)
{
    const auto now = program::now();
    const auto where = life_of(sent);
    switch (result) {
        case probe_result::refused:
            confirm_end(state, where, "connection_refused", now);
            break;
        case probe_result::accepted:
            look_again(state, where, address, now, then);
            if (is_suspect) {
                return;
            }
            break;
        case probe_result::no_answer:
            if (are_neighbours_heard(state, sent, now)) {
                report_silence(state, where, true, "no_connection", now);
            }
            break;
    }
    then();
}

/// An upstream that is still silent gets less, and what it was sent is doubted.
void doubt_if_silent(gateway_state& state, const sent_attempt& sent, const std::string& pool,
                     const endpoint& address, time_point now)
{
    if (state.m_upstreams.heard_at(sent.m_upstream) >= sent.m_sent_at) {
        return;
    }
    if (are_neighbours_heard(state, sent, now)) {
        report_silence(state, life_of(sent), true, "no_answer", now);
        state.m_pools.note_result(pool, sent.m_upstream, dispatch::upstream_result::failed, now);
    }
    state.m_crashes.m_probe.ask(address, [&state, sent](probe_result result) {
        if (result == probe_result::refused) {
            confirm_end(state, life_of(sent), "connection_refused", program::now());
        }
    });
}

/// Suspected contents whose last run here ended a moment ago, so that it isn't known yet how.
std::vector<fingerprint> contents_under_judgement(gateway_state& state, time_point now)
{
    std::set<fingerprint> recent;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        for (const auto& [life, losses] : state.m_crashes.m_losses.m_losses) {
            for (const auto& loss : losses) {
                if (now < loss.m_lost_at + judgement_span) {
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

void judge_broken_attempt(gateway_state& state, const request_pointer& request,
                          const sent_attempt& sent, std::function<void()> then, time_point now)
{
    const auto target = state.m_upstreams.find(sent.m_upstream);
    if (!target.m_client || target.m_is_leaving) {
        then();
        return;
    }
    note_loss(state, request, sent, now);
    const auto is_over = std::make_shared<std::atomic<bool>>(false);
    const std::function<void()> go_on = [is_over, then = std::move(then)] {
        if (!is_over->exchange(true)) {
            then();
        }
    };
    // A suspect that went on at once would end the next upstream before the last end is known.
    const bool is_suspect = state.m_feed.is_suspected(request->known().m_content, now);
    state.m_crashes.m_probe.wait(is_suspect ? judgement_span : longest_hold, go_on);
    state.m_crashes.m_probe.ask(target.m_address, [&state, sent, address = target.m_address,
                                                   is_suspect, go_on](probe_result result) {
        judge_answer(state, sent, address, result, is_suspect, go_on);
    });
}

void judge_silent_attempt(gateway_state& state, const request_pointer& request,
                          const sent_attempt& sent, time_point now)
{
    const auto target = state.m_upstreams.find(sent.m_upstream);
    if (!target.m_client || target.m_is_leaving ||
        state.m_upstreams.heard_at(sent.m_upstream) >= sent.m_sent_at) {
        return;
    }
    note_loss(state, request, sent, now);
    state.m_pools.suspend_turn(request->known().m_pool, request->known().m_content);
    state.m_crashes.m_probe.wait(
        silence_span, [&state, sent, pool = request->known().m_pool, address = target.m_address] {
            doubt_if_silent(state, sent, pool, address, program::now());
        });
}

void note_good_run(gateway_state& state, const request_pointer& request, time_point now)
{
    const auto content = request->known().m_content;
    if (const auto record = state.m_feed.report_good_run(content, now)) {
        log_suspicion(state, "suspicion_outweighed", *record, request->upstream().value(),
                      "ran_to_its_end", now);
        merge(state, *record, now);
        return;
    }
    const std::lock_guard lock(state.m_crashes.m_mutex);
    note_good_run(state.m_crashes.m_good_runs, content);
}

void note_sign_of_life(gateway_state& state, const sent_attempt& sent, time_point now)
{
    state.m_upstreams.note_heard(sent.m_upstream, now);
    bool is_doubted = false;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        is_doubted = state.m_crashes.m_judged.m_losses.contains(life_of(sent)) ||
                     state.m_crashes.m_losses.m_losses.contains(life_of(sent));
    }
    if (is_doubted) {
        take_back(state, life_of(sent), now);
    }
}

void judge_change(gateway_state& state, const registry::record& changed, time_point now)
{
    const auto& known = changed.m_announced;
    const upstream_life current{known.m_name, known.m_incarnation};
    if (known.m_state != registry::upstream_state::ready) {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        forget_upstream(state.m_crashes.m_losses, known.m_name);
        return;
    }
    if (changed.m_is_silent) {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        if (state.m_crashes.m_silent.try_emplace(current, now).second) {
            state.m_crashes.m_to_judge.insert(current);
        }
        return;
    }
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        state.m_crashes.m_silent.erase(current);
        state.m_crashes.m_to_judge.erase(current);
    }
    if (state.m_upstreams.is_silent(known.m_name)) {
        take_back(state, current, now);
    }
    std::vector<upstream_life> over;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        over = earlier_lives(state.m_crashes.m_losses, current);
    }
    for (const auto& other : state.m_upstreams.at_address(known.m_address)) {
        if (other.m_upstream != known.m_name) {
            over.push_back(other);
        }
    }
    for (const auto& life : over) {
        confirm_end(state, life, "replaced", now);
    }
}

void take_suspicion(gateway_state& state, const registrar::noted_suspicion& heard, time_point now)
{
    log_suspicion(state, "suspicion_heard", heard, "", "registry", now);
    merge(state, heard, now);
    weigh(state, heard.m_record, now);
}

void take_turns(gateway_state& state, const std::vector<fingerprint>& granted, time_point now)
{
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        if (granted.empty() && state.m_crashes.m_granted == 0) {
            return;
        }
        state.m_crashes.m_granted = granted.size();
    }
    auto usable = granted;
    for (const auto content : contents_under_judgement(state, now)) {
        std::erase(usable, content);
    }
    perform(state, state.m_pools.set_turns(usable, false, now), now);
}

void ask_for_turns(gateway_state& state, time_point now)
{
    auto wanted = state.m_pools.wanted_turns();
    const auto kept = contents_under_judgement(state, now);
    wanted.insert(wanted.end(), kept.begin(), kept.end());
    state.m_feed.set_wanted_turns(std::move(wanted));
    const bool is_cut_off = state.m_feed.heard(now) == 0;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        if (!is_cut_off && !state.m_crashes.m_is_cut_off) {
            return;
        }
        state.m_crashes.m_is_cut_off = is_cut_off;
    }
    perform(state, state.m_pools.set_turns({}, is_cut_off, now), now);
}

void judge_silent_upstreams(gateway_state& state, time_point now)
{
    std::vector<upstream_life> due;
    std::set<upstream_id> fell_silent;
    {
        const std::lock_guard lock(state.m_crashes.m_mutex);
        expire(state.m_crashes.m_losses, losses_kept_for, now);
        expire(state.m_crashes.m_judged, judged_kept_for, now);
        for (const auto& [life, since] : state.m_crashes.m_silent) {
            fell_silent.insert(life.m_upstream);
            if (since + silence_settles <= now && state.m_crashes.m_to_judge.erase(life) > 0) {
                due.push_back(life);
            }
        }
        std::erase_if(state.m_crashes.m_silent,
                      [&](const auto& item) { return item.second + silence_is_new_for <= now; });
    }
    for (const auto& life : due) {
        if (state.m_upstreams.do_neighbours_announce(life.m_upstream, fell_silent)) {
            report_silence(state, life, false, "announcements_stopped", now);
        }
    }
}

}  // namespace dewbeam::gateway
