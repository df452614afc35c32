// Settings, logs, ids and random draws.
#include "dewbeam/base"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace dewbeam {
namespace {

using json = nlohmann::json;

const std::array<setting, 4> schema{
    setting{"/host", setting_kind::name, nullptr, "Name of the host."},
    setting{"/http/listen", setting_kind::address, "127.0.0.1:0", "Address for callers."},
    setting{"/http/most_connections", setting_kind::integer, 100, "Open connections.", 1, 1000},
    setting{"/seeds", setting_kind::addresses, json::array(), "Addresses of a few members."},
};

bool names_path(const mistakes& found, const std::string& path)
{
    return std::any_of(found.begin(), found.end(),
                       [&](const mistake& item) { return item.m_path == path; });
}

TEST(settings, reports_all_mistakes_at_once)
{
    const auto document = json::parse(R"({"http": {"listen": "localhost:1", "most_connections": 0,
        "extra": 1}, "seeds": ["127.0.0.1:1", "127.0.0.1:1"], "other": {}})");
    const auto found = check_settings(schema, document);
    EXPECT_EQ(found.size(), 6U) << to_string(found);
    for (const auto* path :
         {"/host", "/http/listen", "/http/most_connections", "/http/extra", "/seeds", "/other"}) {
        EXPECT_TRUE(names_path(found, path)) << path;
    }
}

TEST(settings, fills_defaults)
{
    const auto document = json::parse(R"({"host": "a", "http": {"listen": "[::1]:80"}})");
    EXPECT_TRUE(check_settings(schema, document).empty());
    const auto complete = with_defaults(schema, document);
    EXPECT_EQ(setting_value<int>(complete, "/http/most_connections"), 100);
    EXPECT_EQ(setting_value<std::string>(complete, "/http/listen"), "[::1]:80");
}

TEST(settings, endpoint_keeps_its_text)
{
    for (const auto* text : {"127.0.0.1:80", "[::1]:9"}) {
        const auto parsed = parse_endpoint(text);
        ASSERT_TRUE(parsed.ok());
        EXPECT_EQ(to_string(*parsed), text);
    }
    for (const auto* text : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "host:1", "1.2.3.4:1x"}) {
        EXPECT_FALSE(parse_endpoint(text).ok()) << text;
    }
}

RC_GTEST_PROP(log, quoted_values_never_break_a_line, (const std::string& value))
{
    const auto quoted = internal::quote_log_value(value);
    RC_ASSERT(quoted.find('\n') == std::string::npos);
    RC_ASSERT(quoted.front() == '"' || quoted.find(' ') == std::string::npos);
    RC_ASSERT(is_utf8(quoted));
}

RC_GTEST_PROP(random, uniform_below_stays_below, (std::uint64_t seed))
{
    random_engine engine(seed);
    const auto bound = *rc::gen::inRange<std::uint64_t>(1, 1000);
    RC_ASSERT(uniform_below(engine, bound) < bound);
}

}  // namespace
}  // namespace dewbeam
