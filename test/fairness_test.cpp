// Deficit round robin over workspaces, and the share between classes.
#include "dewbeam/fairness"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>
#include <memory>

namespace dewbeam::fairness {
namespace {

/// A queue whose flows never run dry: what is taken is put back.
struct backlog {
    fair_queue m_queue;
    std::vector<std::unique_ptr<queue_item>> m_items;

    void add(const std::string& workspace, double weight, double cost)
    {
        auto& item = *m_items.emplace_back(std::make_unique<queue_item>());
        item.m_cost = cost;
        push(m_queue, item, workspace_id(workspace), weight);
    }

    std::map<workspace_id, double> serve(double cost)
    {
        std::map<workspace_id, double> served;
        while (cost > 0.0) {
            auto& item = *front(m_queue);
            const auto workspace = item.m_flow->m_workspace;
            const double weight = item.m_flow->m_weight;
            pop(m_queue, item);
            cost -= item.m_cost;
            served[workspace] += item.m_cost;
            push(m_queue, item, workspace, weight);
        }
        return served;
    }
};

RC_GTEST_PROP(fairness, shares_follow_weights_whatever_the_costs, (std::uint64_t seed))
{
    random_engine random(seed);
    backlog subject;
    const std::map<std::string, double> weights = {{"a", 1}, {"b", 2}, {"c", 5}, {"d", 0.5}};
    for (const auto& [name, weight] : weights) {
        for (int i = 0; i < 30; ++i) {
            subject.add(name, weight, 1.0 + static_cast<double>(uniform_below(random, 2000)));
        }
    }
    constexpr double total = 2'000'000;
    const auto served = subject.serve(total);
    for (const auto& [name, weight] : weights) {
        const double wanted = total * weight / 8.5;
        RC_ASSERT(std::abs(served.at(workspace_id(name)) - wanted) < 0.05 * wanted + 4000);
    }
}

TEST(fairness, an_elephant_waits_behind_a_small_workspace)
{
    backlog subject;
    for (int i = 0; i < 1000; ++i) {
        subject.add("elephant", 1, 100);
    }
    subject.add("mouse", 1, 100);
    bool is_served = false;
    for (int i = 0; i < 3; ++i) {
        auto& item = *front(subject.m_queue);
        is_served = is_served || item.m_flow->m_workspace == workspace_id("mouse");
        pop(subject.m_queue, item);
    }
    EXPECT_TRUE(is_served);
}

TEST(fairness, idle_workspaces_take_no_memory)
{
    backlog subject;
    for (int i = 0; i < 8200; ++i) {
        subject.add("w" + std::to_string(i), 1, 10);
        pop(subject.m_queue, *front(subject.m_queue));
    }
    EXPECT_TRUE(subject.m_queue.m_flows.empty());
    EXPECT_EQ(subject.m_queue.m_size, 0U);
    EXPECT_EQ(subject.m_queue.m_weight, 0.0);
}

TEST(fairness, ordinary_floor_is_a_share_of_cost_and_no_debt)
{
    class_options options;
    options.m_ordinary_floor = 0.2;
    class_share share;
    double urgent = 0;
    double ordinary = 0;
    for (int i = 0; i < 1000; ++i) {
        if (ordinary_is_due(share, 50)) {
            ordinary_went(share, 50);
            ordinary += 50;
        }
        else {
            urgent_went(share, options, 10, 50);
            urgent += 10;
        }
    }
    EXPECT_NEAR(ordinary / (ordinary + urgent), 0.2, 0.01);
    for (int i = 0; i < 1000; ++i) {
        urgent_went(share, options, 10, 50);
    }
    EXPECT_LE(share.m_credit, 100);
}

TEST(fairness, ordinary_work_keeps_a_slot_on_the_smallest_upstream)
{
    const class_options options;
    EXPECT_EQ(ordinary_slots(options, 1, {}), 1U);
    EXPECT_EQ(ordinary_slots(options, 2, {}), 1U);
    EXPECT_EQ(ordinary_slots(options, 16, {}), 14U);
    EXPECT_EQ(urgent_slots(options, 1), 1U);
    EXPECT_EQ(urgent_slots(options, 16), 12U);
}

TEST(fairness, urgent_work_waits_for_a_slot_or_another_urgent_prompt)
{
    EXPECT_FALSE(would_wait({15, 0, 0}, 16));
    EXPECT_TRUE(would_wait({16, 0, 0}, 16));
    EXPECT_TRUE(would_wait({15, 1, 0}, 16));
    EXPECT_TRUE(would_wait({3, 0, 1}, 16));
}

TEST(fairness, reserve_follows_urgent_demand_but_leaves_ordinary_work_its_floor)
{
    const class_options options;
    urgent_demand demand;
    time_point now{};
    for (int i = 0; i < 1000; ++i, now += std::chrono::milliseconds(100)) {
        note_urgent(demand, 4, now);
    }
    EXPECT_EQ(ordinary_slots(options, 16, demand), 8U);
    for (int i = 0; i < 1000; ++i, now += std::chrono::milliseconds(100)) {
        note_urgent(demand, 16, now);
    }
    EXPECT_EQ(ordinary_slots(options, 16, demand), 16U - urgent_slots(options, 16));
    EXPECT_GE(ordinary_slots(options, 16, demand), 16 * options.m_ordinary_floor);
    note_urgent(demand, 0, now);
    note_urgent(demand, 0, now + std::chrono::minutes(2));
    EXPECT_EQ(ordinary_slots(options, 16, demand), 14U);
}

}  // namespace
}  // namespace dewbeam::fairness
