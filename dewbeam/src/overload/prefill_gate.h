/// \file
/// Paces new prompts to a group whose passes come close to the longest pause that its streams may
/// have.
///
/// All ranks of a lock-step group execute each pass together, and a pass takes longer the more
/// prompt tokens are read in it. When demand for experts changes, the most loaded rank takes
/// several times the mean until a new expert map is in force, and prompts that are read in one pass
/// then make every running stream late. While passes are long, each gateway sends prompts evenly
/// spaced, at a pace that keeps passes short. Streams show the length of a pass at its end, so that
/// the gateways need no exchange.
///
/// \code
/// prefill_gate gate;
/// note_pass(gate, time_since_last_event, longest_pause, now);
/// if (is_open(gate, 0.0, now)) { send_prompt(); note_prompt(gate, now); }
/// \endcode
#pragma once

#include <optional>

#include "dewbeam/base"

namespace dewbeam::overload {

/// Gate of one group.
struct prefill_gate {
    time_point m_pass_end{};     ///< of the last pass
    time_point m_paced_until{};  ///< unless another pass ends before
    double m_pace = 0.0;         ///< prompts per second; while not paced: the measured rate
    time_point m_measured_at{};  ///< of the measured rate
    /// Prompts that may be sent while paced. Gateways start with different fractions, so that they
    /// don't all send in the same pass.
    double m_credit = 0.0;
};

/// Records the time between two events of a stream, which is the length of the pass that ended now.
/// The streams of one gateway report the same pass nearly at once; the first of them counts.
void note_pass(prefill_gate& gate, time_span length, time_span objective, time_point now);

/// Records that a prompt was sent to the group.
void note_prompt(prefill_gate& gate, time_point now);

/// Whether a prompt may be sent to the group; `advance`: how many prompts ahead of the pace.
bool is_open(const prefill_gate& gate, double advance, time_point now);

/// Prompts per second that are sent at most; empty while passes are short.
std::optional<double> pace_of(const prefill_gate& gate, time_point now);

/// Share of the pace at which prompts are sent while passes take `length`.
double pace_share(time_span length, time_span objective);

}  // namespace dewbeam::overload
