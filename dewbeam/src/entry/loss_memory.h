/// \file
/// Contents that were running when the link to an agent was lost.
///
/// A lost link is mostly a lost host or a cut, which no content caused, so the first loss makes
/// no suspect: what ran there goes on elsewhere at once. A content that meets a second loss is
/// treated as one that ended its upstream. An upstream that goes on in the same life shows that
/// nothing was ended there: such a loss doesn't count.
#pragma once

#include <compare>
#include <map>
#include <mutex>
#include <string>

#include "dewbeam/base"

namespace dewbeam::entry {

/// One life of the upstream behind an agent; the agent draws it anew with each start of its own and
/// of the upstream.
struct upstream_life {
    std::string m_address;  ///< of the agent's link
    incarnation m_incarnation;

    friend auto operator<=>(const upstream_life&, const upstream_life&) = default;
};

/// The memory of one entry. Thread-safe; bounded.
class loss_memory {
public:
    /// Notes a loss; true where the content met another one before, not long ago. Losses noted at
    /// the same time are one.
    bool note(fingerprint content, const upstream_life& where, time_point now);

    /// Forgets the losses at an upstream that was found in this life at `seen_at`, up to then.
    void forget(const upstream_life& where, time_point seen_at);

private:
    using contents = std::map<fingerprint, time_point>;  ///< and when the loss is forgotten

    void expire(time_point now);
    void make_room();

    std::mutex m_mutex;
    std::map<upstream_life, contents> m_losses;  ///< none is empty
};

}  // namespace dewbeam::entry
