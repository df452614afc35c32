// What moving experts gains and costs in a group whose demand for experts shifts: never, always to
// an even map, and only where steps come near the pause objective. Agents act as they do in a
// program: counts, plans and maps take the time that their messages and fetches take.
#include <cmath>
#include <cstdlib>

#include "bench/planning_common/json_line.h"
#include "bench/planning_common/rank_site.h"

namespace dewbeam::bench {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_span run_length = std::chrono::seconds(30);
constexpr std::uint64_t seeds = 3;

enum class policy { never, even, tolerant };

const char* to_string(policy value)
{
    switch (value) {
        case policy::never:
            return "never";
        case policy::even:
            return "even";
        case policy::tolerant:
            break;
    }
    return "tolerant";
}

struct group_kind {
    std::uint32_t m_ranks = 0;
    std::uint32_t m_places = 0;
    std::uint32_t m_experts = 0;
    std::uint32_t m_layers = 0;
    std::uint32_t m_most_new = 0;
    byte_count m_expert_size;
    byte_count m_link_rate;
};

rank_site_options options_of(const group_kind& kind)
{
    rank_site_options result;
    result.m_ranks = kind.m_ranks;
    result.m_facts = large_group_facts();
    result.m_facts.m_layers = kind.m_layers;
    result.m_facts.m_experts = kind.m_experts;
    result.m_facts.m_places = kind.m_places;
    result.m_facts.m_most_new = kind.m_most_new;
    result.m_facts.m_expert_size = kind.m_expert_size;
    result.m_link_rate = kind.m_link_rate;
    result.m_message_time = microseconds(270);  // 40 us at 0.15 of a core
    return result;
}

json play(rank_site_options options, policy how)
{
    options.m_moves = how != policy::never;
    options.m_knows_timing = how == policy::tolerant;
    double fetched = 0;
    double late = 0;
    double over_long = 0;
    double recovery = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.m_seed = seed;
        const auto figures = rank_site(options).run(run_length);
        fetched += figures.m_fetched_per_second / seeds;
        late += figures.m_late_share / seeds;
        over_long += figures.m_long_share / seeds;
        recovery += to_seconds(figures.mean_recovery()) / seeds;
    }
    return {{"fetched_experts_per_s", rounded(fetched)},
            {"steps_over_objective", rounded(late)},
            {"steps_near_objective", rounded(over_long)},
            {"short_again_s", rounded(recovery)}};
}

/// `wanted`: only groups of so many ranks; 0: all.
int main_of_bench(std::uint32_t wanted)
{
    json line{{"bench", "moves"},
              {"aim",
               "tolerant: short again within half of the time that demand stays, as little time "
               "over the objective as even, within 0.02, and fewer fetches"}};
    constexpr byte_count small_link{2'500'000};
    constexpr byte_count large_link{1'000'000};
    constexpr byte_count narrow_link{750'000};
    const std::vector<group_kind> kinds{{8, 11, 64, 6, 4, {580'000'000}, small_link},
                                        {12, 8, 72, 4, 3, {2'200'000'000}, small_link},
                                        {32, 5, 128, 12, 2, {320'000'000}, large_link},
                                        {63, 5, 252, 8, 2, {320'000'000}, large_link},
                                        {129, 3, 258, 16, 1, {150'000'000}, narrow_link},
                                        {256, 2, 256, 4, 1, {320'000'000}, large_link}};
    for (const auto& kind : kinds) {
        if (wanted != 0 && wanted != kind.m_ranks) {
            continue;
        }
        for (const auto& [load, work] : {std::pair("calm", 0.012), std::pair("busy", 0.029)}) {
            auto options = options_of(kind);
            options.m_work = work;
            json cell;
            for (const auto how : {policy::never, policy::even, policy::tolerant}) {
                cell[to_string(how)] = play(options, how);
            }
            line[std::to_string(kind.m_ranks) + "_ranks_" + load] = std::move(cell);
        }
    }
    return print(line);
}

}  // namespace
}  // namespace dewbeam::bench

int main(int count, char** arguments)
{
    const auto wanted = count > 1 ? std::strtoul(arguments[1], nullptr, 10) : 0;
    return dewbeam::bench::main_of_bench(static_cast<std::uint32_t>(wanted));
}
