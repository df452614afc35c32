/// \file
/// All announced upstreams that a process knows, with numbered changes for followers.
///
/// Announcements reach several registries, possibly late, duplicated and out of order. The one of
/// the latest incarnation with the highest number takes precedence; the end of an incarnation is
/// final. Merging is therefore commutative and idempotent, and all registries that received the
/// same announcements have the same state.
#pragma once

#include <map>
#include <vector>

#include "dewbeam/src/registry/announcement.h"

namespace dewbeam::registry {

/// Timeouts and retention times of a table.
struct table_options {
    /// An upstream without an announcement for this long is silent: three announcement intervals of
    /// 1.2 s, and an allowance for late delivery.
    time_span m_silent_after = std::chrono::milliseconds(4500);
    /// Retention time of an ended upstream, since announcements sent before its end may still
    /// arrive.
    time_span m_ended_retention = std::chrono::minutes(5);
    /// If the incarnation that ended is unknown, announcements within this time after the end count
    /// as sent before it and are ignored. Announcements are at most a few seconds late, and a later
    /// incarnation repeats its own every 1.2 s.
    time_span m_unknown_end_window = std::chrono::seconds(10);
    /// Retention time of a silent upstream, since its last announcement.
    time_span m_silent_retention = std::chrono::minutes(10);
};

/// An upstream in the table.
struct record {
    announcement m_announced;
    time_point m_heard_at{};
    time_point m_told_cold_until{};  ///< end of its coldness as followers were last told
    bool m_is_unresponsive = false;
    std::uint64_t m_change = 0;  ///< number of the last change that is relevant to followers
};

/// The table of upstreams.
struct table {
    table_options m_options;
    std::map<upstream_id, record> m_records;
    std::uint64_t m_last_change = 0;
};

/// The effect of an announcement.
enum class merge_result {
    nothing,  ///< already known, or older than the known state
    renewed,  ///< only confirms that the upstream is alive
    changed,  ///< a change that followers must be sent
};

/// Merges an announcement.
merge_result merge(table& state, const announcement& received, time_point now);

/// Records that an incarnation of the upstream has ended permanently, whatever is announced of it
/// earlier or later; 0: the latest known incarnation.
merge_result end_upstream(table& state, const upstream_id& name, incarnation ended, time_point now);

/// Marks upstreams whose announcements stopped as silent. Only for a registry that can rule out its
/// own isolation as the cause.
void note_silence(table& state, time_point now);

/// Applies another registry's report that an upstream fell silent after the announcement `last`.
merge_result merge_silence(table& state, const announcement& last);

/// Removes ended and silent upstreams whose retention time has passed.
void forget_old(table& state, time_point now);

/// The records that changed after the change with this number.
std::vector<const record*> changes_since(const table& state, std::uint64_t change);

}  // namespace dewbeam::registry
