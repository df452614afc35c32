// The dry run of a configuration change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "dewbeam/configuration"

namespace dewbeam::configuration {
namespace {

using json = nlohmann::json;

announced_upstream upstream(const char* name, const char* labels, const char* model)
{
    announced_upstream result{
        upstream_id(name), failure_domain_id("d1"), parse_labels(labels).value(), {}};
    if (*model != '\0') {
        result.m_models.emplace_back(model);
    }
    return result;
}

const std::vector<announced_upstream> site{upstream("u1", "pool=chat", "copy"),
                                           upstream("u2", "pool=chat", "copy"),
                                           upstream("u3", "pool=alerts", "")};

const json current = json::parse(R"({
    "workspaces": {"arusha": {"labels": {"tier": "gold"}}},
    "selectors": {"briefs": {"when": "task=brief", "upstreams": "pool=chat"},
                  "alerts": {"when": "task=alert", "upstreams": "pool=alerts"}}})");

TEST(plan, names_what_is_added_changed_and_removed)
{
    const auto report = plan(current, json::parse(R"({
        "workspaces": {"mwanza": {}},
        "selectors": {"briefs": {"weight": 2}, "alerts": null}})"),
                             site);
    const std::vector<difference> expected{
        {item_kind::workspace, "mwanza", difference_kind::added},
        {item_kind::selector, "briefs", difference_kind::changed},
        {item_kind::selector, "alerts", difference_kind::removed}};
    EXPECT_EQ(report.m_differences, expected);
}

TEST(plan, names_mistakes_by_path)
{
    const auto report =
        plan(current, json::parse(R"({"selectors": {"briefs": {"class": "fast"}}})"), site);
    ASSERT_EQ(report.m_mistakes.size(), 1U);
    EXPECT_EQ(report.m_mistakes[0].m_path, "/selectors/briefs/class");
}

TEST(plan, orders_overlapping_selectors_and_says_why)
{
    const auto report = plan(current, json::parse(R"({"selectors": {
        "gold": {"when": "tier=gold", "upstreams": "pool=chat", "priority": 3},
        "all": {"when": "", "upstreams": "pool=chat"}}})"),
                             site);
    const auto& briefs = report.m_precedence[2];
    ASSERT_EQ(briefs.m_selector, "briefs");
    ASSERT_EQ(briefs.m_order.size(), 3U);  // not alerts: no request is both
    EXPECT_EQ(briefs.m_order[0].m_selector, "gold");
    EXPECT_EQ(briefs.m_order[0].m_reason, "priority 3 over 0");
    EXPECT_EQ(briefs.m_order[1].m_selector, "briefs");
    EXPECT_EQ(briefs.m_order[1].m_reason, "requirements 1 over 0");
    EXPECT_EQ(briefs.m_order[2].m_selector, "all");
}

TEST(plan, counts_able_upstreams_and_names_stranded_requests)
{
    const auto drain = json::parse(R"({"upstreams": {"drain-alerts":
        {"match": "pool=alerts", "labels": {"dewbeam/drain": "true"}}}})");
    const auto report = plan(current, drain, site);
    ASSERT_EQ(report.m_abilities.size(), 2U);
    EXPECT_EQ(report.m_abilities[0].m_before, 1U);
    EXPECT_EQ(report.m_abilities[0].m_after, 0U);
    EXPECT_EQ(report.m_abilities[1].m_model, model_id("copy"));
    EXPECT_EQ(report.m_abilities[1].m_after, 2U);
    ASSERT_EQ(report.m_stranded.size(), 2U);  // without a workspace, and arusha's
    EXPECT_EQ(report.m_stranded[0].m_selector, "alerts");
    EXPECT_EQ(report.m_stranded[0].m_reason, "no able upstream");
    EXPECT_EQ(report.m_stranded[1].m_workspace, "arusha");
    EXPECT_EQ(to_string(report.m_stranded[1].m_labels), "task=alert,tier=gold");
}

TEST(plan, counts_a_drained_upstream_again_when_the_drain_ends)
{
    auto drained = current;
    drained["upstreams"]["d"] = {{"match", "pool=alerts"}, {"labels", {{"dewbeam/drain", "true"}}}};
    auto upstreams = site;
    upstreams[2].m_leaving = true;  // as a drained upstream announces itself
    const auto undo = json::parse(R"({"upstreams": {"d": null}})");
    EXPECT_EQ(plan(drained, undo, upstreams).m_abilities[0].m_after, 1U);
    EXPECT_EQ(plan(current, json::object(), upstreams).m_abilities[0].m_after, 0U);  // it stops
}

TEST(plan, names_requests_that_lose_their_selector_or_their_model)
{
    const auto removed = plan(current, json::parse(R"({"selectors": {"alerts": null}})"), site);
    ASSERT_FALSE(removed.m_stranded.empty());
    EXPECT_EQ(removed.m_stranded[0].m_reason, "no selector matches");
    const auto moved = plan(current, json::parse(R"({"placements": {"p":
        {"upstreams": "pool=chat", "models": ["summary"]}}})"),
                            site);
    ASSERT_FALSE(moved.m_stranded.empty());
    EXPECT_EQ(moved.m_stranded[0].m_model, model_id("copy"));
    EXPECT_EQ(moved.m_stranded[0].m_before, 2U);
}

TEST(plan, takes_the_model_and_the_workspace_that_entries_put_in_the_labels)
{
    const auto report = plan(current, json::parse(R"({"selectors": {
        "summaries": {"when": "model=summary", "upstreams": "pool=chat"},
        "own": {"when": "workspace=arusha", "upstreams": "pool=none"}}})"),
                             site);
    EXPECT_EQ(report.m_precedence.back().m_selector, "summaries");
    EXPECT_EQ(report.m_precedence.back().m_order.size(), 4U);  // all overlap by their labels
    const auto bay = plan(current, json::parse(R"({"selectors": {
        "bay": {"when": "service=bay", "upstreams": ""},
        "summaries": {"when": "model=summary", "upstreams": "pool=chat"}}})"),
                          site);
    EXPECT_EQ(bay.m_precedence.back().m_order.size(), 3U);  // not bay: a request has one of both
    std::vector<std::string> found;
    for (const auto& item : report.m_stranded) {
        found.push_back(item.m_selector + " " + item.m_workspace + " " + item.m_model.value());
    }
    EXPECT_NE(std::find(found.begin(), found.end(), "summaries  summary"), found.end());
    EXPECT_NE(std::find(found.begin(), found.end(), "own arusha "), found.end());
}

/// An example of the repository, found from the build folder or any other folder inside it.
json example(const char* name)
{
    auto folder = std::filesystem::current_path();
    while (!std::filesystem::exists(folder / "examples" / name) && folder.has_relative_path()) {
        folder = folder.parent_path();
    }
    std::ifstream file(folder / "examples" / name);
    return json::parse(file);
}

TEST(plan, accepts_the_examples)
{
    const std::vector<announced_upstream> kilima{upstream("u1", "pool=ad-copy", "ad-copy"),
                                                 upstream("u2", "service=trafficking", "")};
    const auto first = plan(json::object(), example("kilima.json"), kilima);
    EXPECT_EQ(to_string(first.m_mistakes), "");
    EXPECT_TRUE(first.m_stranded.empty());
    EXPECT_EQ(first.m_abilities.size(), 5U);
    const std::vector<announced_upstream> lone_star{upstream("u1", "pool=assistant", "assistant"),
                                                    upstream("u2", "service=bays", "")};
    const auto second = plan(json::object(), example("lone-star.json"), lone_star);
    EXPECT_EQ(to_string(second.m_mistakes), "");
    EXPECT_TRUE(second.m_stranded.empty());
    EXPECT_EQ(second.m_abilities.size(), 6U);
    const auto night = plan(json::object(), example("lone-star.json"), {lone_star.data(), 1});
    EXPECT_FALSE(night.m_stranded.empty());  // no service is there
}

TEST(plan, of_nothing_changes_nothing)
{
    const auto report = plan(current, json::object(), site);
    EXPECT_TRUE(report.m_differences.empty());
    EXPECT_TRUE(report.m_stranded.empty());
    EXPECT_EQ(to_json(report)["able_upstreams"].size(), 2U);
}

selector any_selector()
{
    selector result;
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        requirement item{*rc::gen::element<std::string>("a", "b"),
                         *rc::gen::element(requirement_kind::in, requirement_kind::not_in,
                                           requirement_kind::exists, requirement_kind::not_exists),
                         {}};
        if (item.m_kind == requirement_kind::in || item.m_kind == requirement_kind::not_in) {
            const auto values = *rc::gen::nonEmpty(
                rc::gen::container<std::set<std::string>>(rc::gen::element<std::string>("x", "y")));
            item.m_values.assign(values.begin(), values.end());
        }
        result.m_requirements.push_back(item);
    }
    return result;
}

/// Every label set over two keys that selectors of `any_selector` can tell apart.
std::vector<label_set> all_label_sets()
{
    std::vector<label_set> result;
    for (const auto* a : {"", "x", "y", "other"}) {
        for (const auto* b : {"", "x", "y", "other"}) {
            label_set labels;
            if (*a != '\0') {
                labels.set("a", a);
            }
            if (*b != '\0') {
                labels.set("b", b);
            }
            result.push_back(labels);
        }
    }
    return result;
}

RC_GTEST_PROP(plan, overlap_means_that_some_labels_match_both, ())
{
    const auto a = any_selector();
    const auto b = any_selector();
    bool found = false;
    for (const auto& labels : all_label_sets()) {
        found = found || (matches(a, labels) && matches(b, labels));
    }
    RC_ASSERT(can_overlap(a, b) == found);
}

}  // namespace
}  // namespace dewbeam::configuration
