// Overload: what is done in time when more is asked for than can be done, with callers who come
// back, and after a stall.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/common/cluster.h"

namespace {

using namespace dewbeam;
using namespace dewbeam::bench;

constexpr double run_seconds = 120.0;
constexpr double warm_seconds = 30.0;
constexpr std::size_t engines = 6;
constexpr std::size_t entries = 3;
constexpr std::uint32_t slots = 16;
constexpr double time_limit = 10.0;      ///< seconds a caller waits for its whole answer
constexpr double obedient_share = 0.6;   ///< callers who come back when they are told to
constexpr double impatient_share = 0.2;  ///< callers who come back after a second, whatever is said
constexpr int max_returns = 5;
constexpr double impatient_seconds = 1.0;
constexpr double stall_at = 60.0;
constexpr double stall_seconds = 10.0;

struct workload {
    double m_rate = 1.0;  ///< new callers a second
    bool m_stalls = false;
    bool m_has_deadline = true;
};

struct result {
    std::vector<double> m_good_at;  ///< when answers came in time
    std::vector<double> m_refused_after;
    std::size_t m_sent = 0;
    std::size_t m_timeouts = 0;
    cluster_counts m_counts;
};

class driver {
public:
    driver(const workload& load, const policy_maker& make)
        : m_load(load), m_random(31), m_cluster(m_time, options(), make)
    {
    }

    result run()
    {
        next();
        if (m_load.m_stalls) {
            m_time.after(from_seconds(stall_at),
                         [this] { m_cluster.stall(from_seconds(stall_seconds)); });
        }
        m_time.run_until(m_time.now() + from_seconds(run_seconds));
        m_result.m_counts = m_cluster.counts();
        return m_result;
    }

private:
    static cluster_options options()
    {
        cluster_options result;
        result.m_engines = engines;
        result.m_entries = entries;
        result.m_engine.m_most_running = slots;
        return result;
    }

    void next()
    {
        send(0, uniform_unit(m_random));
        m_time.after(from_seconds(exponential(m_random, 1.0 / m_load.m_rate)), [this] { next(); });
    }

    void send(int returns, double patience)
    {
        call request;
        request.m_entry = uniform_below(m_random, entries);
        request.m_info.m_workspace =
            workspace_id("w" + std::to_string(uniform_below(m_random, 10)));
        request.m_info.m_upstreams = configuration::parse_selector("pool=chat").value();
        const auto prompt = static_cast<std::int64_t>(200 + uniform_below(m_random, 800));
        const auto output = static_cast<std::int64_t>(50 + uniform_below(m_random, 150));
        request.m_info.m_prompt_tokens = {prompt};
        request.m_info.m_output_tokens = {200};
        request.m_work.m_prompt = prompt;
        request.m_work.m_output = output;
        request.m_work.m_output_bound = 200;
        const auto sent = m_time.now();
        if (m_load.m_has_deadline) {
            request.m_info.m_deadline = sent + from_seconds(time_limit);
        }
        ++m_result.m_sent;
        request.m_on_end = [this, returns, patience, sent](const outcome& end) {
            note(end, sent);
            if (end.m_is_completed || returns >= max_returns) {
                return;
            }
            if (patience < obedient_share) {
                const auto told = std::max(end.m_retry_at, m_time.now() + from_seconds(1.0));
                m_time.at(told, [this, returns, patience] { send(returns + 1, patience); });
            }
            else if (patience < obedient_share + impatient_share) {
                m_time.after(from_seconds(impatient_seconds),
                             [this, returns, patience] { send(returns + 1, patience); });
            }
        };
        m_cluster.send(std::move(request));
    }

    void note(const outcome& end, time_point sent)
    {
        if (end.m_is_completed) {
            m_result.m_good_at.push_back(to_seconds(end.m_at.time_since_epoch()) - 1.0);
            return;
        }
        m_result.m_timeouts += end.m_is_timeout ? 1 : 0;
        if (!end.m_is_timeout) {
            m_result.m_refused_after.push_back(to_seconds(end.m_at - sent));
        }
    }

    workload m_load;
    random_engine m_random;
    timeline m_time;
    cluster m_cluster;
    result m_result;
};

policy_maker dewbeam_policy()
{
    dispatch::broker_options options;
    options.m_failure_domain = failure_domain_id("domain-0");
    options.m_sharing_entry_count = entries;
    return broker_policy(options);
}

policy_maker baseline(std::uint32_t limit, std::size_t queue)
{
    baseline_options options;
    options.m_pick = pick::round_robin;
    options.m_limit = limit;
    options.m_most_queued = queue;
    return baseline_policy(options);
}

double goodput(const result& run, double from, double until)
{
    const auto good = std::count_if(run.m_good_at.begin(), run.m_good_at.end(),
                                    [&](double at) { return at >= from && at < until; });
    return static_cast<double>(good) / (until - from);
}

double goodput(const result& run)
{
    return goodput(run, warm_seconds, run_seconds);
}

nlohmann::json figures(const policy_maker& make, double most)
{
    nlohmann::json output;
    double worst_retries = 0.0;
    double slowest_refusal = 0.0;
    for (const double load : {0.5, 1.0, 1.5, 2.0, 3.0}) {
        const auto run = driver({most * load, false, true}, make).run();
        const auto tries = static_cast<double>(run.m_counts.m_first_tries);
        const auto more = static_cast<double>(run.m_counts.m_dispatches) - tries;
        worst_retries = std::max(worst_retries, more / tries);
        const double refusal = percentile(run.m_refused_after, 0.99);
        slowest_refusal = std::max(slowest_refusal, refusal);
        output["load_" + nlohmann::json(load).dump()] = {
            {"goodput_of_capacity", goodput(run) / most},
            {"refused", run.m_refused_after.size()},
            {"refusal_p50_ms", 1000 * percentile(run.m_refused_after, 0.5)},
            {"refusal_p99_ms", 1000 * refusal},
            {"timeouts", run.m_timeouts},
            {"sent", run.m_sent}};
    }
    const auto stalled = driver({most * 0.8, true, true}, make).run();
    const double before = goodput(stalled, warm_seconds, stall_at);
    const double after = goodput(stalled, stall_at + stall_seconds + 15.0, run_seconds);
    output["after_stall_of_before"] = after / before;
    output["retries_of_first_tries"] = worst_retries;
    output["refusal_p99_ms"] = 1000 * slowest_refusal;
    return output;
}

}  // namespace

int main()
{
    const auto full = driver({200.0, false, false}, baseline(slots / entries, 0)).run();
    const double most = goodput(full);
    nlohmann::json output;
    output["bench"] = "overload";
    output["capacity_requests_a_second"] = most;
    output["dewbeam"] = figures(dewbeam_policy(), most);
    output["no_limit"] = figures(baseline(0, 0), most);
    output["fixed_concurrency"] = figures(baseline(slots / entries, 64), most);
    output["aim"] =
        "goodput at 2x and 3x >= 0.95 of capacity; retries <= 0.10 of first tries; "
        "goodput after a 10 s stall >= 0.95 of before";
    const auto& own = output["dewbeam"];
    output["is_met"] = own["load_2.0"]["goodput_of_capacity"] >= 0.95 &&
                       own["load_3.0"]["goodput_of_capacity"] >= 0.95 &&
                       own["retries_of_first_tries"] <= 0.10 &&
                       own["after_stall_of_before"] >= 0.95;
    std::cout << output.dump() << '\n';
}
