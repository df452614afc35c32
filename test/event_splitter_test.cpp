#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/replies"

namespace dewbeam::replies {
namespace {

std::string split_in_pieces(event_splitter& state, std::string_view stream, std::size_t size)
{
    std::string complete;
    for (std::size_t i = 0; i < stream.size(); i += size) {
        complete += split_events(state, stream.substr(i, size));
    }
    return complete;
}

class line_ends : public testing::TestWithParam<std::string> {};

TEST_P(line_ends, each_event_is_given_with_its_empty_line)
{
    const auto& end = GetParam();
    const auto first = "id: 1" + end + "data: a" + end + end;
    event_splitter state;
    EXPECT_EQ(split_events(state, first), first);
    EXPECT_EQ(state.m_last_id, 1U);
    EXPECT_EQ(state.m_events, 1U);
    EXPECT_FALSE(is_inside_event(state));
}

TEST_P(line_ends, a_stream_cut_anywhere_in_an_event_is_inside_it)
{
    const auto& end = GetParam();
    const auto event = "id: 1" + end + "data: a" + end;
    for (std::size_t length = 1; length <= event.size(); ++length) {
        event_splitter state;
        EXPECT_EQ(split_events(state, event.substr(0, length)), "");
        EXPECT_TRUE(is_inside_event(state)) << length;
        drop_partial(state);
        EXPECT_FALSE(is_inside_event(state));
    }
}

TEST_P(line_ends, line_ends_and_comments_behind_an_event_are_no_event)
{
    const auto& end = GetParam();
    const auto event = "data: a" + end + end;
    for (const auto& rest : {end, ": a comment" + end, std::string(": a part of a com"),
                             ": one" + end + end + ": two" + end}) {
        for (std::size_t size = 1; size <= event.size() + rest.size(); ++size) {
            event_splitter state;
            auto returned = split_in_pieces(state, event + rest, size);
            EXPECT_FALSE(is_inside_event(state)) << rest;
            EXPECT_EQ(state.m_events, 1U);
            EXPECT_EQ(returned + state.m_partial, event + rest);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(all, line_ends, testing::Values("\n", "\r\n", "\r"));

TEST(event_splitter, knows_the_end_marker_whatever_stands_behind_it)
{
    event_splitter state;
    split_events(state, "data: a [DONE]\n\n");
    EXPECT_FALSE(state.m_has_ended);
    split_events(state, "data: one\ndata: [DONE]\n\n");
    EXPECT_FALSE(state.m_has_ended) << "two lines of data are one text";
    split_events(state, "data: [DO");
    EXPECT_FALSE(state.m_has_ended);
    split_events(state, "NE]\r\n\r\n\n: bye\n\n");
    EXPECT_TRUE(state.m_has_ended);
    split_events(state, "data: more\n\n");
    EXPECT_FALSE(state.m_has_ended);
}

TEST(event_splitter, takes_an_id_only_from_a_whole_event)
{
    event_splitter state;
    split_events(state, "id: 4\rdata: a\r\rid: 5\rdata: b\r");
    EXPECT_EQ(state.m_last_id, 4U);
    split_events(state, "\r");
    EXPECT_EQ(state.m_last_id, 5U);
}

struct unfinished_stream {
    const char* m_name;
    const char* m_repeated;
};

class without_an_event : public testing::TestWithParam<unfinished_stream> {};

TEST_P(without_an_event, a_stream_becomes_oversized)
{
    constexpr std::size_t most_bytes = 1000;
    event_splitter state;
    split_events(state, "id: 1\ndata: a\n\n");
    std::size_t sent = 0;
    while (!is_oversized(state, most_bytes)) {
        sent += std::string_view(GetParam().m_repeated).size();
        split_events(state, GetParam().m_repeated);
        ASSERT_LE(sent, most_bytes + 100);
    }
    EXPECT_GT(sent, most_bytes);
    drop_partial(state);
    EXPECT_FALSE(is_oversized(state, most_bytes));
    EXPECT_EQ(state.m_last_id, 1U);
}

INSTANTIATE_TEST_SUITE_P(kinds, without_an_event,
                         testing::Values(unfinished_stream{"line", "zzzz"},
                                         unfinished_stream{"event", "data: more\n"},
                                         unfinished_stream{"comments", ": still here\n\n"},
                                         unfinished_stream{"line_ends", "\n"}),
                         [](const auto& value) { return std::string(value.param.m_name); });

TEST(event_splitter, a_stream_of_events_never_becomes_oversized)
{
    event_splitter state;
    for (int i = 0; i < 1000; ++i) {
        split_events(state, ": comment\nid: 7\ndata: some word\n\n");
        ASSERT_FALSE(is_oversized(state, 100));
    }
}

RC_GTEST_PROP(event_splitter, gives_the_same_however_a_stream_is_cut,
              (const std::vector<std::uint8_t>& draws, std::uint8_t piece))
{
    static const std::vector<std::string> tokens{
        "\n", "\r", "\r\n", "id: 7", "data: x", ":c", "data:[DONE]", "retry: 1", " "};
    std::string stream;
    for (const auto draw : draws) {
        stream += tokens[draw % tokens.size()];
    }
    event_splitter at_once;
    const auto expected = split_events(at_once, stream);
    event_splitter in_pieces;
    const auto returned = split_in_pieces(in_pieces, stream, 1 + piece % 8U);
    RC_ASSERT(returned + in_pieces.m_partial == stream);
    RC_ASSERT(expected + at_once.m_partial == stream);
    RC_ASSERT(is_inside_event(in_pieces) == is_inside_event(at_once));
    RC_ASSERT(in_pieces.m_events == at_once.m_events);
    RC_ASSERT(in_pieces.m_last_id == at_once.m_last_id);
    RC_ASSERT(in_pieces.m_has_ended == at_once.m_has_ended);
}

}  // namespace
}  // namespace dewbeam::replies
