// Service-level burn: counts, windows, alerts, merges and the JSON form.
#include "dewbeam/burn"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::burn {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr time_point start{hours(24 * 365 * 50)};
const configuration::service_target target{0.99, std::chrono::milliseconds(200), 0.9};
const series_key alerts{"alerts", "gold"};

void record_many(state& counts, int count, outcome result, time_point at,
                 time_span latency = time_span::zero())
{
    for (int i = 0; i < count; ++i) {
        record(counts, alerts, target, result, latency, at);
    }
}

report report_of(const state& counts, time_point now)
{
    return evaluate(counts, {host_id("e1")}, {host_id("e2")}, now);
}

const objective_report& availability(const report& burn)
{
    return burn.m_series.at(0).m_objectives.at(0);
}

TEST(burn, fast_burn_pages_and_stops_when_the_short_window_is_clean)
{
    state counts;
    record_many(counts, 80, outcome::served, start);
    record_many(counts, 20, outcome::failed, start);  // 20% bad of 1% allowed: burns at 20
    const auto burning = report_of(counts, start);
    EXPECT_NEAR(availability(burning).m_windows[0].m_rate, 20.0, 1e-9);
    EXPECT_EQ(availability(burning).m_alert, alert::page);
    EXPECT_EQ(availability(burning).m_alert_reason, "5m and 1h burn at 14.4 or more");
    EXPECT_NEAR(availability(burning).m_budget_left, -19.0, 1e-9);
    record_many(counts, 10, outcome::served, start + minutes(45));
    const auto over = report_of(counts, start + minutes(45));
    EXPECT_EQ(availability(over).m_windows[0].m_bad, 0U);
    EXPECT_NE(availability(over).m_alert, alert::page);
}

TEST(burn, slow_burn_opens_a_ticket)
{
    state counts;
    for (int hour = 0; hour < 72; ++hour) {
        record_many(counts, 98, outcome::served, start + hours(hour));
        record_many(counts, 2, outcome::failed, start + hours(hour));
    }
    const auto burn = report_of(counts, start + hours(71));
    EXPECT_EQ(availability(burn).m_alert, alert::ticket);
    EXPECT_EQ(worst_alert(burn), alert::ticket);
}

TEST(burn, counts_slow_answers_and_leaves_out_the_callers_own_mistakes)
{
    state counts;
    record_many(counts, 5, outcome::excluded, start);
    EXPECT_TRUE(counts.m_series.empty());
    record_many(counts, 8, outcome::served, start, std::chrono::milliseconds(200));
    record_many(counts, 2, outcome::served, start, std::chrono::milliseconds(201));
    const auto burn = report_of(counts, start);
    const auto& latency = burn.m_series.at(0).m_objectives.at(1);
    EXPECT_EQ(latency.m_objective, objective::latency);
    EXPECT_NEAR(latency.m_windows[2].m_rate, 2.0, 1e-9);
    EXPECT_EQ(availability(burn).m_windows[2].m_bad, 0U);
}

TEST(burn, a_month_old_failure_is_forgotten)
{
    state counts;
    record_many(counts, 1, outcome::failed, start);
    const auto later = start + hours(24 * 30 + 6);
    record_many(counts, 1, outcome::served, later);
    const auto burn = report_of(counts, later);
    EXPECT_EQ(availability(burn).m_windows[5].m_bad, 0U);
    EXPECT_EQ(availability(burn).m_budget_left, 1.0);
    forget_old(counts, later + hours(24 * 31));
    EXPECT_TRUE(counts.m_series.empty());
}

TEST(burn, a_missing_entry_is_named_and_adds_nothing)
{
    const auto burn = report_of({}, start);
    EXPECT_EQ(to_json(burn)["missing"], nlohmann::json::array({"e2"}));
    EXPECT_TRUE(burn.m_series.empty());
}

TEST(burn, memory_stays_bounded)
{
    state counts;
    for (std::size_t i = 0; i < 2 * most_series; ++i) {
        record(counts, {std::to_string(i), "default"}, target, outcome::served, {}, start);
    }
    EXPECT_EQ(counts.m_series.size(), most_series);
    EXPECT_EQ(counts.m_series.front().m_key, other_key());
    std::uint64_t served = 0;
    for (const auto& item : report_of(counts, start).m_series) {
        served += item.m_objectives.at(0).m_windows[0].m_requests;
    }
    EXPECT_EQ(served, 2 * most_series);
}

TEST(burn, a_damaged_state_is_refused)
{
    state counts;
    record_many(counts, 1, outcome::served, start);
    const auto good = encode(counts);
    EXPECT_TRUE(decode(good).ok());
    for (const auto* patch :
         {R"({"series": 1})", R"({"series": [{}]})", R"({"series": [{"selector": "a"}]})"}) {
        auto bad = good;
        bad.merge_patch(nlohmann::json::parse(patch));
        EXPECT_FALSE(decode(bad).ok()) << patch;
    }
    auto bad = good;
    bad["series"][0]["rings"][0][0][1] = -1;
    EXPECT_FALSE(decode(bad).ok());
    bad = good;
    bad["series"][0]["target"]["availability"] = 1.0;
    EXPECT_FALSE(decode(bad).ok());
}

/// Outcomes recorded in the order of time, spread over several entries.
RC_GTEST_PROP(burn, merged_entries_equal_one_that_saw_everything, (std::uint64_t seed))
{
    random_engine engine(seed);
    std::array<state, 3> entries;
    state whole;
    auto now = start;
    const auto count = *rc::gen::inRange(0, 200);
    for (int i = 0; i < count; ++i) {
        now += std::chrono::seconds(uniform_below(engine, 40'000));
        const series_key key{"s" + std::to_string(uniform_below(engine, 3)), "default"};
        const auto result = uniform_below(engine, 4) == 0 ? outcome::failed : outcome::served;
        const auto latency = std::chrono::milliseconds(uniform_below(engine, 400));
        record(entries[uniform_below(engine, 3)], key, target, result, latency, now);
        record(whole, key, target, result, latency, now);
    }
    state forward;
    state backward;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        merge(forward, decode(encode(entries[i])).value());
        merge(backward, entries[entries.size() - 1 - i]);
    }
    RC_ASSERT(forward == whole);
    RC_ASSERT(backward == whole);
}

RC_GTEST_PROP(burn, any_bytes_are_refused_or_read, (const std::string& bytes))
{
    const auto source = nlohmann::json::parse(bytes, nullptr, false);
    const auto decoded = decode(source);
    RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
}

}  // namespace
}  // namespace dewbeam::burn
