/// \file
/// Attempts by the incarnation of the upstream that ran them, until it is known whether that
/// process crashed: those that ended without a complete answer, and those that had just been
/// answered.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::gateway {

/// One process (incarnation) of an upstream.
struct upstream_incarnation {
    upstream_id m_upstream;
    incarnation m_incarnation;

    friend auto operator<=>(const upstream_incarnation&, const upstream_incarnation&) = default;
};

/// A prompt part of an attempt, and the order of a crash report for it.
struct part_evidence {
    fingerprint m_part;
    std::uint32_t m_order = 0;
};

/// An attempt that ended without a complete answer, or that its upstream may have crashed behind.
struct lost_attempt {
    fingerprint m_content;
    std::string m_pool;
    std::uint32_t m_order = 0;  ///< of a crash report; see `quarantine::crash_report`
    time_point m_lost_at{};
    std::vector<part_evidence> m_parts{};  ///< if the attempt had just begun to write its answer
    bool m_is_answered = false;            ///< completely
    time_point m_outlived_at{};            ///< an upstream that is alive then didn't crash from it
};

struct lost_attempt_tracker {
    std::map<upstream_incarnation, std::vector<lost_attempt>> m_losses;  ///< no list is empty
};

/// Records a loss. Further losses of the same content in the same incarnation are ignored.
void note_loss(lost_attempt_tracker& watch, const upstream_incarnation& where,
               const lost_attempt& loss);

/// Removes and returns the losses of an incarnation that has ended.
std::vector<lost_attempt> take_losses(lost_attempt_tracker& watch,
                                      const upstream_incarnation& where);

/// Removes and returns the losses that a process has outlived that was found alive at `seen_at`.
std::vector<lost_attempt> forget_losses(lost_attempt_tracker& watch,
                                        const upstream_incarnation& where, time_point seen_at);

/// Removes the losses of all incarnations of an upstream that left as planned.
void forget_upstream(lost_attempt_tracker& watch, const upstream_id& name);

/// Incarnations of an upstream, other than `current`, that have losses.
std::vector<upstream_incarnation> earlier_incarnations(const lost_attempt_tracker& watch,
                                                       const upstream_incarnation& current);

/// Removes and returns the losses that are at least `kept_for` old.
std::vector<lost_attempt> expire(lost_attempt_tracker& watch, time_span kept_for, time_point now);

}  // namespace dewbeam::gateway
