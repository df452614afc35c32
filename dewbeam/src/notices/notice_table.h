/// \file
/// What upstreams said of themselves in their answers to this host: that they want no requests for
/// a while, or that they are about to exit.
///
/// An answer is nearer than any announcement, and it reaches a gateway that is cut off from all
/// registries. So a gateway acts on it alone, and no announcement takes it back. A notice binds
/// only the incarnation that gave it.
///
/// \code
/// if (note(table, {upstream, its_incarnation, now + backoff, false}, now)) { close(upstream); }
/// if (find(table, upstream, its_incarnation).m_is_leaving) { ... }
/// \endcode
#pragma once

#include <map>

#include "dewbeam/base"

namespace dewbeam::notices {

/// Backoff for an upstream that asks for one in a form that can't be read.
inline constexpr time_span default_backoff = std::chrono::seconds(1);

/// What one answer says of its upstream.
struct notice {
    upstream_id m_upstream;
    incarnation m_incarnation;
    time_point m_backoff_until{};  ///< epoch: it asks for none
    bool m_is_leaving = false;
};

/// What an incarnation of an upstream has said until now.
struct standing {
    incarnation m_incarnation;
    time_point m_backoff_until{};  ///< the latest end that it asked for
    bool m_is_leaving = false;
    time_point m_known_at{};  ///< when it was last known to exist
};

/// The standings of upstreams that gave a notice.
struct notice_table {
    std::map<upstream_id, standing> m_standings;
};

/// Records a notice. A backoff is never shortened: the answer may be to an earlier request than the
/// one that asked for more. A notice of another incarnation replaces what was known.
/// \returns whether it changes the upstream's standing
bool note(notice_table& table, const notice& heard, time_point now);

/// What the incarnation said; nothing if it gave no notice.
standing find(const notice_table& table, const upstream_id& upstream, incarnation of);

/// Removes what binds nothing any more. That an upstream leaves is kept for a while after it is
/// gone, since late announcements may bring it back.
void forget_old(notice_table& table, time_point now);

}  // namespace dewbeam::notices
