// Labels, selectors and the configuration document.
#include "dewbeam/configuration"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::configuration {
namespace {

using json = nlohmann::json;

label_set labels(const char* text)
{
    return parse_labels(text).value();
}

bool selects(const char* conditions, const char* text)
{
    return matches(parse_selector(conditions).value(), labels(text));
}

TEST(selector, follows_the_well_known_syntax)
{
    EXPECT_TRUE(selects("", ""));
    EXPECT_TRUE(selects("a=b", "a=b"));
    EXPECT_TRUE(selects("a==b", "a=b"));
    EXPECT_FALSE(selects("a=b", "a=c"));
    EXPECT_FALSE(selects("a=b", ""));
    EXPECT_TRUE(selects("a!=b", "a=c"));
    EXPECT_TRUE(selects("a!=b", ""));
    EXPECT_TRUE(selects("a in (x, y)", "a=y"));
    EXPECT_FALSE(selects("a in (x,y)", "a=z"));
    EXPECT_TRUE(selects("a notin (x,y)", "a=z"));
    EXPECT_TRUE(selects("a,!b", "a=1"));
    EXPECT_FALSE(selects("a,!b", "a=1,b=2"));
}

TEST(selector, names_the_byte_of_a_mistake)
{
    for (const auto* text : {"a in", "a in (", "a in (x", "=b", "a=b c", "a !b", ",", "a=b,"}) {
        const auto parsed = parse_selector(text);
        ASSERT_FALSE(parsed.ok()) << text;
        EXPECT_NE(parsed.status().message().find("at byte"), absl::string_view::npos);
    }
}

TEST(document, names_every_mistake_by_path)
{
    const auto parsed = parse_document(json::parse(R"({
        "selectors": {"alerts": {"when": "a in", "class": "fast", "weight": 0, "colour": 1}},
        "workspaces": {"w": {"labels": {"a b": "c"}, "token_hashes": ["x"]}},
        "more": {}})"));
    const auto text = to_string(parsed.m_mistakes);
    for (const auto* path :
         {"/selectors/alerts/when", "/selectors/alerts/upstreams", "/selectors/alerts/class",
          "/selectors/alerts/weight", "/selectors/alerts/colour", "/workspaces/w/labels/a b",
          "/workspaces/w/token_hashes", "/more"}) {
        EXPECT_NE(text.find(path), std::string::npos) << path << "\n" << text;
    }
}

TEST(document, greatest_priority_then_most_requirements_then_name_wins)
{
    const auto parsed = parse_document(json::parse(R"({"selectors": {
        "b": {"when": "t=1", "upstreams": ""}, "a": {"when": "t=1", "upstreams": ""},
        "narrow": {"when": "t=1,u=1", "upstreams": ""},
        "high": {"when": "v=1", "upstreams": "", "priority": 5}}})"));
    ASSERT_TRUE(parsed.m_mistakes.empty()) << to_string(parsed.m_mistakes);
    const auto& rules = parsed.m_document;
    EXPECT_EQ(resolve(rules, labels("t=1"))->m_name, "a");
    EXPECT_EQ(resolve(rules, labels("t=1,u=1"))->m_name, "narrow");
    EXPECT_EQ(resolve(rules, labels("t=1,u=1,v=1"))->m_name, "high");
    EXPECT_EQ(resolve(rules, labels("x=1")), nullptr);
}

rc::Gen<std::string> word()
{
    return rc::gen::nonEmpty(rc::gen::resize(
        8, rc::gen::container<std::string>(rc::gen::elementOf(std::string("abx.-")))));
}

RC_GTEST_PROP(selector, text_parses_to_the_same_selector, ())
{
    selector conditions;
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        requirement item{*word(),
                         *rc::gen::element(requirement_kind::in, requirement_kind::not_in,
                                           requirement_kind::exists, requirement_kind::not_exists)};
        const bool has_values =
            item.m_kind == requirement_kind::in || item.m_kind == requirement_kind::not_in;
        if (has_values) {
            const auto values =
                *rc::gen::nonEmpty(rc::gen::container<std::set<std::string>>(word()));
            item.m_values.assign(values.begin(), values.end());
        }
        conditions.m_requirements.push_back(item);
    }
    const auto parsed = parse_selector(to_string(conditions));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(*parsed == conditions);
}

RC_GTEST_PROP(document, any_bytes_are_refused_or_read, (const std::string& bytes))
{
    const auto source = json::parse(bytes, nullptr, false);
    if (!source.is_discarded()) {
        parse_document(source);
    }
    RC_ASSERT(parse_selector(bytes).ok() || !parse_selector(bytes).ok());
}

}  // namespace
}  // namespace dewbeam::configuration
