/// \file
/// Until when an order of an operator or an upstream may be carried out.
///
/// Callers move on to another registry after a second without an answer. An order that waited for
/// longer may have been acknowledged there, and a later one with the opposite effect after it. It
/// carries no number that would tell.
#pragma once

#include "dewbeam/base"

namespace dewbeam::registrar {

/// How long callers wait for an answer before they send the order to another registry.
inline constexpr time_span caller_patience = std::chrono::seconds(1);

/// The deadline of an order that was sent at `sent_after` or later.
inline time_point order_deadline(time_point sent_after)
{
    return sent_after + caller_patience;
}

/// Whether others may have carried out later orders by now.
inline bool is_outdated(time_point deadline, time_point now)
{
    return deadline <= now;
}

}  // namespace dewbeam::registrar
