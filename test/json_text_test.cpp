// JSON from outside: nesting, excerpts for error messages, and bytes that aren't UTF-8.
#include <gtest/gtest.h>

#include "dewbeam/base"

namespace dewbeam {
namespace {

using json = nlohmann::json;

std::string lists(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

TEST(json_text, nesting_is_bounded)
{
    EXPECT_TRUE(parse_json(lists(max_json_depth)).ok());
    EXPECT_TRUE(absl::IsOutOfRange(parse_json(lists(max_json_depth + 1)).status()));
    EXPECT_TRUE(absl::IsOutOfRange(parse_json(lists(1'000'000)).status()));
    EXPECT_TRUE(absl::IsOutOfRange(parse_json(R"({"a":)" + lists(max_json_depth) + "}").status()));
}

TEST(json_text, brackets_in_texts_do_not_nest)
{
    const auto text = R"(["\"\\)" + std::string(1000, '[') + R"(",[1]])";
    const auto parsed = parse_json(text, 2);
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ((*parsed)[1][0], 1);
}

TEST(json_text, invalid_text_is_refused)
{
    for (const auto* text : {"", "{", "nul", "[1,]", "\"\xC3\"", "[\"\xFF\"]", "1e999", "]["}) {
        EXPECT_TRUE(absl::IsInvalidArgument(parse_json(text).status())) << text;
    }
}

TEST(json_text, excerpt_shows_small_values_whole)
{
    for (const auto* text : {"null", "-5", R"({"a":[1,2.5,"x"],"b":{}})", R"("\n\"")", "[]"}) {
        EXPECT_EQ(excerpt(json::parse(text)), text);
    }
    EXPECT_EQ(excerpt_text("soon"), R"("soon")");
}

// Guards against a value whose full text exhausts the stack before it is shortened.
TEST(json_text, excerpt_of_a_deeply_nested_value_is_short)
{
    constexpr std::size_t depth = 1'000'000;
    const auto value = json::parse(lists(depth));
    EXPECT_EQ(excerpt(value, 4), "[[[[...");
}

// Guards against error messages that end inside a character, which can't be written as JSON.
TEST(json_text, excerpt_ends_between_characters)
{
    for (const auto* letter : {"\xC3\xA9", "\xE2\x82\xAC", "\xF0\x9F\x98\x80"}) {
        std::string text;
        for (int i = 0; i < 40; ++i) {
            text += letter;
        }
        for (std::size_t most = 1; most < 20; ++most) {
            const auto shown = excerpt(json(text), most);
            EXPECT_TRUE(is_utf8(shown)) << most;
            EXPECT_LE(shown.size(), most + 3);
        }
    }
}

TEST(json_text, bytes_that_are_no_text_can_be_written)
{
    const std::string bytes = "a\xFFz";
    EXPECT_EQ(write_json({{"message", bytes}}), "{\"message\":\"a\xEF\xBF\xBDz\"}");
    EXPECT_TRUE(is_utf8(excerpt_text(bytes)));
}

TEST(json_text, utf8_is_recognized)
{
    for (const auto* text : {"", "plain", "\xC3\xA9", "\xE2\x82\xAC", "\xF0\x9F\x98\x80", "\x7F"}) {
        EXPECT_TRUE(is_utf8(text)) << text;
    }
    // A lone continuation, an overlong form, a surrogate, one beyond U+10FFFF, a cut character.
    for (const auto* bytes : {"\x80", "\xC0\xAF", "\xE0\x80\x80", "\xED\xA0\x80",
                              "\xF4\x90\x80\x80", "\xE2\x82", "\xFF", "a\xC3"}) {
        EXPECT_FALSE(is_utf8(bytes)) << bytes;
    }
    EXPECT_TRUE(is_utf8(std::string_view("\0", 1)));
}

}  // namespace
}  // namespace dewbeam
