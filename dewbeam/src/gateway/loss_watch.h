/// \file
/// Attempts that ended without an answer, by the upstream's life that they ran in, until it is
/// known whether that life was over.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::gateway {

/// One process of an upstream.
struct upstream_life {
    upstream_id m_upstream;
    incarnation m_incarnation;

    friend auto operator<=>(const upstream_life&, const upstream_life&) = default;
};

/// An attempt that ended without a whole answer.
struct lost_attempt {
    fingerprint m_content;
    std::string m_pool;
    std::uint32_t m_order = 0;  ///< of the death, if it was one; see quarantine::death
    time_point m_lost_at{};
};

struct loss_watch {
    std::map<upstream_life, std::vector<lost_attempt>> m_losses;  ///< none is empty
};

/// Notes a loss; further ones of the same content in the same life add nothing.
void note_loss(loss_watch& watch, const upstream_life& where, const lost_attempt& loss);

/// The life is over: gives its losses, and forgets them.
std::vector<lost_attempt> take_losses(loss_watch& watch, const upstream_life& where);

/// The upstream was found alive: forgets what was lost there before `seen_at`.
void forget_losses(loss_watch& watch, const upstream_life& where, time_point seen_at);

/// Forgets losses of an upstream whatever its life, since it left as planned.
void forget_upstream(loss_watch& watch, const upstream_id& name);

/// Lives of an upstream other than `current` that have losses.
std::vector<upstream_life> earlier_lives(const loss_watch& watch, const upstream_life& current);

/// Forgets losses that are older than `kept_for`.
void expire(loss_watch& watch, time_span kept_for, time_point now);

}  // namespace dewbeam::gateway
