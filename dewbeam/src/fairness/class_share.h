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

/// Slots of an upstream with `slots` slots that ordinary work may hold; at least one.
std::uint32_t ordinary_slots(const class_options& options, std::uint32_t slots);

/// Whether a waiting ordinary request of `cost` goes before a waiting urgent one.
bool ordinary_is_due(const class_share& share, double cost);

/// Urgent work of `cost` went while ordinary work of `waiting_cost` at its head waited.
void urgent_went(class_share& share, const class_options& options, double cost,
                 double waiting_cost);

/// Ordinary work of `cost` went.
void ordinary_went(class_share& share, double cost);

}  // namespace dewbeam::fairness
