/// \file
/// Selects the replicated log that a process which watches registries follows.
#pragma once

#include <map>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registrar {

/// How long the choice waits for a majority of the seeds, since some of them may be down.
inline constexpr time_span log_choice_timeout = std::chrono::milliseconds(300);

/// The logs that registries reported. A wrong address among the seeds is outvoted: updates of
/// registries that report a log are ignored until the log is chosen, and afterwards unless it is
/// the chosen one.
struct log_choice {
    std::map<std::string, log_id> m_reported;  ///< by link address of the registry
    log_id m_chosen;                           ///< 0: not chosen yet
    time_point m_choice_deadline =
        no_deadline;  ///< deadline without a majority, set by the first report
};

/// Records that the registry at `address` reported the log it belongs to. Chooses a log once more
/// than half of `seeds` reported the same one, or at the first report at least `log_choice_timeout`
/// after the first one: then the log reported most often. A registry without a log reports none.
void record_log(log_choice& state, const std::string& address, log_id reported, std::size_t seeds,
                time_point now);

/// Whether an update of a registry that reports the log `reported` may be applied. A registry that
/// reports no log is always accepted.
bool may_apply_update(const log_choice& state, log_id reported);

}  // namespace dewbeam::registrar
