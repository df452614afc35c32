// Admission at the engine: reserving memory for the whole bound, starting optimistically with
// eviction, or a mix; long prompts and long outputs against limited memory.
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/common/cluster.h"

namespace {

using namespace dewbeam;
using namespace dewbeam::bench;

constexpr double run_seconds = 400.0;
constexpr double warm_seconds = 60.0;
constexpr double time_limit = 60.0;  ///< answers later than this don't count
constexpr std::uint64_t seeds[] = {51, 52, 53};

/// Sizes of one workload.
struct workload {
    const char* m_name;
    double m_rate;              ///< requests a second
    std::int64_t m_max_prompt;  ///< the least is a quarter of it
    std::int64_t m_bound;
    double m_used_share;  ///< mean share of the bound that is really produced
};

constexpr workload workloads[] = {
    {"long_prompts", 1.4, 12'000, 512, 0.4},
    {"long_outputs_far_below_bound", 3.0, 2'000, 4'096, 0.15},
    {"long_outputs_near_bound", 1.3, 2'000, 2'048, 0.8},
};

constexpr double shares[] = {0.0, 0.25, 0.5, 0.75, 1.0};

struct result {
    std::vector<double> m_waits;  ///< seconds to the first token
    std::size_t m_good = 0;       ///< completed in time
    std::uint64_t m_evictions = 0;
    std::uint64_t m_computed = 0;
    std::uint64_t m_prompt = 0;
};

class driver {
public:
    driver(const workload& load, double share, std::uint64_t seed)
        : m_load(load), m_random(seed), m_engine(engine_model::make_engine(options(share)))
    {
    }

    result run()
    {
        time_point now{std::chrono::seconds(1)};
        const auto end = now + from_seconds(run_seconds);
        auto next = now;
        while (now < end) {
            while (next <= now) {
                arrive(next);
                next += from_seconds(exponential(m_random, 1.0 / m_load.m_rate));
            }
            if (engine_model::is_idle(m_engine)) {
                now = next;
                continue;
            }
            std::vector<engine_model::engine_event> events;
            now = engine_model::step(m_engine, now, events);
            m_engine.m_changes.clear();
            for (const auto& event : events) {
                note(event);
            }
        }
        m_result.m_evictions = m_engine.m_evictions;
        m_result.m_computed = m_engine.m_computed;
        return m_result;
    }

private:
    static engine_model::engine_options options(double share)
    {
        engine_model::engine_options result;
        result.m_most_running = 64;
        result.m_step_tokens = 512;
        result.m_kv = {{40'000}, share};
        return result;
    }

    void arrive(time_point at)
    {
        engine_model::engine_request request;
        request.m_number = ++m_sent;
        const auto quarter = m_load.m_max_prompt / 4;
        request.m_prompt = quarter + static_cast<std::int64_t>(uniform_below(
                                         m_random, static_cast<std::uint64_t>(3 * quarter)));
        const double mean = m_load.m_used_share * static_cast<double>(m_load.m_bound);
        const auto output = static_cast<std::int64_t>(mean * 2.0 * uniform_unit(m_random));
        request.m_output = std::clamp<std::int64_t>(output, 1, m_load.m_bound);
        request.m_output_bound = m_load.m_bound;
        m_result.m_prompt += static_cast<std::uint64_t>(request.m_prompt);
        m_arrivals[request.m_number] = at;
        engine_model::add(m_engine, request);
    }

    void note(const engine_model::engine_event& event)
    {
        const auto arrival = m_arrivals.at(event.m_number);
        if (arrival < time_point(from_seconds(1.0 + warm_seconds))) {
            return;
        }
        const double passed = to_seconds(event.m_at - arrival);
        if (event.m_kind == engine_model::engine_event::kind::first_token) {
            m_result.m_waits.push_back(passed);
        }
        else if (passed <= time_limit) {
            ++m_result.m_good;
        }
    }

    workload m_load;
    random_engine m_random;
    engine_model::engine m_engine;
    std::map<std::uint64_t, time_point> m_arrivals;
    std::uint64_t m_sent = 0;
    result m_result;
};

nlohmann::json figures(const workload& load, double share)
{
    result sum;
    for (const auto seed : seeds) {
        const auto run = driver(load, share, seed).run();
        sum.m_waits.insert(sum.m_waits.end(), run.m_waits.begin(), run.m_waits.end());
        sum.m_good += run.m_good;
        sum.m_evictions += run.m_evictions;
        sum.m_computed += run.m_computed;
        sum.m_prompt += run.m_prompt;
    }
    const double seconds = static_cast<double>(std::size(seeds)) * (run_seconds - warm_seconds);
    return {{"goodput_a_second", static_cast<double>(sum.m_good) / seconds},
            {"ttft_p50_s", percentile(sum.m_waits, 0.5)},
            {"ttft_p95_s", percentile(sum.m_waits, 0.95)},
            {"evictions", sum.m_evictions},
            {"computed_of_asked_prompt",
             static_cast<double>(sum.m_computed) / static_cast<double>(sum.m_prompt)}};
}

}  // namespace

int main()
{
    nlohmann::json output;
    output["bench"] = "admission";
    std::map<double, double> relative;  // goodput over the best of the workload, summed
    for (const auto& load : workloads) {
        double best = 0.0;
        std::map<double, double> good;
        for (const double share : shares) {
            const auto name = "reserved_output_share_" + nlohmann::json(share).dump();
            output[load.m_name][name] = figures(load, share);
            good[share] = output[load.m_name][name]["goodput_a_second"];
            best = std::max(best, good[share]);
        }
        for (const double share : shares) {
            relative[share] += good[share] / best / static_cast<double>(std::size(workloads));
        }
    }
    double winner = shares[0];
    for (const double share : shares) {
        output["mean_goodput_to_best"][nlohmann::json(share).dump()] = relative[share];
        winner = relative[share] > relative[winner] ? share : winner;
    }
    output["winner"] = winner;
    output["default"] = admission::kv_options{}.m_output_share;
    output["aim"] = "the measured winner is the default";
    output["is_met"] = winner == admission::kv_options{}.m_output_share;
    std::cout << output.dump() << '\n';
}
