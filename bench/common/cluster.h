/// \file
/// Entries, agents and engine models joined in virtual time, for the benches.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "bench/common/policy.h"
#include "dewbeam/engine_model"

namespace dewbeam::bench {

/// Things that happen at stated times, in the order of time and then of scheduling.
class timeline {
public:
    [[nodiscard]] time_point now() const { return m_now; }
    void at(time_point when, std::function<void()> what);
    void after(time_span span, std::function<void()> what) { at(m_now + span, std::move(what)); }
    void run_until(time_point end);

private:
    struct item {
        time_point m_when;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_what;
        friend bool operator<(const item& a, const item& b)
        {
            return a.m_when != b.m_when ? a.m_when > b.m_when : a.m_sequence > b.m_sequence;
        }
    };
    time_point m_now{std::chrono::seconds(1)};
    std::uint64_t m_sequence = 0;
    std::priority_queue<item> m_items;
};

/// Sizes and delays.
struct cluster_options {
    std::size_t m_entries = 4;
    std::size_t m_engines = 12;
    std::size_t m_domains = 1;  ///< engines are dealt to them in turn; entries too
    engine_model::engine_options m_engine;
    time_span m_hop = std::chrono::microseconds(500);  ///< entry to agent, one way
    time_span m_report_period = std::chrono::milliseconds(100);
    time_span m_report_lag = std::chrono::milliseconds(500);
    time_span m_event_lag = std::chrono::milliseconds(200);
    double m_event_loss = 0.1;
    time_span m_gossip = std::chrono::milliseconds(20);
    time_span m_restart = std::chrono::seconds(10);  ///< of a crashed engine
    bool m_reserves = false;  ///< agents keep slots for urgent work, as `m_classes` says
    fairness::class_options m_classes;
    std::uint64_t m_seed = 1;
};

/// How a request ended for its caller.
struct outcome {
    bool m_is_completed = false;
    bool m_is_timeout = false;  ///< the caller's deadline passed while it ran
    dispatch::refusal m_refusal = dispatch::refusal::overloaded;
    time_point m_retry_at{};
    time_point m_at{};
    time_point m_dispatched_at{};  ///< first dispatch
    time_point m_first_token{};
    std::uint32_t m_tries = 0;
};

/// A caller's request.
struct call {
    std::size_t m_entry = 0;
    dispatch::request_info m_info;  ///< the ticket and the arrival are filled in
    engine_model::engine_request m_work;
    std::function<void(const outcome&)> m_on_end;
};

/// What a cluster counted.
struct cluster_counts {
    std::uint64_t m_dispatches = 0;
    std::uint64_t m_first_tries = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_prompt_tokens = 0;  ///< sent to engines
};

/// The cluster.
class cluster {
public:
    cluster(timeline& time, const cluster_options& options, const policy_maker& make);

    /// A caller sends a request now.
    void send(call request);

    /// Every engine stands still for `span`.
    void stall(time_span span);

    [[nodiscard]] const cluster_counts& counts() const { return m_counts; }
    [[nodiscard]] const policy& entry(std::size_t index) const { return *m_entries[index]; }
    [[nodiscard]] std::size_t entries() const { return m_entries.size(); }
    [[nodiscard]] const engine_model::engine& engine(std::size_t index) const
    {
        return m_engines[index].m_engine;
    }
    [[nodiscard]] std::uint64_t computed_tokens() const;

private:
    struct attempt {
        dispatch::ticket m_ticket;
        std::size_t m_engine = 0;
        bool m_is_alone = false;
        bool m_may_wait = true;
    };
    struct open_call {
        call m_call;
        outcome m_outcome;
        std::uint64_t m_attempt = 0;  ///< under way; 0: none
    };
    struct engine_host {
        engine_model::engine m_engine;
        dispatch::upstream_info m_info;
        fairness::urgent_demand m_demand;
        bool m_is_stepping = false;
        bool m_is_down = false;
        std::uint64_t m_alone = 0;  ///< attempt that runs alone or waits to; 0: none
        std::uint64_t m_next_event = 1;
    };

    void carry_out(std::size_t entry, const dispatch::actions& steps);
    void dispatch_one(std::size_t entry, const dispatch::action& step);
    void arrive(std::uint64_t number);
    void give_to_engine(std::uint64_t number);
    void keep_reserve(engine_host& host) const;
    void start_steps(std::size_t index);
    void run_step(std::size_t index);
    void after_step(std::size_t index, const std::vector<engine_model::engine_event>& events);
    void note_first_token(std::uint64_t number);
    void end_attempt(std::uint64_t number, dispatch::attempt_end end);
    void finish(dispatch::ticket id, outcome result);
    void pass_deadline(dispatch::ticket id);
    void crash(std::size_t index);
    void restart(std::size_t index);
    void publish_cache(std::size_t index);
    void publish_report(std::size_t index);
    void tell_entries(std::size_t index);
    void tick(std::size_t entry);
    void gossip(std::size_t entry);

    timeline& m_time;
    cluster_options m_options;
    random_engine m_random;
    std::vector<std::unique_ptr<policy>> m_entries;
    std::vector<engine_host> m_engines;
    std::map<upstream_id, std::size_t> m_names;
    std::map<dispatch::ticket, open_call> m_calls;
    std::map<std::uint64_t, attempt> m_attempts;
    std::uint64_t m_next_ticket = 1;
    std::uint64_t m_next_attempt = 1;
    cluster_counts m_counts;
};

/// A span from seconds.
time_span from_seconds(double value);

/// The value below which `share` of the samples lie; 0 where there are none.
double percentile(std::vector<double> samples, double share);

/// The mean; 0 where there are no samples.
double mean(const std::vector<double>& samples);

}  // namespace dewbeam::bench
