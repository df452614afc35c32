/// \file
/// What a quorum of registries has confirmed of the newest revision, and when.
///
/// A registry that has just started, lags or is partitioned away can only tell what it holds. What
/// a gateway refuses by a configuration must rest on a quorum instead: each registry asks one at
/// intervals, and tells with its answers how long ago that was.
///
///     if (is_confirmed(state, held, now - refusal_limit)) refuse(call);
#pragma once

#include <optional>
#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/revisions"

namespace dewbeam::registrar {

/// A registry that a quorum confirmed within this time is sure of what it tells.
inline constexpr time_span sure_limit = std::chrono::milliseconds(1500);

/// The latest confirmation that a follower of the registries knows.
struct confirmation {
    revisions::revision_number m_newest;  ///< no newer one was acknowledged before `m_at`
    time_point m_at{};                    ///< `time_point{}`: nothing was confirmed yet
    std::string m_registry;               ///< link address of the one that told it
};

/// Writes a registry's answer to a watch. `age`: since a quorum confirmed what the registry holds;
/// empty if none did.
void put_confirmation(std::optional<time_span> age, const wire::Watch& watch,
                      wire::WatchNews& news);

/// Applies the confirmation in an update, if it has one. Its time is computed from the moment at
/// which the watch was sent: an answer that was held up on its way confirms nothing later. Updates
/// that answer no watch confirm nothing.
void take_confirmation(confirmation& state, const std::string& registry,
                       const wire::WatchNews& news, time_point now);

/// Whether no revision newer than `held` was acknowledged before `since`.
bool is_confirmed(const confirmation& state, revisions::revision_number held, time_point since);

/// Whether the confirmation says anything of `held`, however old it is.
bool is_confirmed(const confirmation& state, revisions::revision_number held);

}  // namespace dewbeam::registrar
