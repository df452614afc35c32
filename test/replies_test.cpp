// The response to a caller is complete, in order, without duplicates, and never that of another.
#include "dewbeam/replies"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::replies {
namespace {

reply_chunk make_chunk(attempt_id attempt, std::uint64_t number, std::string data,
                       bool last = false)
{
    reply_chunk chunk;
    chunk.m_attempt = attempt;
    chunk.m_number = chunk_number(number);
    chunk.m_status = 200;
    chunk.m_data = std::move(data);
    chunk.m_last = last;
    chunk.m_outcome = ledger::outcome::completed;
    return chunk;
}

constexpr attempt_id first{incarnation(1), 1};
constexpr attempt_id second{incarnation(1), 2};

TEST(replies, late_and_duplicated_chunks_deliver_nothing)
{
    reply_stream stream;
    start_attempt(stream, first, continuation::none);
    EXPECT_EQ(accept(stream, make_chunk(first, 1, "b")).m_bytes, "");
    const auto both = accept(stream, make_chunk(first, 0, "a"));
    EXPECT_TRUE(both.m_starts_response);
    EXPECT_EQ(both.m_bytes, "ab");
    EXPECT_EQ(accept(stream, make_chunk(first, 1, "b")).m_bytes, "");
    EXPECT_EQ(accept(stream, make_chunk(second, 2, "x")).m_bytes, "");
    EXPECT_TRUE(accept(stream, make_chunk(first, 2, "c", true)).m_finished);
    EXPECT_FALSE(accept(stream, make_chunk(first, 2, "c", true)).m_finished);
}

TEST(replies, resume_goes_on_at_the_offset)
{
    reply_stream stream;
    start_attempt(stream, first, continuation::none);
    accept(stream, make_chunk(first, 0, "abc"));
    start_attempt(stream, second, continuation::resume);
    EXPECT_EQ(accept(stream, make_chunk(first, 1, "late")).m_bytes, "");
    const auto rest = accept(stream, make_chunk(second, 0, "def", true));
    EXPECT_EQ(rest.m_bytes, "def");
    EXPECT_FALSE(rest.m_starts_response);
    EXPECT_TRUE(rest.m_finished);
}

TEST(replies, replay_that_differs_or_is_short_is_an_error)
{
    for (const auto* text : {"aXcdef", "ab"}) {
        reply_stream stream;
        start_attempt(stream, first, continuation::none);
        accept(stream, make_chunk(first, 0, "abc"));
        start_attempt(stream, second, continuation::replay);
        const auto out = accept(stream, make_chunk(second, 0, text, true));
        EXPECT_EQ(out.m_error, reply_error::replay_differs);
        EXPECT_EQ(out.m_bytes, "");
        EXPECT_FALSE(out.m_finished);
        EXPECT_FALSE(can_continue(stream, continuation::resume));
    }
}

TEST(replies, replay_needs_all_that_was_delivered)
{
    reply_stream stream;
    stream.m_options.m_max_kept = {4};
    start_attempt(stream, first, continuation::none);
    accept(stream, make_chunk(first, 0, "abc"));
    EXPECT_TRUE(can_continue(stream, continuation::replay));
    accept(stream, make_chunk(first, 1, "de"));
    EXPECT_FALSE(can_continue(stream, continuation::replay));
    EXPECT_FALSE(can_continue(stream, continuation::none));
    EXPECT_TRUE(can_continue(stream, continuation::resume));
}

TEST(replies, limits_and_contradictions_end_the_stream)
{
    reply_stream stream;
    stream.m_options.m_max_chunks_held = 1;
    start_attempt(stream, first, continuation::none);
    accept(stream, make_chunk(first, 2, "c"));
    EXPECT_EQ(accept(stream, make_chunk(first, 3, "d")).m_error, reply_error::too_much_held);

    reply_stream twice;
    start_attempt(twice, first, continuation::none);
    accept(twice, make_chunk(first, 3, "d", true));
    EXPECT_EQ(accept(twice, make_chunk(first, 4, "e")).m_error, reply_error::malformed);
}

TEST(replies, attempt_that_did_not_complete_is_no_end)
{
    reply_stream stream;
    start_attempt(stream, first, continuation::none);
    accept(stream, make_chunk(first, 0, "a"));
    auto end = make_chunk(first, 1, "error text", true);
    end.m_outcome = ledger::outcome::unknown;
    const auto out = accept(stream, end);
    EXPECT_EQ(out.m_error, reply_error::attempt_ended);
    EXPECT_EQ(out.m_outcome, ledger::outcome::unknown);
    EXPECT_FALSE(out.m_finished);
    EXPECT_EQ(out.m_bytes, "");
    EXPECT_TRUE(can_continue(stream, continuation::replay));
}

/// A request with its expected response, and what its caller has read.
struct caller {
    std::string m_answer;
    reply_stream m_stream;
    std::string m_read;
    incarnation m_entry;
    int m_ends = 0;
    int m_attempts = 0;
};

/// Two entries with two callers each, and a network that misroutes, duplicates, loses and delays
/// chunks.
struct reply_simulation {
    random_engine m_random;
    std::vector<caller> m_callers{4};
    std::vector<reply_chunk> m_network;
    std::uint64_t m_attempts = 0;
    int m_cut = 0, m_lost = 0, m_copies = 0, m_late = 0, m_replays = 0, m_resumes = 0;

    explicit reply_simulation(std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            m_callers[i].m_entry = incarnation(1 + i / 2);
            for (std::uint64_t n = 20 + uniform_below(m_random, 60); n > 0; --n) {
                m_callers[i].m_answer += static_cast<char>('a' + uniform_below(m_random, 26));
            }
            start_new_attempt(m_callers[i], true);
        }
    }

    bool chance(std::uint64_t one_in) { return uniform_below(m_random, one_in) == 0; }

    /// The agent: sends the response in chunks, possibly truncated unless `complete` is set.
    void answer(const attempt_id& id, std::string text, bool complete)
    {
        const bool cut = !complete && chance(2);
        m_cut += cut;
        for (std::uint64_t number = 0; !text.empty(); ++number) {
            if (cut && chance(4)) {
                return;
            }
            const auto size = std::min<std::size_t>(text.size(), 1 + uniform_below(m_random, 9));
            const bool last = size == text.size();
            const auto chunk = make_chunk(id, number, text.substr(0, size), last);
            const bool lost = !complete && chance(20);
            const int copies = lost ? 0 : 1 + static_cast<int>(chance(5));
            m_lost += lost;
            m_copies += copies > 1;
            m_network.insert(m_network.end(), static_cast<std::size_t>(copies), chunk);
            text.erase(0, size);
        }
    }

    void start_new_attempt(caller& who, bool lossy)
    {
        const bool replay = chance(2);
        const auto how = !who.m_stream.m_started ? continuation::none
                         : replay                ? continuation::replay
                                                 : continuation::resume;
        const bool resumes = how == continuation::resume;
        m_replays += how == continuation::replay;
        m_resumes += resumes;
        const attempt_id id{who.m_entry, ++m_attempts};
        start_attempt(who.m_stream, id, how);
        answer(id, resumes ? who.m_answer.substr(who.m_read.size()) : who.m_answer, !lossy);
    }

    /// Delivers a chunk to the streams of all callers, as if it were misrouted.
    void deliver()
    {
        const auto place =
            m_network.begin() + static_cast<long>(uniform_below(m_random, m_network.size()));
        const auto chunk = *place;
        m_network.erase(place);
        bool wanted = false;
        for (auto& who : m_callers) {
            wanted |= who.m_stream.m_owner == chunk.m_attempt;
            const auto out = accept(who.m_stream, chunk);
            who.m_read += out.m_bytes;
            who.m_ends += out.m_finished;
            RC_ASSERT(out.m_error == reply_error::none);
            RC_ASSERT(who.m_answer.compare(0, who.m_read.size(), who.m_read) == 0);
            RC_ASSERT(!out.m_finished || who.m_read == who.m_answer);
            RC_ASSERT(who.m_ends <= 1);
        }
        m_late += !wanted;
    }

    void run()
    {
        for (int i = 0; i < 200; ++i) {
            auto& who = m_callers[uniform_below(m_random, m_callers.size())];
            if (chance(10) && !who.m_stream.m_closed && who.m_read.size() < who.m_answer.size()) {
                start_new_attempt(who, true);
            }
            if (!m_network.empty()) {
                deliver();
            }
        }
        for (auto& who : m_callers) {
            if (who.m_ends == 0) {
                start_new_attempt(who, false);
            }
        }
        while (!m_network.empty()) {
            deliver();
        }
        for (const auto& who : m_callers) {
            RC_ASSERT(who.m_ends == 1);
        }
    }
};

TEST(replies, every_caller_reads_its_own_whole_answer_once)
{
    int cut = 0, lost = 0, copies = 0, late = 0, replays = 0, resumes = 0;
    EXPECT_TRUE(rc::check([&] {
        reply_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.run();
        cut += simulation.m_cut;
        lost += simulation.m_lost;
        copies += simulation.m_copies;
        late += simulation.m_late;
        replays += simulation.m_replays;
        resumes += simulation.m_resumes;
    }));
    std::printf("cut=%d lost=%d copies=%d late_or_repeated=%d replays=%d resumes=%d\n", cut, lost,
                copies, late, replays, resumes);
}

}  // namespace
}  // namespace dewbeam::replies
