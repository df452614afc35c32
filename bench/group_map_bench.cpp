// Cost of a change of the expert map, and of the ledger's gate; one JSON object on one line.
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <queue>
#include <variant>

#include "dewbeam/fake_engine"
#include "dewbeam/group_map"
#include "dewbeam/ledger"
#include "dewbeam/src/group/group_wire.h"

namespace {

using namespace dewbeam;  // NOLINT(google-build-using-namespace)
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_span step_time = milliseconds(5);
constexpr time_span order_delay = microseconds(200);
constexpr time_span max_delay = milliseconds(1);

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// A message or an order's answer that is due.
struct due_event {
    time_point m_at;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_rank = 0;
    std::variant<group_map::command, group_map::report, group_map::engine_answer> m_body;

    bool operator<(const due_event& other) const
    {
        return std::tie(other.m_at, other.m_sequence) < std::tie(m_at, m_sequence);
    }
};

/// A group without faults: engines that step every 5 ms, agents up to a millisecond apart.
struct group_run {
    random_engine m_random{1};
    time_point m_now{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_held_steps = 0;
    time_point m_next_step{};
    group_map::coordinator m_coordinator;
    std::vector<group_map::participant> m_participants;
    std::vector<fake_engine::rank_engine> m_engines;
    std::priority_queue<due_event> m_due;

    explicit group_run(std::uint32_t ranks) : m_engines(ranks)
    {
        group_map::coordinator_options options;
        options.m_ranks = ranks;
        m_coordinator = group_map::make_coordinator(options);
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            group_map::participant_options own;
            own.m_rank = rank_id(rank);
            m_participants.push_back(group_map::start_participant(own, m_now));
            m_engines[rank].m_stage_time = time_span::zero();
            carry_out(rank, group_map::tick(m_participants.back(), m_now));
        }
        carry_out(group_map::activate(m_coordinator, 0, m_now));
    }

    void push(std::uint32_t rank, time_span delay, decltype(due_event::m_body) body)
    {
        m_due.push({m_now + delay, ++m_sequence, rank, std::move(body)});
    }

    time_span message_delay()
    {
        return microseconds(100 + uniform_below(m_random, max_delay.count() - 100));
    }

    void carry_out(const group_map::coordinator_effects& effects)
    {
        for (const auto& message : effects.m_commands) {
            ++m_messages;
            m_bytes += group::to_wire("group", rank_id(0), message).ByteSizeLong();
            push(message.m_to.value(), message_delay(), message);
        }
    }

    void carry_out(std::uint32_t rank, const group_map::participant_effects& effects)
    {
        if (effects.m_order) {
            push(rank, order_delay, fake_engine::obey(m_engines[rank], *effects.m_order, m_now));
        }
        if (effects.m_report) {
            ++m_messages;
            m_bytes += group::to_wire("group", *effects.m_report).ByteSizeLong();
            push(rank, message_delay(), *effects.m_report);
        }
    }

    void deliver(const due_event& event)
    {
        if (const auto* message = std::get_if<group_map::command>(&event.m_body)) {
            carry_out(event.m_rank,
                      group_map::receive(m_participants[event.m_rank], *message, m_now));
        }
        else if (const auto* news = std::get_if<group_map::report>(&event.m_body)) {
            carry_out(group_map::receive(m_coordinator, *news, m_now));
        }
        else {
            carry_out(event.m_rank,
                      group_map::answered(m_participants[event.m_rank],
                                          std::get<group_map::engine_answer>(event.m_body), m_now));
        }
    }

    /// All ranks begin the next step together, unless one must hold.
    void step()
    {
        for (auto& engine : m_engines) {
            const auto& state = engine.m_state;
            if (state.m_armed && !state.m_switching && state.m_armed->m_step == state.m_step) {
                ++m_held_steps;
                return;
            }
        }
        for (auto& engine : m_engines) {
            fake_engine::begin_step(engine);
        }
    }

    void run_one()
    {
        if (m_due.empty() || m_due.top().m_at >= m_next_step) {
            m_now = m_next_step;
            m_next_step += step_time;
            step();
            return;
        }
        const auto event = m_due.top();
        m_due.pop();
        m_now = event.m_at;
        deliver(event);
    }

    void run_until_settled()
    {
        while (m_coordinator.m_phase != group_map::phase::settled) {
            run_one();
        }
    }

    /// All engines have switched; a change may begin anywhere inside a step.
    void run_on()
    {
        const auto begin = m_now + milliseconds(100) + microseconds(uniform_below(m_random, 5'000));
        while (m_now < begin) {
            run_one();
        }
    }
};

nlohmann::json measure_change(std::uint32_t ranks)
{
    constexpr int changes = 200;
    constexpr std::size_t map_bytes = 60UL * 128 * 2;  // 60 layers, 128 experts
    group_run run(ranks);
    run.run_until_settled();
    run.m_messages = run.m_bytes = run.m_held_steps = 0;
    time_span virtual_time{};
    double cpu = 0;
    for (int i = 0; i < changes; ++i) {
        auto content = std::string(map_bytes, static_cast<char>('a' + i % 26));
        const auto began = run.m_now;
        const auto start = std::chrono::steady_clock::now();
        group_map::coordinator_effects effects;
        group_map::propose(run.m_coordinator,
                           std::make_shared<const std::string>(std::move(content)), run.m_now,
                           effects);
        run.carry_out(effects);
        run.run_until_settled();
        cpu += seconds_since(start);
        virtual_time += run.m_now - began;
        run.run_on();
    }
    const auto virtual_ms = std::chrono::duration<double, std::milli>(virtual_time).count();
    return {{"ranks", ranks},
            {"messages", static_cast<double>(run.m_messages) / changes},
            {"bytes", static_cast<double>(run.m_bytes) / changes},
            {"map_bytes", map_bytes},
            {"cpu_us", cpu * 1e6 / changes},
            {"virtual_ms", virtual_ms / changes},
            {"steps_held", static_cast<double>(run.m_held_steps) / changes},
            {"changes", changes}};
}

double measure_ledger(std::uint64_t remembered)
{
    constexpr std::uint64_t rounds = 300'000;
    ledger::attempt_ledger state;
    state.m_options.m_slots = 8;
    state.m_options.m_memory = microseconds(remembered);
    ledger::offered_attempt attempt;
    time_point now{};
    const auto one = [&] {
        now += microseconds(1);
        ++attempt.m_id.m_sequence;
        ledger::offer(state, attempt, now);
        ledger::finish(state, attempt.m_id, ledger::outcome::completed, now);
        ledger::expire(state, now);
    };
    for (std::uint64_t i = 0; i < remembered; ++i) {
        one();
    }
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < rounds; ++i) {
        one();
    }
    return seconds_since(start) * 1e9 / static_cast<double>(rounds);
}

}  // namespace

int main()
{
    nlohmann::json result{{"bench", "group_map"}};
    for (const std::uint32_t ranks : {16, 64, 256}) {
        result["changes"].push_back(measure_change(ranks));
    }
    result["ledger_offer_finish_expire_ns"] = {{"remembered_1k", measure_ledger(1'000)},
                                               {"remembered_100k", measure_ledger(100'000)}};
    std::printf("%s\n", result.dump().c_str());
    return 0;
}
