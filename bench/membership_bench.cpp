// Membership at size in virtual time: bytes, messages and processor time of each role while
// nothing happens, while hosts come and go, and how soon a leaving upstream is known everywhere.
#include <algorithm>
#include <chrono>

#include "bench/planning_common/json_line.h"
#include "bench/planning_common/member_site.h"

namespace dewbeam::bench {
namespace {

using namespace std::chrono_literals;

constexpr site_size today{9, 15, 3, 3};
constexpr site_size middle{105, 155, 5, 5};
constexpr site_size two_years{420, 620, 5, 7};
constexpr double byte_budget = 13'000;

json figures(const role_cost& cost)
{
    return {{"bytes_out_s", rounded(cost.m_bytes_out)},
            {"bytes_in_s", rounded(cost.m_bytes_in)},
            {"messages_out_s", rounded(cost.m_messages_out)},
            {"processor_us_s", rounded(cost.m_processor_us)},
            {"links", rounded(cost.m_links)},
            {"view_bytes", rounded(cost.m_view_bytes)}};
}

/// Load reports: what an agent sends and an entry gets when each entry uses `subset` upstreams
/// of each of five models and asks for a report each second.
json reports_row(const member_site& site)
{
    constexpr std::size_t subset = 6;
    constexpr double reports_per_second = 1;
    const auto readers = site.readers_of_agents(subset);
    const double report_bytes = report_size();
    const double mean = readers.m_mean;
    return {{"subset_per_model", subset},
            {"report_bytes", report_bytes},
            {"ping_and_pong_bytes", ping_size()},
            {"readers_mean", rounded(mean)},
            {"readers_most", readers.m_most},
            {"agent_bytes_out_s", rounded(mean * report_bytes * reports_per_second)},
            {"agent_bytes_out_s_most",
             rounded(static_cast<double>(readers.m_most) * report_bytes * reports_per_second)},
            {"entry_bytes_in_s",
             rounded(readers.m_upstreams_of_entry * report_bytes * reports_per_second)}};
}

json row(const site_size& size)
{
    member_site site(size, 20'261'202);
    site.run(50s);
    const auto start = site.cost_of(membership::role::entry);
    json line{
        {"entries", size.m_entries}, {"upstreams", size.m_agents}, {"controls", size.m_controls}};
    line["cold_start_bytes_of_entry"] = rounded((start.m_bytes_in + start.m_bytes_out) * 50);
    site.clear_costs();
    site.run(10s);
    const auto quiet = site.cost_of(membership::role::entry);
    line["quiet"] = {{"entry", figures(quiet)},
                     {"agent", figures(site.cost_of(membership::role::agent))},
                     {"control", figures(site.cost_of(membership::role::control))}};
    site.clear_costs();
    // A day's 110 restarts in half an hour, or one restart in 16 s.
    for (int i = 0; i < 2; ++i) {
        site.restart_one();
        site.run(16s);
    }
    const auto restarts = site.cost_of(membership::role::entry);
    line["restarts"] = {{"entry", figures(restarts)}};
    line["leaving_known_everywhere_ms"] = site.milliseconds_until_leaving_is_known();
    line["death_known_everywhere_ms"] = site.milliseconds_until_death_is_known();
    const double worst = std::max(
        {quiet.m_bytes_in + quiet.m_bytes_out, restarts.m_bytes_in + restarts.m_bytes_out});
    line["reports"] = reports_row(site);
    line["byte_budget_met"] = worst <= byte_budget;
    return line;
}

int main_of_bench()
{
    json line{{"bench", "membership"}, {"seed", 20'261'202}};
    for (const auto& size : {today, middle, two_years}) {
        line["sizes"].push_back(row(size));
    }
    line["aim"] = "13 KB/s in and out together, leaving known everywhere within 3000 ms";
    return print(line);
}

}  // namespace
}  // namespace dewbeam::bench

int main()
{
    return dewbeam::bench::main_of_bench();
}
