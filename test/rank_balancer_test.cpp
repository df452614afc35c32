// The balancer of one group: the map that it plans from and the counts that it uses.
#include "dewbeam/src/ranks/rank_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dewbeam::ranks {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t rank_count = 4;
constexpr std::uint32_t expert_count = 8;
constexpr time_span sample_interval = milliseconds(120);

engine_facts small_facts()
{
    engine_facts facts;
    facts.m_layers = 1;
    facts.m_experts = expert_count;
    facts.m_places = 4;
    facts.m_most_new = 2;
    facts.m_expert_size = {320'000'000};
    facts.m_fetch_rate = {22'500'000'000};
    return facts;
}

/// A group whose ranks report their counts and held experts.
class reporting_group {
public:
    reporting_group()
        : m_balancer(small_facts(), rank_count, [this](const std::string& content) {
              m_proposed = placement_from_json(content).value();
              return true;
          })
    {
        const experts::group_shape shape{rank_count, 4, expert_count, 1};
        m_first = experts::to_lists(experts::initial_map(shape), expert_count);
        m_held = m_first;
    }

    /// All ranks choose `popular` most and report, until a plan is proposed or `limit` has passed.
    bool run_until_plan(std::uint32_t popular, time_span limit)
    {
        m_proposed.reset();
        for (const auto end = m_now + limit; m_now < end && !m_proposed; m_now += sample_interval) {
            report_counts(popular);
            m_balancer.tick(true, m_now);
        }
        return m_proposed.has_value();
    }

    /// Puts the plan in force; `is_map_reported`: the ranks already report it.
    void put_in_force(std::uint64_t number, bool is_map_reported)
    {
        group_map::ended_change change;
        change.m_result = group_map::change_result::committed;
        change.m_settled = group_map::map_of_number(number);
        m_balancer.on_change(change, m_now);
        if (is_map_reported) {
            m_held = *m_proposed;
            m_map = number;
        }
    }

    void form_group_again()
    {
        ++m_formation;
        m_map = 0;
        m_held = m_first;
    }

    /// Maximum number of experts of the plan that a rank does not hold, over all ranks.
    std::size_t most_new()
    {
        std::size_t result = 0;
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            const auto& held = m_held[0][rank];
            const auto& wanted = (*m_proposed)[0][rank];
            const auto is_new = [&](std::uint32_t expert) {
                return std::find(held.begin(), held.end(), expert) == held.end();
            };
            result =
                std::max<std::size_t>(result, std::count_if(wanted.begin(), wanted.end(), is_new));
        }
        return result;
    }

    placement m_held;
    std::optional<placement> m_proposed;

private:
    void report_counts(std::uint32_t popular)
    {
        constexpr std::uint64_t steps_of_sample = 2;
        m_step += steps_of_sample;
        std::vector<std::uint64_t> counts(expert_count, 1'000);
        counts[popular] = 8'000;
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            experts::rank_state state;
            state.m_step = m_step;
            state.m_map = m_map;
            state.m_held = {m_held[0][rank]};
            state.m_at = m_now;
            experts::count_sample sample;
            sample.m_formation = m_formation;
            sample.m_counts = counts;
            sample.m_steps = steps_of_sample;
            sample.m_ranks = {{rank_id(rank), state}};
            m_balancer.take(std::move(sample), m_now);
        }
    }

    rank_balancer m_balancer;
    placement m_first;
    std::uint64_t m_formation = 1;
    std::uint64_t m_map = 0;
    std::uint64_t m_step = 1;
    time_point m_now{};
};

TEST(rank_balancer, plans_again_before_the_ranks_tell_of_a_map_it_put_in_force)
{
    reporting_group group;
    ASSERT_TRUE(group.run_until_plan(0, std::chrono::seconds(2)));
    group.put_in_force(7, false);
    EXPECT_TRUE(group.run_until_plan(5, milliseconds(600)));
}

TEST(rank_balancer, plans_from_what_the_ranks_tell_once_the_group_has_formed_anew)
{
    reporting_group group;
    ASSERT_TRUE(group.run_until_plan(0, std::chrono::seconds(2)));
    group.put_in_force(7, true);
    ASSERT_TRUE(group.run_until_plan(5, std::chrono::seconds(1)));
    group.put_in_force(8, true);
    group.form_group_again();
    ASSERT_TRUE(group.run_until_plan(5, std::chrono::seconds(1)));
    EXPECT_LE(group.most_new(), 1U) << "planned from a map that the group has forgotten";
}

}  // namespace
}  // namespace dewbeam::ranks
