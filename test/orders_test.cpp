// Orders: from labels to one safe order at a time for each upstream.
#include "dewbeam/orders"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "bench/planning_common/order_site.h"

namespace dewbeam::orders {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{};

contents with_model(const std::string& model, const std::string& version = "1")
{
    return {{{artifact_kind::model, model, version}}, ""};
}

observed_upstream upstream_with(const std::string& name, const std::string& model,
                                const std::string& domain = "a")
{
    observed_upstream item;
    item.m_name = upstream_id(name);
    item.m_failure_domain = failure_domain_id(domain);
    item.m_contents = with_model(model);
    return item;
}

desired_upstream wants(const observed_upstream& upstream, const contents& wanted)
{
    return {upstream.m_name, wanted, true};
}

std::vector<wait_reason> reasons(const plan_step& out)
{
    std::vector<wait_reason> all;
    for (const auto& item : out.m_waiting) {
        all.push_back(item.m_reason);
    }
    return all;
}

/// Steps twice, the second time after wants have settled.
plan_step settled_step(planner& state, const std::vector<desired_upstream>& desired,
                       const std::vector<observed_upstream>& observed, time_point now)
{
    step(state, desired, observed, now);
    return step(state, desired, observed, now + 3s);
}

TEST(orders, placements_and_operators_labels_decide_what_is_wanted)
{
    const auto parsed = configuration::parse_document(nlohmann::json::parse(R"({
        "upstreams": {"canary": {"match": "host=h1", "labels": {"ring": "canary"}}},
        "placements": {"a-chat": {"upstreams": "pool=chat", "models": ["ad-copy"], "version": "1"},
                       "b-canary": {"upstreams": "ring=canary", "models": ["ad-copy"],
                                    "adapters": ["dar"], "version": "2", "role": "decode"}}})"));
    ASSERT_TRUE(parsed.m_mistakes.empty()) << to_string(parsed.m_mistakes);
    auto first = upstream_with("u1", "ad-copy");
    first.m_labels = configuration::parse_labels("host=h1,pool=chat").value();
    auto second = first;
    second.m_labels = configuration::parse_labels("host=h2,pool=chat").value();
    auto third = first;
    third.m_labels = {};
    const auto desired = desired_contents(parsed.m_document, {first, second, third});
    EXPECT_EQ(
        desired[0].m_contents,
        (contents{{{artifact_kind::model, "ad-copy", "2"}, {artifact_kind::adapter, "dar", "2"}},
                  "decode"}));
    EXPECT_EQ(desired[1].m_contents, with_model("ad-copy"));
    EXPECT_FALSE(desired[2].m_is_placed);
}

TEST(orders, an_upstream_that_is_right_or_not_placed_gets_none)
{
    const auto item = upstream_with("u", "m");
    auto state = make_planner({}, 1, true, start);
    EXPECT_TRUE(
        settled_step(state, {wants(item, with_model("m"))}, {item}, start).m_orders.empty());
    const desired_upstream unplaced{item.m_name, {}, false};
    EXPECT_TRUE(settled_step(state, {unplaced}, {item}, start + 10s).m_orders.empty());
}

TEST(orders, a_burst_collapses_to_its_final_state)
{
    const std::vector<observed_upstream> observed{upstream_with("u", "m"), upstream_with("v", "m")};
    auto state = make_planner({}, 1, true, start);
    std::vector<desired_upstream> desired{wants(observed[0], with_model("m", "1")),
                                          wants(observed[1], with_model("m"))};
    auto now = start;
    for (const auto* version : {"2", "3", "4"}) {
        desired[0].m_contents = with_model("m", version);
        now += 1s;
        EXPECT_TRUE(step(state, desired, observed, now).m_orders.empty()) << version;
    }
    const auto out = step(state, desired, observed, now + 2s);
    ASSERT_EQ(out.m_orders.size(), 1U);
    EXPECT_EQ(out.m_orders[0].m_wanted, with_model("m", "4"));
}

TEST(orders, changes_without_end_do_not_hold_an_order_back_for_ever)
{
    const std::vector<observed_upstream> observed{upstream_with("u", "m"), upstream_with("v", "m")};
    auto state = make_planner({}, 1, true, start);
    std::size_t sent = 0;
    for (int second = 0; second < 17; ++second) {
        const std::vector<desired_upstream> desired{
            wants(observed[0], with_model("m", std::to_string(second))),
            wants(observed[1], with_model("m"))};
        sent +=
            step(state, desired, observed, start + std::chrono::seconds(second)).m_orders.size();
    }
    EXPECT_EQ(sent, 1U);
}

TEST(orders, the_last_able_upstream_of_a_wanted_model_stays)
{
    const std::vector<observed_upstream> observed{upstream_with("u", "m"), upstream_with("v", "n"),
                                                  upstream_with("w", "m", "b")};
    const std::vector<desired_upstream> desired{wants(observed[0], with_model("n")),
                                                wants(observed[1], with_model("m")),
                                                wants(observed[2], with_model("m"))};
    auto state = make_planner({}, 1, true, start);
    const auto out = settled_step(state, desired, observed, start);
    EXPECT_TRUE(out.m_orders.empty());
    EXPECT_EQ(reasons(out), (std::vector{wait_reason::last_able, wait_reason::last_able}));
}

TEST(orders, the_model_that_is_scarcest_is_loaded_first)
{
    const std::vector<observed_upstream> observed{upstream_with("u", "m"), upstream_with("v", "n"),
                                                  upstream_with("w", "n")};
    const std::vector<desired_upstream> desired{wants(observed[0], with_model("n")),
                                                wants(observed[1], with_model("m")),
                                                wants(observed[2], with_model("n"))};
    auto state = make_planner({}, 1, true, start);
    const auto out = settled_step(state, desired, observed, start);
    ASSERT_EQ(out.m_orders.size(), 1U);
    EXPECT_EQ(out.m_orders[0].m_upstream, upstream_id("v"));
    EXPECT_EQ(reasons(out), (std::vector{wait_reason::last_able}));
}

TEST(orders, loads_keep_to_the_store_limit)
{
    plan_options options;
    options.m_store_rate = {3};
    options.m_load_rate = {1};
    options.m_most_away = 1;
    std::vector<observed_upstream> observed;
    std::vector<desired_upstream> desired;
    for (int i = 0; i < 10; ++i) {
        observed.push_back(upstream_with("u" + std::to_string(i), "m"));
        desired.push_back(wants(observed.back(), with_model("m", "2")));
    }
    auto state = make_planner(options, 1, true, start);
    const auto out = settled_step(state, desired, observed, start);
    EXPECT_EQ(out.m_orders.size(), 3U);
    EXPECT_EQ(reasons(out), std::vector(7, wait_reason::store_limit));
}

/// One upstream of two whose order's answer was lost.
struct lost_order {
    planner m_state = make_planner({}, 1, true, start);
    std::vector<observed_upstream> m_observed{upstream_with("u", "m"), upstream_with("v", "m")};
    std::vector<desired_upstream> m_desired;
    order m_order;

    explicit lost_order(bool checks_fencing)
    {
        m_observed[0].m_checks_fencing = checks_fencing;
        m_desired = {wants(m_observed[0], with_model("m", "2")),
                     wants(m_observed[1], with_model("m"))};
        m_order = settled_step(m_state, m_desired, m_observed, start).m_orders.at(0);
        answer_lost(m_state, m_order.m_upstream, m_order.m_number, start + 4s);
    }

    plan_step read_and_step(time_span at, fencing_number highest)
    {
        m_observed[0].m_read_at = start + at;
        m_observed[0].m_highest_number = highest;
        return step(m_state, m_desired, m_observed, start + at);
    }
};

TEST(orders, after_a_lost_answer_a_fencing_engine_is_read_and_ordered_again)
{
    lost_order subject(true);
    const auto reads = subject.read_and_step(5s, subject.m_order.m_number).m_reads;
    ASSERT_EQ(reads.size(), 1U);
    EXPECT_GT(reads[0].m_number, subject.m_order.m_number);
    subject.m_observed[0].m_is_busy = true;
    EXPECT_TRUE(subject.read_and_step(6s, reads[0].m_number).m_orders.empty());
    subject.m_observed[0].m_is_busy = false;
    const auto again = subject.read_and_step(8s, reads[0].m_number).m_orders;
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].m_number, reads[0].m_number);
}

TEST(orders, an_engine_that_ignores_fencing_is_left_alone_until_the_deadline)
{
    lost_order subject(false);
    EXPECT_EQ(subject.read_and_step(5s, {}).m_reads.size(), 1U);
    EXPECT_TRUE(subject.read_and_step(100s, {}).m_orders.empty());
    EXPECT_EQ(subject.read_and_step(124s, {}).m_orders.size(), 1U);
}

TEST(orders, a_new_coordinator_waits_out_the_orders_of_the_old_one)
{
    const std::vector<observed_upstream> observed{upstream_with("u", "m"), upstream_with("v", "m")};
    const std::vector<desired_upstream> desired{wants(observed[0], with_model("m", "2")),
                                                wants(observed[1], with_model("m"))};
    auto state = make_planner({}, 2, false, start);
    const auto out = settled_step(state, desired, observed, start);
    EXPECT_EQ(reasons(out), (std::vector{wait_reason::new_coordinator}));
    const auto later = step(state, desired, observed, start + 121s).m_orders;
    ASSERT_EQ(later.size(), 1U);
    EXPECT_GE(later[0].m_number.value(), std::uint64_t{2} << 32U);
}

RC_GTEST_PROP(orders, faults_never_break_the_limits_and_wants_are_met_in_the_end, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    random_engine random(seed);
    std::vector<observed_upstream> upstreams;
    std::vector<desired_upstream> desired;
    for (int i = 0; i < 12; ++i) {
        upstreams.push_back(
            upstream_with("u" + std::to_string(i), i % 4 < 2 ? "m" : "n", i % 2 == 0 ? "a" : "b"));
        upstreams.back().m_checks_fencing = *rc::gen::arbitrary<bool>();
        desired.push_back(wants(upstreams.back(), upstreams.back().m_contents));
    }
    // u0 to u3 keep what they have, so that each model stays wanted in each domain.
    plan_options options;
    options.m_store_rate = {3};
    options.m_load_rate = {1};
    bench::order_site site(upstreams, 10s, seed);
    site.m_faults = {*rc::gen::inRange<std::uint64_t>(0, 40),
                     *rc::gen::inRange<std::uint64_t>(0, 40),
                     *rc::gen::inRange<std::uint64_t>(0, 40)};
    std::uint32_t epoch = 1;
    auto state = make_planner(options, epoch, true, start);
    auto now = start;
    for (; now < start + 1200s; now += 1s) {
        if (now < start + 300s && uniform_below(random, 10) == 0) {
            desired[4 + uniform_below(random, 8)].m_contents =
                with_model(uniform_below(random, 2) == 0 ? "m" : "n",
                           std::to_string(uniform_below(random, 3)));
        }
        if (now < start + 300s && uniform_below(random, 150) == 0) {
            state = make_planner(options, ++epoch, false, now);
        }
        if (now == start + 600s) {
            site.m_faults = {};
        }
        site.advance(state, now);
        site.take(state, step(state, desired, site.observe(now), now), now);
        RC_ASSERT(site.running_loads() <= 3U);
        RC_ASSERT(!site.has_overlapped());
        for (const auto* domain : {"a", "b"}) {
            RC_ASSERT(site.able(failure_domain_id(domain), "m") > 0U);
            RC_ASSERT(site.able(failure_domain_id(domain), "n") > 0U);
        }
    }
    const auto seen = site.observe(now);
    for (std::size_t i = 0; i < seen.size(); ++i) {
        RC_ASSERT(meets(seen[i].m_contents, desired[i].m_contents));
    }
}

}  // namespace
}  // namespace dewbeam::orders
