// The agent's gate: what is said not to have run never runs, nothing runs twice.
#include "dewbeam/ledger"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace dewbeam::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point start{};
constexpr incarnation first_life{1};

attempt_ledger make_ledger(std::uint32_t slots)
{
    attempt_ledger state;
    state.m_options.m_incarnation = first_life;
    state.m_options.m_slots = slots;
    return state;
}

offered_attempt make_offer(std::uint64_t sequence, bool urgent = false, bool alone = false)
{
    offered_attempt attempt;
    attempt.m_id = {incarnation(9), sequence};
    attempt.m_agent = first_life;
    attempt.m_urgent = urgent;
    attempt.m_alone = alone;
    return attempt;
}

TEST(ledger, each_class_has_slots_that_the_other_cannot_take)
{
    auto state = make_ledger(4);
    state.m_options.m_urgent_slots = 2;
    state.m_options.m_ordinary_slots = 1;
    EXPECT_EQ(offer(state, make_offer(1), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(2), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(3), start).m_refusal, refusal::full);
    EXPECT_EQ(offer(state, make_offer(4, true), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(5, true), start).m_refusal, refusal::none);
    const auto refused = offer(state, make_offer(6, true), start);
    EXPECT_EQ(refused.m_refusal, refusal::full);
    EXPECT_EQ(refused.m_outcome, outcome::not_run);
    EXPECT_GT(refused.m_retry_at, start);
    finish(state, {incarnation(9), 1}, outcome::completed, start);
    finish(state, {incarnation(9), 2}, outcome::completed, start);
    EXPECT_EQ(offer(state, make_offer(7, true), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(8, true), start).m_refusal, refusal::full);
    EXPECT_EQ(offer(state, make_offer(9), start).m_refusal, refusal::none);
}

TEST(ledger, a_suspect_runs_alone)
{
    auto state = make_ledger(4);
    EXPECT_EQ(offer(state, make_offer(1), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(2, false, true), start).m_refusal, refusal::runs_alone);
    finish(state, {incarnation(9), 1}, outcome::completed, start);
    EXPECT_EQ(offer(state, make_offer(3, false, true), start).m_refusal, refusal::none);
    EXPECT_EQ(offer(state, make_offer(4, true), start).m_refusal, refusal::runs_alone);
    EXPECT_EQ(running_attempts(state), std::vector{make_offer(3).m_id});
}

TEST(ledger, room_is_kept_for_a_suspect_that_was_refused_since_others_ran)
{
    auto state = make_ledger(4);
    offer(state, make_offer(1), start);
    EXPECT_EQ(offer(state, make_offer(2, false, true), start).m_refusal, refusal::runs_alone);
    EXPECT_EQ(offer(state, make_offer(3), start).m_refusal, refusal::runs_alone);
    finish(state, {incarnation(9), 1}, outcome::completed, start);
    EXPECT_EQ(offer(state, make_offer(4), start + milliseconds(10)).m_refusal, refusal::runs_alone);
    EXPECT_EQ(offer(state, make_offer(5, false, true), start + milliseconds(20)).m_refusal,
              refusal::none);
    finish(state, {incarnation(9), 5}, outcome::completed, start + milliseconds(30));
    EXPECT_EQ(offer(state, make_offer(6), start + milliseconds(40)).m_refusal, refusal::none);
}

TEST(ledger, room_that_a_suspect_never_takes_is_given_back)
{
    auto state = make_ledger(4);
    offer(state, make_offer(1), start);
    offer(state, make_offer(2, false, true), start);
    const auto later = start + state.m_options.m_alone_hold;
    EXPECT_EQ(offer(state, make_offer(3), later).m_refusal, refusal::none);
}

TEST(ledger, nothing_begins_while_the_engine_backs_off)
{
    auto state = make_ledger(4);
    back_off(state, start + seconds(3));
    back_off(state, start + seconds(1));  // an answer to an earlier attempt
    const auto refused = offer(state, make_offer(1), start + seconds(2));
    EXPECT_EQ(refused.m_refusal, refusal::backing_off);
    EXPECT_EQ(refused.m_outcome, outcome::not_run);
    EXPECT_EQ(refused.m_retry_at, start + seconds(3));
    EXPECT_EQ(offer(state, make_offer(2), start + seconds(3)).m_refusal, refusal::none);
    back_off(state, start + seconds(9));
    renew(state, incarnation(2));
    auto next = make_offer(3);
    next.m_agent = incarnation(2);
    EXPECT_EQ(offer(state, next, start + seconds(4)).m_refusal, refusal::none) << "a new engine";
}

TEST(ledger, leaving_refuses_everything_and_drains)
{
    auto state = make_ledger(4);
    offer(state, make_offer(1), start);
    start_leaving(state);
    const auto refused = offer(state, make_offer(2, true), start);
    EXPECT_EQ(refused.m_refusal, refusal::leaving);
    EXPECT_EQ(refused.m_outcome, outcome::not_run);
    EXPECT_FALSE(drained(state));
    finish(state, {incarnation(9), 1}, outcome::completed, start);
    EXPECT_TRUE(drained(state));
}

TEST(ledger, late_dispatch_meets_the_tombstone)
{
    auto state = make_ledger(4);
    EXPECT_EQ(tombstone(state, make_offer(1).m_id, first_life, start), outcome::not_run);
    EXPECT_EQ(offer(state, make_offer(1), start).m_refusal, refusal::tombstoned);
    offer(state, make_offer(2), start);
    EXPECT_EQ(tombstone(state, make_offer(2).m_id, first_life, start), outcome::unknown);
    finish(state, make_offer(2).m_id, outcome::completed, start);
    EXPECT_EQ(tombstone(state, make_offer(2).m_id, first_life, start), outcome::completed);
    EXPECT_EQ(tombstone(state, make_offer(3).m_id, incarnation(0), start), outcome::unknown)
        << "an earlier life may have run it";
}

TEST(ledger, forgotten_attempts_are_refused_for_ever)
{
    auto state = make_ledger(4);
    offer(state, make_offer(5), start);
    finish(state, make_offer(5).m_id, outcome::completed, start);
    tombstone(state, make_offer(7).m_id, start);
    expire(state, start + minutes(10));
    EXPECT_TRUE(state.m_records.empty());
    const auto late = start + minutes(11);
    expire(state, late - seconds(1));
    for (const std::uint64_t sequence : {4, 5, 7}) {
        EXPECT_EQ(offer(state, make_offer(sequence), late).m_refusal, refusal::forgotten);
    }
    EXPECT_EQ(tombstone(state, make_offer(5).m_id, late), outcome::unknown);
    EXPECT_EQ(offer(state, make_offer(8), late + seconds(1)).m_refusal, refusal::none);
}

TEST(ledger, agent_that_slept_refuses_what_waited_for_it)
{
    auto state = make_ledger(4);
    expire(state, start);
    const auto thawed = start + minutes(3);
    auto waited = make_offer(1);
    waited.m_deadline = thawed + seconds(30);  // as counted on arrival
    EXPECT_EQ(offer(state, waited, thawed).m_refusal, refusal::thawing);
    expire(state, thawed + seconds(1));
    EXPECT_EQ(offer(state, make_offer(2), thawed + seconds(1)).m_refusal, refusal::none);
    waited = make_offer(3);
    waited.m_deadline = thawed;
    EXPECT_EQ(offer(state, waited, thawed + seconds(1)).m_refusal, refusal::deadline_passed);
}

TEST(ledger, renewal_frees_the_marks_and_refuses_the_life_before)
{
    auto state = make_ledger(4);
    state.m_options.m_most_marks = 2;
    offer(state, make_offer(1), start);
    for (const std::uint64_t entry : {1, 2}) {
        EXPECT_FALSE(needs_renewal(state));
        tombstone(state, {incarnation(entry), 1}, start);
        expire(state, start + minutes(10));
    }
    EXPECT_TRUE(needs_renewal(state));
    renew(state, incarnation(2));
    EXPECT_FALSE(needs_renewal(state));
    EXPECT_EQ(running_attempts(state).size(), 1U);
    EXPECT_EQ(offer(state, make_offer(2), start).m_refusal, refusal::wrong_incarnation);
}

/// A message of an entry that is on its way.
struct packet {
    offered_attempt m_attempt;
    bool m_tombstone = false;
};

/// What is true of an attempt, seen from outside.
struct truth {
    int m_runs = 0;
    bool m_said_not_run = false;
};

/// One agent, three entries, and a network that reorders, delays, loses and duplicates.
struct ledger_world {
    bool m_duplicates;
    random_engine m_random;
    attempt_ledger m_agent;
    time_point m_now{};
    std::uint64_t m_lives = 1;
    std::uint64_t m_entry_lives = 3;
    std::vector<attempt_id> m_entries{{incarnation(1)}, {incarnation(2)}, {incarnation(3)}};
    incarnation m_known_agent = first_life;
    std::vector<packet> m_network;
    std::vector<offered_attempt> m_sent;
    std::map<attempt_id, truth> m_truth;
    int m_restarts = 0, m_tombstones = 0, m_forgotten = 0, m_copies = 0, m_delays = 0, m_ran = 0;

    ledger_world(bool duplicates, std::uint64_t seed) : m_duplicates(duplicates), m_random(seed)
    {
        start_agent();
    }

    bool chance(std::uint64_t one_in) { return uniform_below(m_random, one_in) == 0; }

    /// A restarted agent remembers nothing.
    void start_agent()
    {
        m_agent = make_ledger(3);
        auto& options = m_agent.m_options;
        options.m_incarnation = incarnation(m_lives);
        options.m_memory = milliseconds(50);
        options.m_most_remembered = 8;
        options.m_urgent_slots = 1;
        options.m_arrives_once = !m_duplicates;
    }

    void send(const packet& item)
    {
        const bool twice = m_duplicates && chance(4);
        m_copies += twice;
        m_network.insert(m_network.end(), twice ? 2 : 1, item);
    }

    void dispatch()
    {
        auto& entry = m_entries[uniform_below(m_random, m_entries.size())];
        packet item;
        item.m_attempt.m_id = {entry.m_entry, ++entry.m_sequence};
        item.m_attempt.m_agent = m_known_agent;
        item.m_attempt.m_urgent = chance(3);
        item.m_attempt.m_alone = chance(16);
        item.m_attempt.m_configuration.m_index = chance(10) ? 0 : 1;
        m_sent.push_back(item.m_attempt);
        send(item);
    }

    void give_up()
    {
        if (!m_sent.empty()) {
            ++m_tombstones;
            send({m_sent[m_sent.size() - 1 -
                         uniform_below(m_random, std::min<std::size_t>(8, m_sent.size()))],
                  true});
        }
    }

    void deliver()
    {
        if (m_network.empty()) {
            return;
        }
        const auto place =
            m_network.begin() + static_cast<long>(uniform_below(m_random, m_network.size()));
        auto item = *place;
        m_network.erase(place);
        auto& known = m_truth[item.m_attempt.m_id];
        if (item.m_tombstone) {
            known.m_said_not_run |= tombstone(m_agent, item.m_attempt.m_id, item.m_attempt.m_agent,
                                              m_now) == outcome::not_run;
            return;
        }
        item.m_attempt.m_deadline = m_now + milliseconds(chance(10) ? 0 : 100);
        const auto result = offer(m_agent, item.m_attempt, m_now);
        known.m_runs += result.m_refusal == refusal::none;
        m_ran += result.m_refusal == refusal::none;
        known.m_said_not_run |= result.m_outcome == outcome::not_run;
        m_forgotten += result.m_refusal == refusal::forgotten;
    }

    void end_one()
    {
        const auto running = running_attempts(m_agent);
        if (!running.empty()) {
            finish(m_agent, running[uniform_below(m_random, running.size())],
                   chance(4) ? outcome::unknown : outcome::completed, m_now);
        }
    }

    void act()
    {
        switch (uniform_below(m_random, 32)) {
            case 0:
                if (chance(6)) {
                    ++m_restarts;
                    ++m_lives;
                    start_agent();
                }
                break;
            case 1:
                if (chance(6)) {
                    renew(m_agent, incarnation(++m_lives));
                }
                break;
            case 2:
            case 3:
                m_known_agent = incarnation(m_lives);
                break;
            case 4:
                m_entries[uniform_below(m_random, 3)] = {incarnation(++m_entry_lives)};
                break;
            case 5:
                m_now += milliseconds(chance(30) ? 60'000 : 60);
                m_delays += 1;
                break;
            case 6:
                m_agent.m_configuration.m_index = uniform_below(m_random, 2);
                break;
            case 7:
            case 8:
            case 9:
                give_up();
                break;
            case 10:
            case 11:
            case 12:
            case 13:
                end_one();
                break;
            case 14:
            case 15:
            case 16:
                m_now += milliseconds(5);
                expire(m_agent, m_now);
                break;
            case 17:
            case 18:
            case 19:
            case 20:
            case 21:
            case 22:
                dispatch();
                break;
            default:
                deliver();
        }
    }

    void check() const
    {
        for (const auto& [id, known] : m_truth) {
            RC_ASSERT(known.m_runs <= 1);
            RC_ASSERT(!(known.m_said_not_run && known.m_runs > 0));
        }
        RC_ASSERT(m_agent.m_records.size() <= 8U + m_agent.m_running);
        RC_ASSERT(m_agent.m_running <= 3U);
        RC_ASSERT(m_agent.m_running_alone == 0U || m_agent.m_running == 1U);
    }
};

void check_ledger(bool duplicates)
{
    int restarts = 0, tombstones = 0, forgotten = 0, copies = 0, delays = 0, ran = 0;
    EXPECT_TRUE(rc::check([&] {
        ledger_world world(duplicates, *rc::gen::arbitrary<std::uint64_t>());
        for (int i = 0; i < 1'000; ++i) {
            world.act();
            if (i % 20 == 0) {
                world.check();
            }
        }
        world.check();
        restarts += world.m_restarts;
        tombstones += world.m_tombstones;
        forgotten += world.m_forgotten;
        copies += world.m_copies;
        delays += world.m_delays;
        ran += world.m_ran;
    }));
    std::printf("ran=%d restarts=%d tombstones=%d late_after_forgotten=%d copies=%d delays=%d\n",
                ran, restarts, tombstones, forgotten, copies, delays);
}

TEST(ledger, not_run_never_runs_where_a_dispatch_arrives_at_most_once)
{
    check_ledger(false);
}

TEST(ledger, not_run_never_runs_where_messages_arrive_again)
{
    check_ledger(true);
}

}  // namespace
}  // namespace dewbeam::ledger
