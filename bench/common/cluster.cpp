#include "bench/common/cluster.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dewbeam::bench {

namespace {

constexpr time_span tick_period = std::chrono::milliseconds(20);

bool is_urgent(const engine_model::engine_run& run)
{
    return run.m_request.m_is_urgent;
}

std::uint32_t count_urgent_waiting(const engine_model::engine& engine)
{
    return static_cast<std::uint32_t>(
        std::count_if(engine.m_waiting.begin(), engine.m_waiting.end(), is_urgent));
}

fairness::gate_counts counts_of(const engine_model::engine& engine)
{
    const auto beginning = std::count_if(engine.m_running.begin(), engine.m_running.end(),
                                         [](const engine_model::engine_run& run) {
                                             return is_urgent(run) && !run.m_has_first_token;
                                         });
    return {static_cast<std::uint32_t>(engine.m_running.size()), count_urgent_waiting(engine),
            static_cast<std::uint32_t>(beginning)};
}

std::uint32_t count_urgent(const engine_model::engine& engine)
{
    const auto running = std::count_if(engine.m_running.begin(), engine.m_running.end(), is_urgent);
    return count_urgent_waiting(engine) + static_cast<std::uint32_t>(running);
}

}  // namespace

void timeline::at(time_point when, std::function<void()> what)
{
    m_items.push({std::max(when, m_now), m_sequence++, std::move(what)});
}

void timeline::run_until(time_point end)
{
    while (!m_items.empty() && m_items.top().m_when <= end) {
        m_now = m_items.top().m_when;
        const auto what = m_items.top().m_what;
        m_items.pop();
        what();
    }
    m_now = end;
}

cluster::cluster(timeline& time, const cluster_options& options, const policy_maker& make)
    : m_time(time), m_options(options), m_random(options.m_seed)
{
    for (std::size_t i = 0; i < options.m_entries; ++i) {
        m_entries.push_back(make(i));
        m_time.after(tick_period, [this, i] { tick(i); });
    }
    m_engines.resize(options.m_engines);
    for (std::size_t i = 0; i < options.m_engines; ++i) {
        auto& host = m_engines[i];
        host.m_engine = engine_model::make_engine(options.m_engine);
        host.m_info.m_name = upstream_id("u" + std::to_string(i));
        host.m_info.m_failure_domain =
            failure_domain_id("domain-" + std::to_string(i % options.m_domains));
        host.m_info.m_labels = configuration::parse_labels("pool=chat").value();
        host.m_info.m_incarnation = incarnation{1};
        host.m_info.m_slots = options.m_engine.m_most_running;
        m_names[host.m_info.m_name] = i;
        tell_entries(i);
        m_time.after(options.m_report_period, [this, i] { publish_report(i); });
    }
}

void cluster::send(call request)
{
    const dispatch::ticket id{m_next_ticket++};
    const auto entry = request.m_entry;
    request.m_info.m_ticket = id;
    request.m_info.m_arrival = m_time.now();
    const auto info = request.m_info;
    m_calls[id].m_call = std::move(request);
    carry_out(entry, m_entries[entry]->submit(info, m_time.now()));
    if (info.m_deadline != no_deadline) {
        m_time.at(info.m_deadline, [this, id] { pass_deadline(id); });
    }
}

void cluster::stall(time_span span)
{
    for (auto& host : m_engines) {
        host.m_engine.m_stalled_until = m_time.now() + span;
    }
}

std::uint64_t cluster::computed_tokens() const
{
    std::uint64_t result = 0;
    for (const auto& host : m_engines) {
        result += host.m_engine.m_computed;
    }
    return result;
}

void cluster::carry_out(std::size_t entry, const dispatch::actions& steps)
{
    for (const auto& step : steps) {
        if (step.m_kind == dispatch::action::kind::dispatch) {
            dispatch_one(entry, step);
            continue;
        }
        auto result = m_calls.at(step.m_ticket).m_outcome;
        result.m_refusal = step.m_refusal;
        result.m_retry_at = step.m_retry_at;
        finish(step.m_ticket, result);
    }
}

void cluster::dispatch_one(std::size_t /*entry*/, const dispatch::action& step)
{
    const auto number = m_next_attempt++;
    auto& subject = m_calls.at(step.m_ticket);
    m_attempts[number] = {step.m_ticket, m_names.at(step.m_upstream), step.m_alone,
                          step.m_may_wait};
    subject.m_attempt = number;
    ++m_counts.m_dispatches;
    if (subject.m_outcome.m_tries++ == 0) {
        subject.m_outcome.m_dispatched_at = m_time.now();
        ++m_counts.m_first_tries;
    }
    m_time.after(m_options.m_hop, [this, number] { arrive(number); });
}

void cluster::arrive(std::uint64_t number)
{
    const auto place = m_attempts.find(number);
    if (place == m_attempts.end()) {
        return;  // cancelled on the way
    }
    auto& host = m_engines[place->second.m_engine];
    const bool is_sent_on = !place->second.m_may_wait &&
                            fairness::would_wait(counts_of(host.m_engine), host.m_info.m_slots);
    if (host.m_is_down || host.m_alone != 0 || is_sent_on) {
        m_time.after(m_options.m_hop,
                     [this, number] { end_attempt(number, dispatch::attempt_end::not_run); });
        return;
    }
    if (place->second.m_is_alone) {
        host.m_alone = number;
        if (!engine_model::is_idle(host.m_engine)) {
            return;  // it is given to the engine once that is empty
        }
    }
    give_to_engine(number);
}

void cluster::give_to_engine(std::uint64_t number)
{
    const auto& subject = m_attempts.at(number);
    auto& host = m_engines[subject.m_engine];
    auto work = m_calls.at(subject.m_ticket).m_call.m_work;
    work.m_number = number;
    m_counts.m_prompt_tokens += static_cast<std::uint64_t>(work.m_prompt);
    engine_model::add(host.m_engine, work);
    start_steps(subject.m_engine);
}

void cluster::keep_reserve(engine_host& host) const
{
    if (!m_options.m_reserves) {
        return;
    }
    fairness::note_urgent(host.m_demand, count_urgent(host.m_engine), m_time.now());
    host.m_engine.m_options.m_most_ordinary =
        fairness::ordinary_slots(m_options.m_classes, host.m_info.m_slots, host.m_demand);
    host.m_engine.m_options.m_most_urgent =
        fairness::urgent_slots(m_options.m_classes, host.m_info.m_slots);
}

void cluster::start_steps(std::size_t index)
{
    auto& host = m_engines[index];
    if (host.m_is_stepping || host.m_is_down) {
        return;
    }
    host.m_is_stepping = true;
    m_time.after(time_span::zero(), [this, index] { run_step(index); });
}

void cluster::run_step(std::size_t index)
{
    auto& host = m_engines[index];
    if (host.m_is_down || engine_model::is_idle(host.m_engine)) {
        host.m_is_stepping = false;
        return;
    }
    keep_reserve(host);
    std::vector<engine_model::engine_event> events;
    const auto end = engine_model::step(host.m_engine, m_time.now(), events);
    m_time.at(end, [this, index, events = std::move(events)] { after_step(index, events); });
}

void cluster::after_step(std::size_t index, const std::vector<engine_model::engine_event>& events)
{
    auto& host = m_engines[index];
    for (const auto& event : events) {
        const auto number = event.m_number;
        switch (event.m_kind) {
            case engine_model::engine_event::kind::first_token:
                m_time.after(m_options.m_hop, [this, number] { note_first_token(number); });
                break;
            case engine_model::engine_event::kind::completed:
                if (host.m_alone == number) {
                    host.m_alone = 0;
                }
                m_time.after(m_options.m_hop, [this, number] {
                    end_attempt(number, dispatch::attempt_end::completed);
                });
                break;
            case engine_model::engine_event::kind::crashed:
                crash(index);
                return;
        }
    }
    publish_cache(index);
    if (host.m_alone != 0 && engine_model::is_idle(host.m_engine)) {
        give_to_engine(host.m_alone);
    }
    run_step(index);
}

void cluster::note_first_token(std::uint64_t number)
{
    const auto place = m_attempts.find(number);
    if (place == m_attempts.end()) {
        return;
    }
    auto& subject = m_calls.at(place->second.m_ticket);
    subject.m_outcome.m_first_token = m_time.now();
    m_entries[subject.m_call.m_entry]->first_token(place->second.m_ticket, m_time.now());
}

void cluster::end_attempt(std::uint64_t number, dispatch::attempt_end end)
{
    const auto place = m_attempts.find(number);
    if (place == m_attempts.end()) {
        return;
    }
    const auto id = place->second.m_ticket;
    m_attempts.erase(place);
    auto& subject = m_calls.at(id);
    const auto entry = subject.m_call.m_entry;
    subject.m_attempt = 0;
    const auto steps = m_entries[entry]->ended(id, end, m_time.now());
    if (end == dispatch::attempt_end::completed) {
        auto result = subject.m_outcome;
        result.m_is_completed = true;
        finish(id, result);
    }
    gossip(entry);
    carry_out(entry, steps);
}

void cluster::finish(dispatch::ticket id, outcome result)
{
    result.m_at = m_time.now();
    const auto done = std::move(m_calls.at(id).m_call.m_on_end);
    m_calls.erase(id);
    // In an event of its own: the caller may send again, and actions may still be under way.
    m_time.after(time_span::zero(), [done, result] { done(result); });
}

void cluster::pass_deadline(dispatch::ticket id)
{
    const auto place = m_calls.find(id);
    if (place == m_calls.end()) {
        return;
    }
    const auto entry = place->second.m_call.m_entry;
    const auto number = place->second.m_attempt;
    const auto attempt_place = m_attempts.find(number);
    if (attempt_place != m_attempts.end()) {
        const auto index = attempt_place->second.m_engine;
        auto& host = m_engines[index];
        m_attempts.erase(attempt_place);
        host.m_alone = host.m_alone == number ? 0 : host.m_alone;
        m_time.after(m_options.m_hop, [this, index, number] {
            engine_model::cancel(m_engines[index].m_engine, number);
        });
    }
    auto result = place->second.m_outcome;
    result.m_is_timeout = true;
    const auto steps = m_entries[entry]->cancel(id, m_time.now());
    finish(id, result);
    carry_out(entry, steps);
}

void cluster::crash(std::size_t index)
{
    auto& host = m_engines[index];
    ++m_counts.m_crashes;
    host.m_is_down = true;
    host.m_is_stepping = false;
    auto lost = engine_model::crash(host.m_engine);
    if (host.m_alone != 0 && std::find(lost.begin(), lost.end(), host.m_alone) == lost.end()) {
        lost.push_back(host.m_alone);
    }
    host.m_alone = 0;
    const auto name = host.m_info.m_name;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_time.after(m_options.m_hop,
                     [this, i, name] { carry_out(i, m_entries[i]->remove(name, m_time.now())); });
    }
    for (const auto number : lost) {
        m_time.after(m_options.m_hop,
                     [this, number] { end_attempt(number, dispatch::attempt_end::upstream_died); });
    }
    m_time.after(m_options.m_restart, [this, index] { restart(index); });
}

void cluster::restart(std::size_t index)
{
    auto& host = m_engines[index];
    host.m_is_down = false;
    host.m_next_event = 1;
    host.m_info.m_incarnation = incarnation{host.m_info.m_incarnation.value() + 1};
    host.m_info.m_report = {};
    tell_entries(index);
}

void cluster::publish_cache(std::size_t index)
{
    auto& host = m_engines[index];
    for (auto& change : host.m_engine.m_changes) {
        const routing::cache_event event{host.m_next_event++, change.m_is_removal,
                                         std::move(change.m_blocks)};
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (uniform_unit(m_random) < m_options.m_event_loss) {
                continue;
            }
            m_time.after(m_options.m_event_lag, [this, i, event, name = host.m_info.m_name] {
                m_entries[i]->cache_event(name, event);
            });
        }
    }
    host.m_engine.m_changes.clear();
}

void cluster::publish_report(std::size_t index)
{
    auto& host = m_engines[index];
    m_time.after(m_options.m_report_period, [this, index] { publish_report(index); });
    if (host.m_is_down) {
        return;
    }
    auto& report = host.m_info.m_report;
    report.m_running = static_cast<std::uint32_t>(host.m_engine.m_running.size());
    report.m_waiting = static_cast<std::uint32_t>(host.m_engine.m_waiting.size());
    report.m_urgent = count_urgent(host.m_engine);
    report.m_ordinary_slots = m_options.m_reserves ? host.m_engine.m_options.m_most_ordinary : 0;
    report.m_free_kv = engine_model::free_kv(host.m_engine);
    report.m_total_kv = host.m_engine.m_options.m_kv.m_total;
    report.m_step_time = host.m_engine.m_last_step;
    report.m_skew = host.m_engine.m_slowest_rank;
    report.m_measured_at = m_time.now();
    m_time.after(m_options.m_report_lag, [this, index, info = host.m_info] {
        const auto& current = m_engines[index];
        if (current.m_is_down || current.m_info.m_incarnation != info.m_incarnation) {
            return;
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            carry_out(i, m_entries[i]->update(info, m_time.now()));
        }
    });
}

void cluster::tell_entries(std::size_t index)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        carry_out(i, m_entries[i]->update(m_engines[index].m_info, m_time.now()));
    }
}

void cluster::tick(std::size_t entry)
{
    carry_out(entry, m_entries[entry]->tick(m_time.now()));
    m_time.after(tick_period, [this, entry] { tick(entry); });
}

void cluster::gossip(std::size_t entry)
{
    for (const auto& record : m_entries[entry]->take_suspicions()) {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (i == entry) {
                continue;
            }
            m_time.after(m_options.m_gossip, [this, i, record] {
                carry_out(i, m_entries[i]->merge(record, m_time.now()));
            });
        }
    }
}

time_span from_seconds(double value)
{
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(value));
}

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(samples.size() - 1);
    const auto place = static_cast<std::ptrdiff_t>(std::lround(last * share));
    std::nth_element(samples.begin(), samples.begin() + place, samples.end());
    return samples[static_cast<std::size_t>(place)];
}

double mean(const std::vector<double>& samples)
{
    if (samples.empty()) {
        return 0.0;
    }
    return std::accumulate(samples.begin(), samples.end(), 0.0) /
           static_cast<double>(samples.size());
}

}  // namespace dewbeam::bench
