// Poison: requests that crash each engine that runs them, sent again through many entries.
#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/common/cluster.h"

namespace {

using namespace dewbeam;
using namespace dewbeam::bench;

constexpr double run_seconds = 120.0;
constexpr std::size_t engines = 12;
constexpr std::size_t entries = 6;
constexpr std::uint32_t slots = 16;
constexpr double innocents_a_second = 20.0;
constexpr double first_poison_at = 15.0;
constexpr double poison_period = 30.0;
constexpr int poisons = 3;
constexpr int most_resends = 20;
constexpr int max_innocent_resends = 5;
constexpr double time_limit = 30.0;
constexpr double non_idempotent_share = 0.05;
constexpr std::uint64_t seeds[] = {41, 42, 43, 44, 45};

/// How the poison's caller comes back.
struct workload {
    double m_resend_seconds = 0.1;  ///< after each answer
    bool m_is_idempotent = true;
    int m_copies = 1;  ///< sent at the same moment
};

struct result {
    std::uint64_t m_crashes = 0;
    std::size_t m_innocents = 0;
    std::size_t m_finished = 0;
    std::size_t m_maybe_run = 0;  ///< innocents that may not run twice and were told so
    std::size_t m_quarantined_answers = 0;
};

class driver {
public:
    driver(const workload& load, const policy_maker& make, std::uint64_t seed)
        : m_load(load), m_random(seed), m_cluster(m_time, options(seed), make)
    {
    }

    result run()
    {
        next_innocent();
        for (int i = 0; i < poisons; ++i) {
            m_time.after(from_seconds(first_poison_at + i * poison_period), [this, i] {
                for (int copy = 0; copy < m_load.m_copies; ++copy) {
                    send_poison(1'000'000 + static_cast<std::uint64_t>(i), most_resends);
                }
            });
        }
        m_time.run_until(m_time.now() + from_seconds(run_seconds + 2 * time_limit));
        m_result.m_crashes = m_cluster.counts().m_crashes;
        return m_result;
    }

private:
    static cluster_options options(std::uint64_t seed)
    {
        cluster_options result;
        result.m_seed = seed;
        result.m_engines = engines;
        result.m_entries = entries;
        result.m_engine.m_most_running = slots;
        return result;
    }

    call make_call(std::uint64_t content)
    {
        call request;
        request.m_entry = uniform_below(m_random, entries);
        request.m_info.m_workspace = workspace_id("w" + std::to_string(content % 10));
        request.m_info.m_upstreams = configuration::parse_selector("pool=chat").value();
        request.m_info.m_prompt_tokens = {400};
        request.m_info.m_output_tokens = {150};
        request.m_info.m_fingerprint = fingerprint{content};
        request.m_info.m_deadline = m_time.now() + from_seconds(time_limit);
        request.m_work.m_prompt = 400;
        request.m_work.m_output = 50 + static_cast<std::int64_t>(content % 100);
        request.m_work.m_output_bound = 150;
        return request;
    }

    void next_innocent()
    {
        if (to_seconds(m_time.now().time_since_epoch()) > run_seconds) {
            return;
        }
        ++m_result.m_innocents;
        send_innocent(m_result.m_innocents, uniform_unit(m_random) >= non_idempotent_share,
                      max_innocent_resends);
        m_time.after(from_seconds(exponential(m_random, 1.0 / innocents_a_second)),
                     [this] { next_innocent(); });
    }

    void send_innocent(std::uint64_t content, bool is_idempotent, int resends)
    {
        auto request = make_call(content);
        request.m_info.m_idempotent = is_idempotent;
        request.m_on_end = [this, content, is_idempotent, resends](const outcome& end) {
            if (end.m_is_completed) {
                ++m_result.m_finished;
                return;
            }
            if (!is_idempotent && end.m_refusal == dispatch::refusal::maybe_run) {
                ++m_result.m_maybe_run;  // its caller may not send it again
                return;
            }
            if (resends > 0) {
                const auto back = std::max(end.m_retry_at, m_time.now() + from_seconds(1.0));
                m_time.at(back, [this, content, is_idempotent, resends] {
                    send_innocent(content, is_idempotent, resends - 1);
                });
            }
        };
        m_cluster.send(std::move(request));
    }

    void send_poison(std::uint64_t content, int resends)
    {
        auto request = make_call(content);
        request.m_info.m_idempotent = m_load.m_is_idempotent;
        request.m_work.m_is_poison = true;
        request.m_on_end = [this, content, resends](const outcome& end) {
            m_result.m_quarantined_answers +=
                end.m_refusal == dispatch::refusal::quarantined && !end.m_is_completed ? 1 : 0;
            if (resends > 0) {
                m_time.after(from_seconds(m_load.m_resend_seconds),
                             [this, content, resends] { send_poison(content, resends - 1); });
            }
        };
        m_cluster.send(std::move(request));
    }

    workload m_load;
    random_engine m_random;
    timeline m_time;
    cluster m_cluster;
    result m_result;
};

nlohmann::json figures(const policy_maker& make, const workload& load)
{
    result sum;
    std::uint64_t worst = 0;
    for (const auto seed : seeds) {
        const auto run = driver(load, make, seed).run();
        worst = std::max(worst, run.m_crashes);
        sum.m_crashes += run.m_crashes;
        sum.m_innocents += run.m_innocents;
        sum.m_finished += run.m_finished;
        sum.m_maybe_run += run.m_maybe_run;
        sum.m_quarantined_answers += run.m_quarantined_answers;
    }
    const double runs = static_cast<double>(std::size(seeds)) * poisons;
    return {{"upstreams_lost_per_poison", static_cast<double>(sum.m_crashes) / runs},
            {"upstreams_lost_per_poison_in_worst_run", static_cast<double>(worst) / poisons},
            {"innocents_finished",
             static_cast<double>(sum.m_finished) / static_cast<double>(sum.m_innocents)},
            {"innocents_told_maybe_run", sum.m_maybe_run},
            {"innocents", sum.m_innocents},
            {"quarantined_answers", sum.m_quarantined_answers}};
}

}  // namespace

int main()
{
    dispatch::broker_options own;
    own.m_failure_domain = failure_domain_id("domain-0");
    own.m_sharing_entry_count = entries;
    baseline_options none;
    none.m_pick = pick::round_robin;
    none.m_most_tries = 3;
    nlohmann::json output;
    output["bench"] = "poison";
    output["dewbeam"] = figures(broker_policy(own), {0.1, true, 1});
    output["dewbeam_non_idempotent"] = figures(broker_policy(own), {0.1, false, 1});
    // A caller who is back through another entry before the entries have told each other (20 ms).
    output["dewbeam_resent_at_once"] = figures(broker_policy(own), {0.0, true, 1});
    // Beyond the promise: copies that are under way before the first death can't be told.
    output["dewbeam_three_copies_at_once"] = figures(broker_policy(own), {0.1, true, 3});
    output["no_quarantine"] = figures(baseline_policy(none), {0.1, true, 1});
    output["aim"] = "upstreams lost per poison <= 2 over all resends; innocents finished >= 0.99";
    bool is_met = true;
    for (const auto* name : {"dewbeam", "dewbeam_non_idempotent", "dewbeam_resent_at_once"}) {
        is_met = is_met && output[name]["upstreams_lost_per_poison_in_worst_run"] <= 2.0 &&
                 output[name]["innocents_finished"] >= 0.99;
    }
    output["is_met"] = is_met;
    std::cout << output.dump() << '\n';
}
