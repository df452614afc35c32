// Substitution for late agents: no step under two maps while two executors order one engine.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>

#include "dewbeam/group_map"
#include "dewbeam/src/group/group_runner.h"
#include "dewbeam/src/ranks/group_timing.h"
#include "dewbeam/src/ranks/rank_engine.h"

namespace dewbeam::ranks {
namespace {

using group_map::engine_answer;
using group_map::engine_order;
using group_map::order_kind;
using group_map::phase;
using std::chrono::milliseconds;

constexpr time_span tick_length = milliseconds(5);
constexpr time_span sign_of_life_interval = milliseconds(100);
constexpr milliseconds copy_interval{25};
constexpr int max_copies = 6;
constexpr std::uint64_t refused_number_gap = 10'000'000;
/// Hosts' clocks, from which processes take their first numbers.
constexpr std::uint64_t clock_start_us = 1'800'000'000'000'000;

/// One rank's engine, which checks no order against the state of other ranks.
struct engine_model {
    rank_report m_state;
    fencing_number m_highest;
    std::uint64_t m_highest_map = 0;
    std::uint64_t m_step_map = 0;  ///< map of the last step begun
};

bool fits(const engine_model& engine, const rank_order& order)
{
    using kind = rank_order::kind;
    const auto& state = engine.m_state;
    const bool is_begun = order.m_step <= state.m_step;
    switch (order.m_kind) {
        case kind::prepare:
            return order.m_map > engine.m_highest_map && !state.m_armed;
        case kind::arm:
            return state.m_prepared == order.m_map && !is_begun;
        case kind::disarm:
            return state.m_map != order.m_map;
        case kind::hold:
            return !is_begun;
        case kind::go:
            break;
    }
    return true;
}

void apply(engine_model& engine, const rank_order& order)
{
    using kind = rank_order::kind;
    auto& state = engine.m_state;
    switch (order.m_kind) {
        case kind::prepare:
            engine.m_highest_map = order.m_map;
            state.m_prepared = order.m_map;
            break;
        case kind::arm:
            state.m_armed = armed_map{order.m_map, order.m_step};
            break;
        case kind::disarm:
            if (state.m_armed && state.m_armed->m_map == order.m_map) {
                state.m_armed.reset();
            }
            break;
        case kind::hold:
            state.m_held = order.m_step;
            break;
        case kind::go:
            if (state.m_held == order.m_step) {
                state.m_held.reset();
            }
            break;
    }
}

order_result obey(engine_model& engine, const rank_order& order)
{
    if (order.m_formation != engine.m_state.m_formation) {
        return order_result::refused;
    }
    if (order.m_fencing < engine.m_highest) {
        return order_result::fenced;
    }
    engine.m_highest = order.m_fencing;
    if (!fits(engine, order)) {
        return order_result::refused;
    }
    apply(engine, order);
    return order_result::done;
}

/// An order in progress at an executor's port.
struct pending_order {
    engine_order m_order;
    std::vector<rank_order> m_orders;
    std::size_t m_answered = 0;  ///< the report counts as one more
    bool m_accepted = true;
    fencing_number m_highest;
};

/// A participant and its port to one engine: an agent's own, or a substitute.
struct executor {
    group_map::participant m_participant;
    std::uint32_t m_rank = 0;
    std::optional<pending_order> m_pending;
    bool m_must_raise = true;
    time_point m_since{};
};

struct host_model {
    std::uint64_t m_own = 0;  ///< executor of the agent's own engine
    group_map::coordinator m_coordinator;
    std::map<std::uint32_t, std::uint64_t> m_substitutes;  ///< executors by rank
    std::set<std::uint32_t> m_alive;
    time_point m_wakes_at{};
    time_point m_substitute_not_before{};
    time_point m_next_sign_of_life{};
    std::vector<std::function<void()>> m_inbox;  ///< what arrived while it stood still
};

struct fault_rates {
    double m_late_order = 0;   ///< of each copy of an order, on its way to the engine
    double m_late_answer = 0;  ///< of each answer and group message
    double m_freeze = 0;       ///< of each host and tick
};

/// A lock-step group in virtual time, whose coordinator substitutes for late agents.
class group_model {
public:
    group_model(std::uint32_t ranks, std::uint64_t seed)
        : m_random(seed), m_engines(ranks), m_hosts(ranks)
    {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            m_engines[rank].m_state.m_formation = 1;
            m_engines[rank].m_state.m_is_open = true;
            m_engines[rank].m_state.m_rank = rank_id(rank);
            start_host(rank);
        }
    }

    void run_for(time_span span)
    {
        const auto until = m_now + span;
        while (m_now < until && !m_two_maps) {
            m_now += tick_length;
            run_events();
            strike();
            for (std::uint32_t rank = 0; rank < m_hosts.size(); ++rank) {
                run_host(rank);
            }
        }
    }

    void propose_now_and_then(bool wanted) { m_proposes = wanted; }

    [[nodiscard]] bool two_maps() const { return m_two_maps; }
    [[nodiscard]] std::string trace() const { return m_trace; }

    [[nodiscard]] bool is_settled_on_one_map() const
    {
        const auto& first = m_engines.front().m_state;
        return std::all_of(m_engines.begin(), m_engines.end(),
                           [&](const engine_model& engine) {
                               return engine.m_state.m_map == first.m_map && !engine.m_state.m_held;
                           }) &&
               std::any_of(m_hosts.begin(), m_hosts.end(), [](const host_model& host) {
                   return host.m_coordinator.m_phase == phase::settled;
               });
    }

    fault_rates m_faults;
    int m_substitutions = 0;
    int m_commits = 0;
    int m_steps = 0;

private:
    struct event {
        time_point m_at;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_run;

        bool operator<(const event& other) const
        {
            return std::tie(other.m_at, other.m_sequence) < std::tie(m_at, m_sequence);
        }
    };

    [[nodiscard]] std::uint64_t clock_us() const
    {
        return clock_start_us +
               static_cast<std::uint64_t>(
                   std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch())
                       .count());
    }

    bool chance(double rate) { return rate > 0 && uniform_unit(m_random) < rate; }

    time_span delay(double late_rate)
    {
        constexpr std::uint64_t longest_ms = 3'000;
        const auto usual = std::chrono::microseconds(500 + uniform_below(m_random, 2'000));
        return chance(late_rate) ? time_span(milliseconds(uniform_below(m_random, longest_ms)))
                                 : time_span(usual);
    }

    void after(time_span span, std::function<void()> run)
    {
        m_events.push({m_now + span, ++m_sequence, std::move(run)});
    }

    /// Runs at a host, or once it goes on.
    void at_host(std::uint32_t rank, time_span span, std::function<void()> run)
    {
        after(span, [this, rank, run = std::move(run)] {
            auto& host = m_hosts[rank];
            if (m_now < host.m_wakes_at) {
                host.m_inbox.push_back(run);
                return;
            }
            run();
        });
    }

    void run_events()
    {
        while (!m_events.empty() && m_events.top().m_at <= m_now && !m_two_maps) {
            const auto run = m_events.top().m_run;
            m_events.pop();
            run();
            step();
        }
    }

    group::group_options options_of(std::uint32_t rank)
    {
        auto options =
            group::make_group_options("g", std::vector<std::string>(m_hosts.size(), "host"),
                                      rank_id(rank), incarnation(clock_us() + rank), true);
        set_timing(options);
        return options;
    }

    void start_host(std::uint32_t rank)
    {
        auto& host = m_hosts[rank];
        const auto options = options_of(rank);
        host.m_own = add_executor(rank, options.m_participant);
        host.m_coordinator = group_map::make_coordinator(options.m_coordinator);
        if (rank == 0) {
            carry_out(rank, group_map::activate(host.m_coordinator, 0, m_now));
        }
    }

    std::uint64_t add_executor(std::uint32_t engine, const group_map::participant_options& options)
    {
        auto& added = m_executors[++m_last_executor];
        added.m_participant = group_map::start_participant(options, m_now);
        added.m_rank = engine;
        added.m_since = m_now;
        return m_last_executor;
    }

    // Orders.

    void carry_out(std::uint32_t host, std::uint64_t id,
                   const group_map::participant_effects& effects)
    {
        auto& subject = m_executors.at(id);
        if (effects.m_close_connection && subject.m_pending) {
            subject.m_must_raise |= subject.m_pending->m_order.m_kind != order_kind::stage;
            subject.m_pending.reset();
        }
        if (effects.m_order) {
            const auto formation = m_engines[subject.m_rank].m_state.m_formation;
            subject.m_pending = pending_order{
                *effects.m_order,
                to_rank_orders(*effects.m_order, formation, nullptr, subject.m_must_raise), 0, true,
                effects.m_order->m_number};
            send_next(host, id);
        }
        if (effects.m_report) {
            send_report(host, *effects.m_report);
        }
    }

    void send_next(std::uint32_t host, std::uint64_t id)
    {
        auto& subject = m_executors.at(id);
        const auto& pending = *subject.m_pending;
        if (!pending.m_accepted || pending.m_answered == pending.m_orders.size()) {
            ask_report(host, id);
            return;
        }
        send_copy(host, id, pending.m_order.m_number, pending.m_answered, 1);
    }

    /// The order at `index` of an executor's order in progress, if it still waits for its answer.
    pending_order* waiting(std::uint64_t id, fencing_number number, std::size_t index)
    {
        const auto place = m_executors.find(id);
        if (place == m_executors.end() || !place->second.m_pending) {
            return nullptr;
        }
        auto& pending = *place->second.m_pending;
        const bool is_same = pending.m_order.m_number == number && pending.m_answered == index;
        return is_same ? &pending : nullptr;
    }

    void send_copy(std::uint32_t host, std::uint64_t id, fencing_number number, std::size_t index,
                   int copy)
    {
        const auto* pending = waiting(id, number, index);
        if (pending == nullptr) {
            return;
        }
        const auto engine = m_executors.at(id).m_rank;
        after(delay(m_faults.m_late_order), [this, host, id, number, index, engine,
                                             order = pending->m_orders[index]] {
            const auto result = obey(m_engines[engine], order);
            note(engine, id, order, result);
            at_host(host, delay(m_faults.m_late_answer), [this, host, id, number, index, result] {
                take_result(host, id, number, index, result);
            });
        });
        if (copy < max_copies) {
            at_host(host, copy_interval, [this, host, id, number, index, copy] {
                send_copy(host, id, number, index, copy + 1);
            });
        }
    }

    void take_result(std::uint32_t host, std::uint64_t id, fencing_number number, std::size_t index,
                     order_result result)
    {
        auto* pending = waiting(id, number, index);
        if (pending == nullptr) {
            return;
        }
        ++pending->m_answered;
        if (result == order_result::done) {
            m_executors.at(id).m_must_raise = false;
        }
        else {
            pending->m_accepted = false;
        }
        if (result == order_result::fenced) {
            pending->m_highest = fencing_number(number.value() + refused_number_gap);
        }
        send_next(host, id);
    }

    void ask_report(std::uint32_t host, std::uint64_t id)
    {
        const auto number = m_executors.at(id).m_pending->m_order.m_number;
        const auto index = m_executors.at(id).m_pending->m_answered;
        const auto engine = m_executors.at(id).m_rank;
        after(delay(0), [this, host, id, number, index, engine] {
            const auto state = to_state(m_engines[engine].m_state);
            at_host(host, delay(m_faults.m_late_answer), [this, host, id, number, index, state] {
                const auto* pending = waiting(id, number, index);
                if (pending == nullptr) {
                    return;
                }
                const engine_answer answer{number, pending->m_accepted, pending->m_highest, state};
                m_executors.at(id).m_pending.reset();
                carry_out(host, id,
                          group_map::answered(m_executors.at(id).m_participant, answer, m_now));
            });
        });
    }

    // Messages of the group.

    void send_report(std::uint32_t from, const group_map::report& message)
    {
        const auto to = message.m_to.value();
        const auto way = from == to ? time_span::zero() : delay(m_faults.m_late_answer);
        at_host(to, way, [this, to, message] {
            carry_out(to, group_map::receive(m_hosts[to].m_coordinator, message, m_now));
        });
    }

    void carry_out(std::uint32_t from, const group_map::coordinator_effects& effects)
    {
        for (const auto& message : effects.m_commands) {
            const auto rank = message.m_to.value();
            const bool is_local = m_hosts[from].m_substitutes.contains(rank);
            const auto to = is_local ? from : rank;
            const auto way = from == to ? time_span::zero() : delay(m_faults.m_late_answer);
            at_host(to, way, [this, to, rank, is_local, message] {
                const auto place = m_hosts[to].m_substitutes.find(rank);
                if (is_local && place == m_hosts[to].m_substitutes.end()) {
                    return;
                }
                const auto id = is_local ? place->second : m_hosts[to].m_own;
                carry_out(to, id,
                          group_map::receive(m_executors.at(id).m_participant, message, m_now));
            });
        }
        m_commits += effects.m_change.m_result == group_map::change_result::committed;
    }

    // Hosts.

    void strike()
    {
        for (auto& host : m_hosts) {
            if (m_now >= host.m_wakes_at && chance(m_faults.m_freeze)) {
                host.m_wakes_at = m_now + milliseconds(200 + uniform_below(m_random, 2'500));
            }
        }
    }

    void run_host(std::uint32_t rank)
    {
        auto& host = m_hosts[rank];
        if (m_now < host.m_wakes_at) {
            return;
        }
        const bool wakes = host.m_wakes_at != time_point{};
        if (wakes) {
            host.m_wakes_at = {};
            host.m_substitute_not_before = m_now + late_answer_timeout(rank);
        }
        tick(rank);  // timers run before what has arrived is read
        for (const auto& run : std::exchange(host.m_inbox, {})) {
            run();
            step();
        }
        step();
    }

    time_span late_answer_timeout(std::uint32_t rank)
    {
        return options_of(rank).m_late_answer_timeout;
    }

    void tick(std::uint32_t rank)
    {
        auto& host = m_hosts[rank];
        carry_out(rank, host.m_own,
                  group_map::tick(m_executors.at(host.m_own).m_participant, m_now));
        for (const auto& [engine, id] : std::map(host.m_substitutes)) {
            carry_out(rank, id, group_map::tick(m_executors.at(id).m_participant, m_now));
        }
        const auto& own = m_executors.at(host.m_own).m_participant;
        constexpr std::uint32_t candidates = 3;
        if (rank < candidates && host.m_coordinator.m_phase == phase::inactive &&
            group_map::coordinator_silent(own, m_now)) {
            carry_out(rank,
                      group_map::activate(host.m_coordinator, own.m_promised.m_number, m_now));
        }
        substitute_late_ranks(rank);
        end_substitutions(rank);
        carry_out(rank, group_map::tick(host.m_coordinator, m_now));
        send_sign_of_life(rank);
        propose(rank);
    }

    void substitute_late_ranks(std::uint32_t rank)
    {
        auto& host = m_hosts[rank];
        if (m_now < host.m_substitute_not_before) {
            return;
        }
        const auto late =
            group_map::late_ranks(host.m_coordinator, late_answer_timeout(rank), m_now);
        if (late.size() > std::max<std::size_t>(1, m_hosts.size() / 3)) {
            return;
        }
        for (const auto late_rank : late) {
            if (late_rank.value() == rank || host.m_substitutes.contains(late_rank.value())) {
                continue;
            }
            auto options = options_of(rank).m_participant;
            options.m_rank = late_rank;
            const auto& known = host.m_coordinator.m_ranks[late_rank.value()].m_life;
            options.m_incarnation =
                incarnation(std::max(clock_us(), known ? known->m_agent.value() + 1 : 0));
            options.m_first_order = fencing_number(options.m_incarnation.value());
            host.m_substitutes[late_rank.value()] = add_executor(late_rank.value(), options);
            ++m_substitutions;
        }
    }

    void end_substitutions(std::uint32_t rank)
    {
        auto& host = m_hosts[rank];
        const bool coordinates = host.m_coordinator.m_phase != phase::inactive;
        if (host.m_substitutes.empty() ||
            (coordinates &&
             (host.m_alive.empty() || host.m_coordinator.m_phase != phase::settled))) {
            return;
        }
        std::erase_if(host.m_substitutes, [&](const auto& item) {
            const bool is_over = !coordinates || host.m_alive.contains(item.first);
            if (is_over) {
                m_executors.erase(item.second);
            }
            return is_over;
        });
        host.m_alive.clear();
        if (coordinates) {
            const auto& own = m_executors.at(host.m_own).m_participant;
            carry_out(rank,
                      group_map::activate(host.m_coordinator, own.m_promised.m_number, m_now));
        }
    }

    void send_sign_of_life(std::uint32_t rank)
    {
        if (m_now < m_hosts[rank].m_next_sign_of_life) {
            return;
        }
        m_hosts[rank].m_next_sign_of_life = m_now + sign_of_life_interval;
        for (std::uint32_t to = 0; to < m_hosts.size(); ++to) {
            at_host(to, delay(m_faults.m_late_answer), [this, to, rank] {
                auto& host = m_hosts[to];
                const auto place = host.m_substitutes.find(rank);
                if (place != host.m_substitutes.end() &&
                    m_executors.at(place->second).m_since + late_answer_timeout(to) < m_now) {
                    host.m_alive.insert(rank);
                }
            });
        }
    }

    void propose(std::uint32_t rank)
    {
        auto& coordinator = m_hosts[rank].m_coordinator;
        if (!m_proposes || coordinator.m_phase != phase::settled ||
            uniform_below(m_random, 20) != 0) {
            return;
        }
        group_map::coordinator_effects effects;
        group_map::propose(coordinator,
                           std::make_shared<std::string>(std::to_string(++m_proposals)), m_now,
                           effects);
        carry_out(rank, effects);
    }

    // Engines.

    /// All ranks begin the next step at once, unless one holds at it or the last one still runs.
    void step()
    {
        constexpr time_span step_time = milliseconds(20);
        const auto next = m_engines.front().m_state.m_step.value() + 1;
        const bool is_held =
            std::any_of(m_engines.begin(), m_engines.end(), [&](const engine_model& engine) {
                return engine.m_state.m_held && engine.m_state.m_held->value() <= next;
            });
        if (is_held || m_now < m_next_step) {
            return;
        }
        // Without requests a group begins no step.
        const bool has_rest = uniform_below(m_random, 8) == 0;
        m_next_step = m_now + (has_rest ? time_span(milliseconds(500)) : step_time);
        ++m_steps;
        for (auto& engine : m_engines) {
            auto& state = engine.m_state;
            state.m_step = group_map::step_number(next);
            if (state.m_armed && state.m_armed->m_step.value() == next) {
                state.m_map = state.m_armed->m_map;
                state.m_armed.reset();
            }
            m_two_maps |= state.m_map != m_engines.front().m_state.m_map;
        }
    }

    /// Keeps the last orders of a failed run for its message.
    void note(std::uint32_t engine, std::uint64_t id, const rank_order& order, order_result result)
    {
        constexpr std::size_t max_length = 4'000;
        const char* results[] = {"done", "refused", "fenced", "unclear"};
        m_trace += std::to_string(to_milliseconds(m_now.time_since_epoch())) + " ms: rank " +
                   std::to_string(engine) + " executor " + std::to_string(id) + " " +
                   to_string(order.m_kind) + " map " + std::to_string(order.m_map) + " step " +
                   std::to_string(order.m_step.value()) + " number " +
                   std::to_string(order.m_fencing.value()) + " " +
                   results[static_cast<int>(result)] + "\n";
        if (m_trace.size() > 2 * max_length) {
            m_trace.erase(0, m_trace.find('\n', m_trace.size() - max_length) + 1);
        }
    }

    random_engine m_random;
    time_point m_now{};
    time_point m_next_step{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_last_executor = 0;
    std::uint64_t m_proposals = 0;
    bool m_proposes = false;
    bool m_two_maps = false;
    std::string m_trace;
    std::vector<engine_model> m_engines;
    std::vector<host_model> m_hosts;
    std::map<std::uint64_t, executor> m_executors;
    std::priority_queue<event> m_events;
};

/// What the runs of one test have met.
struct run_totals {
    int m_substitutions = 0;
    int m_commits = 0;
};

void check_one_map(std::uint64_t seed, const fault_rates& faults, run_totals& totals)
{
    const auto ranks = static_cast<std::uint32_t>(3 + seed % 3);
    group_model group(ranks, seed);
    group.m_faults = faults;
    group.propose_now_and_then(true);
    group.run_for(std::chrono::seconds(30));
    ASSERT_FALSE(group.two_maps()) << "seed " << seed << "\n" << group.trace();
    group.m_faults = {};
    group.propose_now_and_then(false);
    group.run_for(std::chrono::seconds(10));
    ASSERT_FALSE(group.two_maps()) << "seed " << seed << "\n" << group.trace();
    ASSERT_TRUE(group.is_settled_on_one_map()) << "seed " << seed << "\n" << group.trace();
    totals.m_substitutions += group.m_substitutions;
    totals.m_commits += group.m_commits;
}

void check_one_map(const fault_rates& faults)
{
    constexpr std::uint64_t seeds = 400;
    run_totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check_one_map(seed, faults, totals);
        if (testing::Test::HasFatalFailure()) {
            return;
        }
    }
    std::printf("substitutions=%d committed=%d\n", totals.m_substitutions, totals.m_commits);
    EXPECT_GT(totals.m_substitutions, 0);
    EXPECT_GT(totals.m_commits, 0);
}

TEST(group_substitution, no_step_has_two_maps_if_agents_freeze)
{
    check_one_map({0.02, 0.01, 0.002});
}

TEST(group_substitution, no_step_has_two_maps_if_agents_freeze_and_messages_are_late)
{
    check_one_map({0.1, 0.05, 0.002});
}

TEST(group_substitution, no_step_has_two_maps_if_agents_freeze_and_orders_are_late)
{
    check_one_map({0.2, 0.02, 0.001});
}

}  // namespace
}  // namespace dewbeam::ranks
