// The expert map protocol: no step under two maps, whatever dies, sleeps, or arrives late.
#include "dewbeam/group_map"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <queue>
#include <set>
#include <variant>

#include "dewbeam/fake_engine"

namespace dewbeam::group_map {
namespace {

using std::chrono::milliseconds;

constexpr time_span tick_length = milliseconds(1);
constexpr time_span order_lifetime = milliseconds(300);

/// Faults of one run, each a chance per message or per agent and millisecond.
struct fault_rates {
    double m_loss = 0;
    double m_duplicate = 0;
    double m_late = 0;
    double m_crash = 0;
    double m_freeze = 0;
    double m_engine_death = 0;
};

/// What the runs of one test have met.
struct fault_counts {
    int m_lost = 0, m_duplicated = 0, m_late = 0, m_crashes = 0, m_coordinator_crashes = 0;
    int m_freezes = 0, m_frozen_armed = 0, m_engine_deaths = 0, m_committed = 0, m_given_up = 0;
};

void print(const fault_counts& counts)
{
    std::printf(
        "faults: lost=%d duplicated=%d late=%d crashes=%d coordinator_crashes=%d "
        "freezes=%d frozen_armed=%d group_deaths=%d; changes: committed=%d given_up=%d\n",
        counts.m_lost, counts.m_duplicated, counts.m_late, counts.m_crashes,
        counts.m_coordinator_crashes, counts.m_freezes, counts.m_frozen_armed,
        counts.m_engine_deaths, counts.m_committed, counts.m_given_up);
}

/// Something on its way to an agent, or to the engine beside it.
struct packet {
    time_point m_at;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_rank = 0;
    incarnation m_process;  ///< the only one that can get an order or answer: a connection's end
    std::variant<command, report, engine_order, engine_answer> m_body;

    bool operator<(const packet& other) const
    {
        return std::tie(other.m_at, other.m_sequence) < std::tie(m_at, m_sequence);
    }
};

struct engine_model : fake_engine::rank_engine {
    map_id m_step_map;  ///< under which it began its last step
    int m_work = 0;
    int m_old_work = 0;  ///< that an earlier agent brought
};

struct agent_model {
    std::optional<participant> m_participant;  ///< none while the process is down
    coordinator m_coordinator;
    incarnation m_incarnation;
    time_point m_wakes_at{};  ///< frozen or down until then
    std::vector<packet> m_held;
    int m_unlanded = 0;      ///< requests on their way to the engine
    int m_old_unlanded = 0;  ///< that an earlier agent sent
    time_point m_old_land_at{};
};

/// A whole group in virtual time; a copy of it goes on on its own.
struct group_model {
    bool m_checks_fencing = true;
    bool m_can_hold = true;
    fault_rates m_faults;
    fault_counts* m_counts = nullptr;
    random_engine m_random;
    time_point m_now{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_steps = 0;
    std::uint64_t m_group_messages = 0;
    std::uint64_t m_kill_after = 0;  ///< group messages until rank 0's agent dies, 0: never
    std::string m_proposal;          ///< what rank 0 proposes next
    bool m_two_maps = false;
    std::vector<agent_model> m_agents;
    std::vector<engine_model> m_engines;
    std::priority_queue<packet> m_network;

    group_model(std::uint32_t ranks, bool checks_fencing, bool can_hold, std::uint64_t seed,
                fault_counts& counts)
        : m_checks_fencing(checks_fencing),
          m_can_hold(can_hold),
          m_counts(&counts),
          m_random(seed),
          m_agents(ranks),
          m_engines(ranks)
    {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            m_engines[rank].m_state.m_can_hold = can_hold;
            m_engines[rank].m_checks_fencing = checks_fencing;
            start_agent(rank);
        }
    }

    bool chance(double rate) { return rate > 0 && uniform_unit(m_random) < rate; }

    void start_agent(std::uint32_t rank)
    {
        auto& agent = m_agents[rank];
        agent.m_incarnation = incarnation(agent.m_incarnation.value() + 1);
        participant_options options;
        options.m_rank = rank_id(rank);
        options.m_incarnation = agent.m_incarnation;
        options.m_first_order = fencing_number(agent.m_incarnation.value() * 1'000'000);
        options.m_checks_fencing = m_checks_fencing;
        options.m_answer_limit = milliseconds(50);
        options.m_order_lifetime = order_lifetime;
        options.m_silence_limit = milliseconds(1000) * (rank + 1);
        agent.m_participant = start_participant(options, m_now);
        coordinator_options own;
        own.m_rank = rank_id(rank);
        own.m_incarnation = agent.m_incarnation;
        own.m_first_epoch = min_epoch_above(options.m_first_order);
        own.m_ranks = static_cast<std::uint32_t>(m_agents.size());
        own.m_heartbeat_interval = milliseconds(200);
        agent.m_coordinator = make_coordinator(own);
        if (rank == 0) {
            carry_out(rank, activate(agent.m_coordinator, 0, m_now));
        }
    }

    void crash(std::uint32_t rank, time_span down)
    {
        auto& agent = m_agents[rank];
        m_counts->m_crashes += 1;
        m_counts->m_coordinator_crashes += agent.m_coordinator.m_phase != phase::inactive;
        agent.m_participant.reset();
        agent.m_coordinator.m_phase = phase::inactive;
        agent.m_held.clear();
        agent.m_wakes_at = m_now + down;
        agent.m_old_unlanded += std::exchange(agent.m_unlanded, 0);
        agent.m_old_land_at = m_now + milliseconds(uniform_below(m_random, 290));
        m_engines[rank].m_old_work += std::exchange(m_engines[rank].m_work, 0);
    }

    void send(packet item, bool is_order)
    {
        if (chance(m_faults.m_loss)) {
            ++m_counts->m_lost;
            return;
        }
        const bool twice = chance(m_faults.m_duplicate);
        m_counts->m_duplicated += twice;
        for (int copy = 0; copy <= static_cast<int>(twice); ++copy) {
            auto delay = milliseconds(1 + uniform_below(m_random, 3));
            if (chance(m_faults.m_late)) {
                // Only an engine that checks numbers is safe from orders of any age.
                const auto longest = is_order && !m_checks_fencing ? 290 : 3'000;
                delay = milliseconds(1 + uniform_below(m_random, longest));
                ++m_counts->m_late;
            }
            item.m_at = m_now + delay;
            item.m_sequence = ++m_sequence;
            m_network.push(item);
        }
    }

    void carry_out(std::uint32_t rank, const participant_effects& effects)
    {
        if (effects.m_order) {
            send({{}, 0, rank, m_engines[rank].m_state.m_group, *effects.m_order}, true);
        }
        if (effects.m_report) {
            send({{}, 0, effects.m_report->m_to.value(), {}, *effects.m_report}, false);
        }
    }

    void carry_out(std::uint32_t rank, const coordinator_effects& effects)
    {
        for (const auto& message : effects.m_commands) {
            count_group_message();
            if (!m_agents[rank].m_participant) {
                return;
            }
            send({{}, 0, message.m_to.value(), {}, message}, false);
        }
        m_counts->m_committed += effects.m_change.m_result == change_result::committed;
        m_counts->m_given_up += effects.m_change.m_result == change_result::given_up;
    }

    engine_answer obey(engine_model& engine, const engine_order& order) const
    {
        auto answer = fake_engine::obey(engine, order, m_now);
        answer.m_state.m_busy = engine.m_work + engine.m_old_work > 0;
        return answer;
    }

    void deliver(const packet& item)
    {
        auto& agent = m_agents[item.m_rank];
        if (const auto* order = std::get_if<engine_order>(&item.m_body)) {
            auto& engine = m_engines[item.m_rank];
            if (engine.m_state.m_group == item.m_process) {
                send({{}, 0, item.m_rank, agent.m_incarnation, obey(engine, *order)}, false);
            }
            return;
        }
        if (!agent.m_participant) {
            return;
        }
        if (m_now < agent.m_wakes_at) {
            agent.m_held.push_back(item);
            return;
        }
        if (const auto* message = std::get_if<command>(&item.m_body)) {
            carry_out(item.m_rank, receive(*agent.m_participant, *message, m_now));
        }
        else if (const auto* news = std::get_if<report>(&item.m_body)) {
            carry_out(item.m_rank, receive(agent.m_coordinator, *news, m_now));
            count_group_message();
        }
        else if (agent.m_incarnation == item.m_process) {
            auto answer = std::get<engine_answer>(item.m_body);
            // The agent knows which of its own requests are unfinished.
            answer.m_state.m_busy |= agent.m_unlanded + m_engines[item.m_rank].m_work > 0;
            carry_out(item.m_rank, answered(*agent.m_participant, answer, m_now));
        }
    }

    void count_group_message()
    {
        if (++m_group_messages == m_kill_after) {
            crash(0, milliseconds(30));
        }
    }

    void run_agent(std::uint32_t rank)
    {
        auto& agent = m_agents[rank];
        if (m_now < agent.m_wakes_at) {
            return;
        }
        if (!agent.m_participant) {
            start_agent(rank);
        }
        for (const auto& item : std::exchange(agent.m_held, {})) {
            deliver(item);
        }
        if (!agent.m_participant) {
            return;
        }
        carry_out(rank, tick(*agent.m_participant, m_now));
        if (rank < 3 && agent.m_coordinator.m_phase == phase::inactive &&
            coordinator_silent(*agent.m_participant, m_now)) {
            carry_out(rank, activate(agent.m_coordinator, agent.m_participant->m_promised.m_number,
                                     m_now));
        }
        carry_out(rank, tick(agent.m_coordinator, m_now));
    }

    /// The lock-step rule: a rank begins a step when no rank is behind it.
    void run_engines()
    {
        std::uint64_t slowest = ~0ULL;
        int work = 0;
        for (const auto& engine : m_engines) {
            slowest = std::min(slowest, engine.m_state.m_step.value());
            work += engine.m_work + engine.m_old_work;
        }
        bool begun = false;
        for (const auto& engine : m_engines) {
            begun |= engine.m_state.m_step.value() > slowest;
        }
        for (auto& engine : m_engines) {
            fake_engine::tick(engine, m_now);
            if (engine.m_state.m_step.value() == slowest && (m_can_hold || work > 0 || begun) &&
                one_life() && uniform_below(m_random, 4) > 0) {
                engine.m_step_map =
                    fake_engine::begin_step(engine) ? engine.m_state.m_current : engine.m_step_map;
            }
        }
        finish_step(slowest);
    }

    bool one_life() const
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) {
            return engine.m_state.m_group == m_engines.front().m_state.m_group;
        });
    }

    void finish_step(std::uint64_t step)
    {
        for (const auto& engine : m_engines) {
            if (engine.m_state.m_step.value() <= step) {
                return;
            }
        }
        ++m_steps;
        for (auto& engine : m_engines) {
            m_two_maps |= engine.m_step_map != m_engines.front().m_step_map;
            finish_some(engine.m_work);
            finish_some(engine.m_old_work);
        }
    }

    void finish_some(int& work) { work -= work > 0 && uniform_below(m_random, 3) == 0; }

    void land_requests(agent_model& agent, engine_model& engine)
    {
        if (agent.m_unlanded > 0 && uniform_below(m_random, 20) == 0) {
            agent.m_unlanded -= 1;
            engine.m_work += 1;
        }
        if (m_now >= agent.m_old_land_at) {
            engine.m_old_work += std::exchange(agent.m_old_unlanded, 0);
        }
    }

    void admit_requests()
    {
        for (std::uint32_t rank = 0; !m_can_hold && rank < m_agents.size(); ++rank) {
            auto& agent = m_agents[rank];
            const bool awake = agent.m_participant && m_now >= agent.m_wakes_at;
            land_requests(agent, m_engines[rank]);
            if (awake && may_admit(*agent.m_participant) && uniform_below(m_random, 60) == 0) {
                agent.m_unlanded += 1;
            }
        }
    }

    void strike()
    {
        for (std::uint32_t rank = 0; rank < m_agents.size(); ++rank) {
            auto& agent = m_agents[rank];
            if (m_now < agent.m_wakes_at) {
                continue;
            }
            if (chance(m_faults.m_crash)) {
                crash(rank, milliseconds(uniform_below(m_random, 100)));
            }
            else if (chance(m_faults.m_freeze)) {
                m_counts->m_freezes += 1;
                m_counts->m_frozen_armed += m_engines[rank].m_state.m_armed.has_value();
                const bool minutes = uniform_below(m_random, 20) == 0;
                agent.m_wakes_at = m_now + milliseconds(minutes ? 120'000 : 700);
            }
        }
        if (chance(m_faults.m_engine_death)) {
            ++m_counts->m_engine_deaths;
            for (auto& engine : m_engines) {
                const auto life = incarnation(engine.m_state.m_group.value() + 1);
                engine = engine_model();
                engine.m_state.m_group = life;
                engine.m_state.m_can_hold = m_can_hold;
                engine.m_checks_fencing = m_checks_fencing;
            }
            for (auto& agent : m_agents) {
                agent.m_unlanded = agent.m_old_unlanded = 0;
            }
        }
    }

    void advance()
    {
        m_now += tick_length;
        if (!m_proposal.empty()) {
            propose_at(0, std::exchange(m_proposal, ""));
        }
        while (!m_network.empty() && m_network.top().m_at <= m_now) {
            const auto item = m_network.top();
            m_network.pop();
            deliver(item);
        }
        strike();
        for (std::uint32_t rank = 0; rank < m_agents.size(); ++rank) {
            run_agent(rank);
        }
        admit_requests();
        run_engines();
    }

    /// Lets each settled coordinator propose a map now and then.
    void propose_some(std::uint64_t one_in)
    {
        for (std::uint32_t rank = 0; rank < m_agents.size(); ++rank) {
            auto& agent = m_agents[rank];
            if (agent.m_coordinator.m_phase == phase::settled && m_now >= agent.m_wakes_at &&
                uniform_below(m_random, one_in) == 0) {
                propose_at(rank, std::to_string(uniform_below(m_random, 1'000'000)));
            }
        }
    }

    void propose_at(std::uint32_t rank, const std::string& content)
    {
        coordinator_effects effects;
        propose(m_agents[rank].m_coordinator, std::make_shared<std::string>(content), m_now,
                effects);
        carry_out(rank, effects);
    }

    /// Whatever of this kind is on its way to a rank arrives at `at`, not before.
    template <class Body>
    void delay(std::uint32_t rank, time_point at)
    {
        for (auto rest = std::exchange(m_network, {}); !rest.empty(); rest.pop()) {
            auto item = rest.top();
            if (item.m_rank == rank && std::holds_alternative<Body>(item.m_body)) {
                item.m_at = at;
            }
            m_network.push(item);
        }
    }

    void activate_at(std::uint32_t rank)
    {
        const auto highest = m_agents[rank].m_participant->m_promised.m_number;
        carry_out(rank, activate(m_agents[rank].m_coordinator, highest, m_now));
    }

    /// All awake, one coordinator, one map everywhere, and nothing waits.
    bool at_rest() const
    {
        std::uint32_t coordinators = 0;
        for (const auto& agent : m_agents) {
            const auto& own = agent.m_coordinator;
            coordinators += own.m_phase != phase::inactive;
            if (!agent.m_participant || m_now < agent.m_wakes_at ||
                (own.m_phase != phase::inactive && own.m_phase != phase::settled)) {
                return false;
            }
        }
        const auto& map = m_engines.front().m_state.m_current;
        return coordinators == 1 &&
               std::all_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) {
                   return engine.m_state.m_current == map && !engine.m_state.m_armed;
               });
    }

    std::uint32_t ruler() const
    {
        const auto found = std::find_if(m_agents.begin(), m_agents.end(), [](const auto& agent) {
            return agent.m_coordinator.m_phase == phase::settled;
        });
        return static_cast<std::uint32_t>(found - m_agents.begin());
    }

    /// Runs until the group rests and has made 20 more steps; false if it does not in `limit`.
    bool comes_to_rest(time_span limit)
    {
        const auto deadline = m_now + limit;
        const auto steps = m_steps + 20;
        while (m_now < deadline && !m_two_maps && !(at_rest() && m_steps >= steps)) {
            advance();
        }
        return at_rest() && m_steps >= steps && !m_two_maps;
    }
};

fault_rates all_faults()
{
    return {0.05, 0.05, 0.05, 0.0005, 0.0005, 0.0001};
}

void run_under_faults(bool checks_fencing, bool can_hold, fault_counts& counts)
{
    const auto ranks = *rc::gen::inRange<std::uint32_t>(2, 7);
    group_model group(ranks, checks_fencing, can_hold, *rc::gen::arbitrary<std::uint64_t>(),
                      counts);
    group.m_faults = all_faults();
    while (group.m_now < time_point(milliseconds(6'000))) {
        group.advance();
        group.propose_some(20);
        RC_ASSERT(!group.m_two_maps);
    }
    group.m_faults = {};
    RC_ASSERT(group.comes_to_rest(std::chrono::minutes(3)));
    const auto last_late = group.m_now + milliseconds(3'000);
    while (group.m_now < last_late) {
        group.advance();
    }
    RC_ASSERT(group.comes_to_rest(milliseconds(5'000)));
    const auto before = group.m_engines.front().m_state.m_current;
    group.propose_at(group.ruler(), "last");
    RC_ASSERT(group.comes_to_rest(milliseconds(5'000)));
    RC_ASSERT(group.m_engines.front().m_state.m_current.m_number == before.m_number + 1);
}

void check_under_faults(bool checks_fencing, bool can_hold, fault_counts& counts)
{
    constexpr int groups_a_case = 3;  // some windows are narrow
    for (int i = 0; i < groups_a_case; ++i) {
        run_under_faults(checks_fencing, can_hold, counts);
    }
}

TEST(group_map, no_step_has_two_maps_with_an_engine_that_checks_fencing)
{
    fault_counts counts;
    EXPECT_TRUE(rc::check([&] { check_under_faults(true, true, counts); }));
    print(counts);
}

TEST(group_map, no_step_has_two_maps_with_an_engine_that_ignores_fencing)
{
    fault_counts counts;
    EXPECT_TRUE(rc::check([&] { check_under_faults(false, true, counts); }));
    print(counts);
}

TEST(group_map, no_step_has_two_maps_with_an_engine_that_cannot_hold)
{
    fault_counts counts;
    EXPECT_TRUE(rc::check([&] { check_under_faults(true, false, counts); }));
    EXPECT_TRUE(rc::check([&] { check_under_faults(false, false, counts); }));
    print(counts);
}

/// Kills the coordinator after each of the group messages until it is settled, one at a time.
/// \returns in how many of the runs the group ended under the next map
std::uint64_t kill_at_each_message(group_model& group, std::uint64_t& points)
{
    std::uint64_t finished = 0;
    auto point = group.m_group_messages;
    points = point;
    do {
        // Runs share their past: the main line goes one millisecond on after its kills.
        auto ahead = group;
        ahead.advance();
        for (; point < ahead.m_group_messages; ++point) {
            auto killed = group;
            killed.m_kill_after = point + 1;
            EXPECT_TRUE(killed.comes_to_rest(milliseconds(5'000))) << "killed after " << point;
            finished += killed.m_engines.front().m_state.m_current.m_number;
        }
        group = ahead;
    } while (!group.at_rest());
    points = point - points;
    return finished;
}

TEST(group_map, coordinator_of_256_ranks_killed_between_every_two_messages)
{
    fault_counts counts;
    group_model group(256, true, true, 1, counts);
    ASSERT_TRUE(group.comes_to_rest(milliseconds(1'000)));
    group.m_proposal = "next";
    auto during_commit = group;
    during_commit.m_kill_after = group.m_group_messages + 4ULL * 256 + 100;
    std::uint64_t points = 0;
    const auto finished = kill_at_each_message(group, points);
    std::printf("change: killed at %d points, finished by the next coordinator at %d\n",
                static_cast<int>(points), static_cast<int>(finished));
    EXPECT_EQ(points, 6U * 256U);  // stage, arm, commit, and their reports
    EXPECT_GT(finished, 0U);
    EXPECT_LT(finished, points);

    while (during_commit.m_agents[0].m_participant) {
        during_commit.advance();
    }
    const auto finished_again = kill_at_each_message(during_commit, points);
    std::printf("recovery: killed at %d points, finished at %d\n", static_cast<int>(points),
                static_cast<int>(finished_again));
    EXPECT_EQ(points, 6U * 256U);  // collect, confirm, commit, and their reports
    EXPECT_EQ(finished_again, points);
    print(counts);
}

// Rank 1 coordinates with one answer missing; rank 2 overtakes it, commits and forgets its promise.
TEST(group_map, slow_coordinator_is_harmless_beside_a_new_one)
{
    fault_counts counts;
    group_model settled(3, true, true, 1, counts);
    ASSERT_TRUE(settled.comes_to_rest(milliseconds(1'000)));
    int finished = 0;
    for (int killed_at = 1; killed_at <= 90; ++killed_at) {
        for (int late = 1; late <= 99; late += 2) {
            auto group = settled;
            group.activate_at(1);
            group.delay<command>(2, group.m_now + milliseconds(late));
            for (int i = 0; i < 8; ++i) {
                group.advance();
            }
            group.activate_at(2);
            for (int i = 0; i < killed_at; ++i) {
                group.advance();
                group.propose_at(2, "next");
            }
            group.crash(2, milliseconds(1));
            ASSERT_TRUE(group.comes_to_rest(milliseconds(10'000))) << killed_at << ", " << late;
            finished += static_cast<int>(group.m_engines[0].m_state.m_current.m_number);
        }
    }
    std::printf("overtaken and killed at 90 moments, 50 delays: %d changes finished\n", finished);
    EXPECT_GT(finished, 0);
}

/// Both agents die at each moment of a change; an order that rank 1 sent before lands later.
int kill_both_with_late_orders(group_model settled)
{
    int finished = 0;
    settled.propose_at(0, "next");
    for (int killed_at = 1; killed_at <= 60; ++killed_at) {
        settled.advance();
        for (int late = 1; late <= 60; ++late) {
            auto group = settled;
            group.crash(0, milliseconds(1));
            group.crash(1, milliseconds(1));
            group.delay<engine_order>(1, group.m_now + milliseconds(late));
            EXPECT_TRUE(group.comes_to_rest(milliseconds(5'000))) << killed_at << " " << late;
            finished += static_cast<int>(group.m_engines[0].m_state.m_current.m_number);
        }
    }
    return finished;
}

TEST(group_map, late_orders_of_an_earlier_life_are_harmless)
{
    fault_counts counts;
    for (const bool checks_fencing : {true, false}) {
        int finished = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            group_model settled(2, checks_fencing, true, seed, counts);
            ASSERT_TRUE(settled.comes_to_rest(milliseconds(1'000)));
            finished += kill_both_with_late_orders(settled);
        }
        std::printf("checks_fencing=%d: 10 groups, 60 moments, 60 delays: %d changes finished\n",
                    static_cast<int>(checks_fencing), finished);
        EXPECT_GT(finished, 0);
    }
}

TEST(group_map, command_for_an_earlier_life_is_refused)
{
    participant_options options;
    options.m_incarnation = incarnation(2);
    auto state = start_participant(options, time_point());
    const auto first_read = tick(state, time_point()).m_order;
    answered(state, {first_read->m_number, true, {}, {}}, time_point());
    command message;
    message.m_epoch = {7, rank_id(1), incarnation(1)};
    message.m_round = round_number(1);
    const auto read = receive(state, message, time_point()).m_order;
    EXPECT_TRUE(answered(state, {read->m_number, true, {}, {}}, time_point()).m_report);
    message.m_kind = command_kind::stage;
    message.m_round = round_number(2);
    message.m_target.m_map.m_number = 1;
    message.m_life.m_agent = incarnation(1);
    const auto refused = receive(state, message, time_point());
    EXPECT_FALSE(refused.m_order);
    EXPECT_TRUE(refused.m_report->m_refused);
    message.m_life.m_agent = incarnation(2);
    EXPECT_TRUE(receive(state, message, time_point()).m_order);
}

TEST(group_map, executor_that_is_refused_gives_no_order_before_a_higher_epoch)
{
    participant_options options;
    options.m_first_order = fencing_number(5'000 * orders_per_epoch);
    auto state = start_participant(options, time_point());
    const auto first_read = tick(state, time_point()).m_order;
    answered(state, {first_read->m_number, true, {}, {}}, time_point());
    command message;
    message.m_epoch = {7, rank_id(1), incarnation(1)};
    message.m_round = round_number(1);
    const auto order = receive(state, message, time_point()).m_order;
    ASSERT_TRUE(order && order->m_raises_fencing);
    EXPECT_EQ(order->m_number, fencing_number(7 * orders_per_epoch + 1));
    const fencing_number higher(9 * orders_per_epoch);
    const auto refused = answered(state, {order->m_number, false, higher, {}}, time_point());
    EXPECT_FALSE(refused.m_order);
    ASSERT_TRUE(refused.m_report);
    EXPECT_GT(refused.m_report->m_promised, message.m_epoch);
    EXPECT_EQ(refused.m_report->m_promised.m_rank, rank_id(1));
    message.m_round = round_number(2);
    EXPECT_FALSE(receive(state, message, time_point()).m_order);
    EXPECT_FALSE(tick(state, time_point(std::chrono::minutes(1))).m_order);
    message.m_epoch.m_number = refused.m_report->m_promised.m_number;
    const auto next = receive(state, message, time_point()).m_order;
    ASSERT_TRUE(next && next->m_raises_fencing);
    EXPECT_GT(next->m_number, higher);
}

TEST(group_map, engine_that_restarts_behind_its_fence_is_fenced_again)
{
    participant_options options;
    auto state = start_participant(options, time_point());
    const auto first_read = tick(state, time_point()).m_order;
    engine_answer answer{first_read->m_number, true, {}, {}};
    answer.m_state.m_group = incarnation(1);
    answered(state, answer, time_point());
    command message;
    message.m_epoch = {7, rank_id(1), incarnation(1)};
    message.m_round = round_number(1);
    const auto order = receive(state, message, time_point()).m_order;
    ASSERT_TRUE(order && order->m_raises_fencing);
    EXPECT_EQ(order->m_group, incarnation(1));
    answer.m_number = answer.m_highest = order->m_number;
    answer.m_state.m_group = incarnation(2);
    EXPECT_FALSE(answered(state, answer, time_point()).m_report);
    const auto again = tick(state, time_point(std::chrono::minutes(1))).m_order;
    ASSERT_TRUE(again && again->m_raises_fencing);
    EXPECT_EQ(again->m_group, incarnation(2));
}

TEST(group_map, candidates_use_different_epoch_numbers)
{
    std::set<std::uint64_t> numbers;
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        coordinator_options options;
        options.m_ranks = 3;
        options.m_rank = rank_id(rank);
        auto state = make_coordinator(options);
        for (int i = 0; i < 5; ++i) {
            EXPECT_TRUE(
                numbers.insert(activate(state, 4, time_point()).m_commands.at(0).m_epoch.m_number)
                    .second);
        }
    }
}

}  // namespace
}  // namespace dewbeam::group_map
