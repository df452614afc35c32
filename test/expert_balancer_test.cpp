// Which balance a group gets, and the JSON of maps and counts.
#include "dewbeam/src/agent/expert_balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::agent {
namespace {

using configuration::balance_preference;
using json = nlohmann::json;

configuration::document document_of(const json& source)
{
    auto parsed = configuration::parse_document(source);
    EXPECT_TRUE(parsed.m_mistakes.empty());
    return parsed.m_document;
}

balance_preference balance_for(const json& source, const char* labels)
{
    return balance_of(document_of(source), configuration::parse_labels(labels).value());
}

json selector(const char* upstreams, const char* balance)
{
    return {{"when", "model=a"}, {"upstreams", upstreams}, {"balance", balance}};
}

TEST(balance_of, first_matching_selector_by_name_decides)
{
    const json source{{"selectors",
                       {{"a", selector("pool=other", "skew")},
                        {"b", selector("pool=chat", "cost")},
                        {"c", selector("pool=chat", "skew")}}}};
    EXPECT_EQ(balance_for(source, "pool=chat"), balance_preference::cost);
    EXPECT_EQ(balance_for(source, "pool=other"), balance_preference::skew);
}

TEST(balance_of, labels_that_an_operator_added_count)
{
    const json source{
        {"selectors", {{"a", selector("ring=canary", "cost")}}},
        {"upstreams", {{"x", {{"match", "pool=chat"}, {"labels", {{"ring", "canary"}}}}}}}};
    EXPECT_EQ(balance_for(source, "pool=chat"), balance_preference::cost);
    EXPECT_EQ(balance_for(source, "pool=else"), balance_preference::skew);
}

TEST(balance_of, skew_without_a_match)
{
    EXPECT_EQ(balance_for(json::object(), "pool=chat"), balance_preference::skew);
}

RC_GTEST_PROP(expert_json, map_survives, ())
{
    experts::group_shape shape;
    shape.m_ranks = *rc::gen::inRange(1U, 6U);
    shape.m_slots_per_rank = *rc::gen::inRange(1U, 6U);
    shape.m_experts = *rc::gen::inRange(1U, shape.m_ranks * shape.m_slots_per_rank + 1);
    shape.m_layers = *rc::gen::inRange(1U, 4U);
    const auto map = experts::initial_map(shape);
    const auto again = engine::map_from_json(engine::map_to_json(map));
    RC_ASSERT(again.ok());
    RC_ASSERT(*again == map);
}

TEST(expert_json, map_of_an_operator_in_another_form_is_an_error)
{
    EXPECT_FALSE(engine::map_from_json(R"({"experts": [0, 1, 2]})").ok());
    EXPECT_FALSE(engine::map_from_json("[]").ok());
    EXPECT_FALSE(engine::map_from_json("").ok());
}

TEST(expert_json, map_without_some_expert_or_with_too_few_slots_is_an_error)
{
    const json whole{
        {"ranks", 2}, {"slots_per_rank", 2}, {"experts", 3}, {"layers", {{0, 1, 2, 0}}}};
    EXPECT_TRUE(engine::map_from_json(whole.dump()).ok());
    const auto broken = [&](const char* key, const json& value) {
        auto body = whole;
        body[key] = value;
        return !engine::map_from_json(body.dump()).ok();
    };
    EXPECT_TRUE(broken("layers", {{0, 1, 1, 0}}));
    EXPECT_TRUE(broken("layers", {{0, 1, 2}}));
    EXPECT_TRUE(broken("layers", {{0, 1, 2, 9}}));
    EXPECT_TRUE(broken("layers", {{0, 1, 2, -1}}));
    EXPECT_TRUE(broken("layers", json::array()));
    EXPECT_TRUE(broken("layers", 7));
    EXPECT_TRUE(broken("experts", 5));
    EXPECT_TRUE(broken("experts", 0));
    EXPECT_TRUE(broken("experts", -3));
    EXPECT_TRUE(broken("ranks", 4'294'967'298));
}

engine::expert_report some_report()
{
    return {2, R"({"ranks":1})", {1, 4, 3, 2}, {{900, 70, 30}, {1, 2, 3}}, 10, time_span(5000)};
}

TEST(expert_json, report_survives)
{
    const auto report = some_report();
    const auto again = engine::report_from_json(engine::report_to_json(report));
    ASSERT_TRUE(again.ok());
    EXPECT_EQ(again->m_map_version, report.m_map_version);
    EXPECT_EQ(again->m_map, report.m_map);
    EXPECT_EQ(again->m_shape, report.m_shape);
    EXPECT_EQ(again->m_counts, report.m_counts);
    EXPECT_EQ(again->m_steps, report.m_steps);
    EXPECT_EQ(again->m_step_time, report.m_step_time);
}

TEST(expert_json, report_whose_sizes_do_not_fit_is_an_error)
{
    const auto whole = json::parse(engine::report_to_json(some_report()));
    const auto broken = [&](const char* key, const json& value) {
        auto body = whole;
        body[key] = value;
        return !engine::report_from_json(body.dump()).ok();
    };
    EXPECT_TRUE(broken("counts", {1, 2, 3}));
    EXPECT_TRUE(broken("counts", {1, 2, 3, 4, 5, "six"}));
    EXPECT_TRUE(broken("counts", {1, 2, 3, 4, 5, -6}));
    EXPECT_TRUE(broken("layers", 0));
    EXPECT_TRUE(broken("layers", 3));
    EXPECT_TRUE(broken("slots_per_rank", 0));
    EXPECT_TRUE(broken("steps", "ten"));
    EXPECT_FALSE(engine::report_from_json("nothing").ok());
}

}  // namespace
}  // namespace dewbeam::agent
