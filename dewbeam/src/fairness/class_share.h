/// \file
/// The share between urgent and ordinary work: urgent first, ordinary with a guaranteed floor,
/// and slots of each upstream that ordinary work leaves free for urgent work.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::fairness {

/// Limits, set by the operator.
struct class_options {
    double m_ordinary_floor = 0.2;  ///< least share of cost that waiting ordinary work gets
    double m_urgent_reserve = 0.1;  ///< share of each upstream's slots kept from ordinary work
};

/// What ordinary work has earned while urgent work went first.
struct class_share {
    double m_credit = 0.0;
};

/// How many urgent requests an upstream's agent had at once lately.
struct urgent_demand {
    double m_mean = 0.0;  ///< decayed over about ten seconds
    std::uint32_t m_count = 0;
    time_point m_counted_at{};
};

/// The agent has `count` urgent requests from now on.
void note_urgent(urgent_demand& demand, std::uint32_t count, time_point now);

/// Slots of an upstream with `slots` slots that ordinary work may hold: at least one, and at least
/// its floor. The agent's gate goes by it and reports it. The reserve grows with the demand, by
/// two standard deviations of a Poisson count, so that urgent work finds a slot at nearly all
/// times.
std::uint32_t ordinary_slots(const class_options& options, std::uint32_t slots,
                             const urgent_demand& demand);

/// Slots that urgent work may hold while ordinary work waits at the agent.
std::uint32_t urgent_slots(const class_options& options, std::uint32_t slots);

/// What an agent counts of its own.
struct gate_counts {
    std::uint32_t m_running = 0;
    std::uint32_t m_urgent_waiting = 0;    ///< for a slot
    std::uint32_t m_urgent_beginning = 0;  ///< have a slot, but no first token yet
};

/// Whether one more urgent request would have to wait at an agent with `slots` slots: for a slot,
/// or for another urgent prompt. The agent answers `not_run` then, if the dispatch may not wait.
bool would_wait(const gate_counts& counts, std::uint32_t slots);

/// Whether a waiting ordinary request of `cost` goes before a waiting urgent one.
bool ordinary_is_due(const class_share& share, double cost);

/// Urgent work of `cost` went while ordinary work of `waiting_cost` at its head waited.
void urgent_went(class_share& share, const class_options& options, double cost,
                 double waiting_cost);

/// Ordinary work of `cost` went.
void ordinary_went(class_share& share, double cost);

}  // namespace dewbeam::fairness
