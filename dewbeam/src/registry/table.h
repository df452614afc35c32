/// \file
/// All announced upstreams that a process knows, with a count of changes for those who follow.
///
/// Announcements reach several registries, late, twice and in any order. The one of the latest
/// incarnation with the highest number holds; an end of an incarnation holds for good. Merging is
/// therefore commutative and idempotent, and every registry that has seen the same announcements
/// knows the same.
#pragma once

#include <map>
#include <vector>

#include "dewbeam/src/registry/announcement.h"

namespace dewbeam::registry {

/// Limits of a table.
struct table_options {
    /// An upstream is silent after so long without an announcement: three intervals of 1.2 s, and
    /// the time by which one may come late.
    time_span m_silent_after = std::chrono::milliseconds(4500);
    /// An end is remembered for so long, since announcements sent before it may still arrive.
    time_span m_end_kept_for = std::chrono::minutes(5);
    /// An end of an upstream that was never announced doesn't say which incarnation ended: what is
    /// announced within this span was sent before it. Announcements come some seconds late at most,
    /// and a later incarnation comes each 1.2 s.
    time_span m_unknown_end_span = std::chrono::seconds(10);
    /// A silent upstream is forgotten after so long.
    time_span m_silent_kept_for = std::chrono::minutes(10);
};

/// An upstream in the table.
struct record {
    announcement m_announced;
    time_point m_heard_at{};
    bool m_is_silent = false;
    std::uint64_t m_change = 0;  ///< number of the last change that matters to followers
};

/// The table.
struct table {
    table_options m_options;
    std::map<upstream_id, record> m_records;
    std::uint64_t m_last_change = 0;
};

/// What an announcement brought.
enum class merge_result {
    nothing,  ///< known already, or older than what is known
    renewed,  ///< only that the upstream is still there
    changed,  ///< something that followers must learn
};

/// Takes an announcement in.
merge_result merge(table& state, const announcement& heard, time_point now);

/// That incarnation of the upstream is gone for good, whatever was or will be announced of it; 0:
/// the latest one that is known.
merge_result end_upstream(table& state, const upstream_id& name, incarnation ended, time_point now);

/// Marks upstreams whose announcements stopped coming. Only for a registry that can tell silence of
/// an upstream from a cut of its own.
void note_silence(table& state, time_point now);

/// A registry that can tell says that an upstream fell silent after its announcement `last`.
merge_result merge_silence(table& state, const announcement& last);

/// Forgets ends and silent upstreams that are old.
void forget_old(table& state, time_point now);

/// Records that changed after the change of that number.
std::vector<const record*> changes_since(const table& state, std::uint64_t change);

}  // namespace dewbeam::registry
