// Streams that an entry assembles from the events of engines, with each kind of line ending.
#include <gtest/gtest.h>

#include "dewbeam/link"
#include "dewbeam/src/entry/entry_request.h"
#include "test/recording_exchange.h"

namespace dewbeam::entry {
namespace {

constexpr std::size_t budget_bytes = 1024UL * 1024;

class entry_stream : public testing::TestWithParam<std::string> {
protected:
    /// Starts a request whose caller wants a stream, or a non-streamed answer.
    void begin(bool is_stream)
    {
        entry_request::facts known;
        known.m_call.m_is_stream = is_stream;
        known.m_deadline = m_now + std::chrono::seconds(60);
        m_request.reset(new entry_request(std::move(known), m_answer, m_budget));
        assign_attempt();
    }

    std::optional<wire::Dispatch> assign_attempt()
    {
        owned_attempt attempt;
        attempt.m_id.m_sequence = ++m_attempts;
        m_chunks = 0;
        return m_request->assign_attempt({}, std::move(attempt), {}, m_now);
    }

    chunk_effect handle(wire::ReplyChunk chunk)
    {
        link::to_wire(m_request->attempt().m_id, *chunk.mutable_attempt());
        chunk.set_sequence(m_chunks++);
        return m_request->handle(chunk, m_now);
    }

    void receive_head()
    {
        wire::ReplyChunk chunk;
        chunk.set_status(200);
        auto* type = chunk.add_headers();
        type->set_name("Content-Type");
        type->set_value("text/event-stream");
        handle(std::move(chunk));
    }

    void receive_data(const std::string& bytes)
    {
        wire::ReplyChunk chunk;
        chunk.set_data(bytes);
        handle(std::move(chunk));
    }

    chunk_effect receive_end()
    {
        wire::ReplyChunk chunk;
        chunk.set_last(true);
        chunk.set_outcome(link::to_wire(ledger::outcome::completed));
        return handle(std::move(chunk));
    }

    [[nodiscard]] static std::string event(const std::string& data)
    {
        return "data: " + data + GetParam() + GetParam();
    }

    time_point m_now = time_point{} + std::chrono::hours(1);
    std::shared_ptr<test::recording_exchange> m_answer =
        std::make_shared<test::recording_exchange>();
    std::shared_ptr<replies::answer_budget> m_budget =
        std::make_shared<replies::answer_budget>(budget_bytes);
    request_pointer m_request;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_chunks = 0;
};

TEST_P(entry_stream, ends_a_large_answer_without_room_for_it_and_gives_its_memory_back)
{
    begin(false);
    receive_head();
    ASSERT_TRUE(m_budget->take(budget_bytes / 2));
    wire::ReplyChunk chunk;
    chunk.set_data(std::string(budget_bytes * 3 / 4, 'x'));
    EXPECT_EQ(handle(chunk), chunk_effect::broken);
    EXPECT_TRUE(m_budget->take(budget_bytes / 2));
}

TEST_P(entry_stream, gives_a_small_answer_when_large_ones_hold_all_memory)
{
    begin(false);
    receive_head();
    ASSERT_TRUE(m_budget->take(budget_bytes));
    receive_data(event("a"));
    EXPECT_EQ(receive_end(), chunk_effect::completed);
}

TEST_P(entry_stream, gives_each_event_as_it_is_whole)
{
    begin(true);
    receive_head();
    receive_data(event("a") + "data: b");
    EXPECT_EQ(m_answer->m_body, event("a"));
    receive_data(GetParam() + GetParam());
    EXPECT_EQ(m_answer->m_body, event("a") + event("b"));
}

TEST_P(entry_stream, is_whole_with_anything_but_an_event_behind_its_last_one)
{
    for (const auto& rest : {std::string(), GetParam(), ": bye" + GetParam(), std::string(": b")}) {
        m_answer = std::make_shared<test::recording_exchange>();
        begin(true);
        receive_head();
        receive_data(event("a") + event("[DONE]") + rest);
        EXPECT_EQ(receive_end(), chunk_effect::completed) << rest;
        EXPECT_TRUE(m_answer->m_is_finished);
        EXPECT_EQ(m_answer->m_body, event("a") + event("[DONE]") + rest);
    }
}

TEST_P(entry_stream, goes_on_behind_the_last_whole_event_of_one_that_ended_inside_the_next)
{
    begin(true);
    receive_head();
    receive_data(event("a") + event("b") + "data: c" + GetParam());
    EXPECT_EQ(receive_end(), chunk_effect::truncated);
    EXPECT_FALSE(m_answer->m_is_finished);
    EXPECT_EQ(m_answer->m_body, event("a") + event("b"));
    const auto resumed = assign_attempt();
    ASSERT_TRUE(resumed);
    const auto fields = link::from_wire(resumed->headers());
    EXPECT_EQ(http::find_field(fields, "X-Resume-Offset"), "2");
}

TEST_P(entry_stream, is_not_whole_either_for_a_caller_that_waits_for_all_of_it)
{
    begin(false);
    receive_head();
    receive_data(event("a") + "data: b" + GetParam());
    EXPECT_EQ(receive_end(), chunk_effect::truncated);
    EXPECT_FALSE(m_answer->m_is_finished);
    assign_attempt();
    receive_head();
    receive_data(event("a") + event("b") + GetParam());
    EXPECT_EQ(receive_end(), chunk_effect::completed);
    EXPECT_EQ(m_answer->m_body, event("a") + event("b") + GetParam());
}

INSTANTIATE_TEST_SUITE_P(all, entry_stream, testing::Values("\n", "\r\n", "\r"));

}  // namespace
}  // namespace dewbeam::entry
