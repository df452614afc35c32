/// \file
/// Processes of other deployments that this one met, so that each is left alone for a while and
/// named in the log once a minute at most.
#pragma once

#include <map>
#include <string>

#include "dewbeam/base"

namespace dewbeam::link {

/// Nothing is sent for so long to an address at which another deployment answered; then it is tried
/// again, since the address may be in the right hands by now.
inline constexpr time_span stranger_pause = std::chrono::seconds(1);

/// Time between two log lines about one process.
inline constexpr time_span stranger_log_interval = std::chrono::minutes(1);

/// Where a message comes from, as its sender says.
struct origin {
    deployment_id m_deployment;
    log_id m_log;  ///< 0: its sender follows none yet

    friend bool operator==(const origin&, const origin&) = default;
};

/// Whether a message of `theirs` must not be taken in. Deployments without names are told apart by
/// the identity of their replicated log, as soon as both ends know one.
bool is_strange(const origin& own, const origin& theirs);

/// What is known of one of them.
struct stranger {
    origin m_origin;
    time_point m_leave_alone_until{};
    time_point m_log_again_at{};
};

/// All of them, by link address, or by host where they opened the connection.
struct strangers {
    std::map<std::string, stranger> m_known;
};

/// A message of another deployment came from `who`. Gives whether that is worth a log line: the
/// first time, at a change of its origin, and each `stranger_log_interval`.
bool note_stranger(strangers& state, const std::string& who, const origin& theirs, time_point now);

/// Whether nothing is to be sent to `address` now.
bool is_left_alone(const strangers& state, const std::string& address, time_point now);

}  // namespace dewbeam::link
