// Routes by host and path, and what makes a configuration invalid.
#include "dewbeam/routes"

#include <gtest/gtest.h>

namespace dewbeam::routes {
namespace {

route make_route(const std::string& prefix, const std::string& service)
{
    route result;
    result.m_name = "r" + prefix;
    result.m_host = "api.example";
    result.m_path_prefix = prefix;
    result.m_time_limit = std::chrono::seconds(1);
    result.m_targets = {{service, 1}};
    return result;
}

book make_book()
{
    book rules;
    rules.m_services = {{"a", "/h", 10}, {"b", "/h", 10}};
    rules.m_routes = {make_route("/x/", "a"), make_route("/x/y/", "b")};
    rules.m_workspaces = {{workspace_id("w1"), {"k1", "k2"}, {}},
                          {workspace_id("w2"), {"k3"}, {2}}};
    index(rules);
    return rules;
}

TEST(routes, the_longest_prefix_wins)
{
    const auto rules = make_book();
    EXPECT_EQ(find_route(rules, "api.example", "/x/z")->m_path_prefix, "/x/");
    EXPECT_EQ(find_route(rules, "API.example:8080", "/x/y/z/q")->m_path_prefix, "/x/y/");
    EXPECT_EQ(find_route(rules, "api.example", "/x/y")->m_path_prefix, "/x/");
    EXPECT_EQ(find_route(rules, "api.example", "/x"), nullptr);
    EXPECT_EQ(find_route(rules, "api.example", ""), nullptr);
    EXPECT_EQ(find_route(rules, "other.example", "/x/z"), nullptr);
}

TEST(routes, keys_lead_to_their_workspace)
{
    const auto rules = make_book();
    EXPECT_EQ(find_workspace(rules, "k2")->m_name, workspace_id("w1"));
    EXPECT_EQ(find_workspace(rules, "k4"), nullptr);
}

TEST(routes, targets_are_drawn_by_weight)
{
    auto rules = make_book();
    rules.m_routes[0].m_targets = {{"a", 90}, {"b", 10}, {"never", 0}};
    random_engine random(3);
    int to_b = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto& target = choose_target(rules.m_routes[0], random);
        EXPECT_NE(target, "never");
        to_b += target == "b" ? 1 : 0;
    }
    EXPECT_NEAR(to_b, 200, 60);
}

TEST(routes, every_mistake_is_named_and_no_key_is_shown)
{
    EXPECT_TRUE(check(make_book()).empty());
    auto rules = make_book();
    rules.m_routes.push_back(make_route("/x/", "nowhere"));
    rules.m_routes.push_back(make_route("/t/", "a"));
    rules.m_routes.back().m_time_limit = {};
    rules.m_routes.back().m_targets = {{"a", 0}};
    rules.m_workspaces.push_back({workspace_id("w3"), {"k3"}, {}});
    const auto wrong = check(rules);
    ASSERT_EQ(wrong.size(), 5U);
    EXPECT_EQ(wrong[0].m_path, "/routes/2/path_prefix");
    EXPECT_EQ(wrong[1].m_value, "nowhere");
    EXPECT_EQ(wrong[2].m_path, "/routes/3/time_limit");
    EXPECT_EQ(wrong[3].m_path, "/routes/3/targets");
    EXPECT_EQ(wrong[4].m_path, "/workspaces/2/keys");
    EXPECT_EQ(to_string(wrong).find("k3"), std::string::npos);
}

TEST(routes, a_stream_may_run_again_only_where_it_can_be_resumed)
{
    auto subject = make_route("/x/", "a");
    subject.m_kind = work_kind::streaming;
    EXPECT_FALSE(is_idempotent(subject));
    subject.m_is_resumable = true;
    EXPECT_TRUE(is_idempotent(subject));
    subject.m_kind = work_kind::unsafe;
    EXPECT_FALSE(is_idempotent(subject));
    subject.m_kind = work_kind::safe;
    EXPECT_TRUE(is_idempotent(subject));
}

}  // namespace
}  // namespace dewbeam::routes
