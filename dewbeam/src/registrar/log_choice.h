/// \file
/// Which replicated log a process that watches registries belongs to.
#pragma once

#include <map>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registrar {

/// How long a choice waits for a majority of the seeds; some of them may be down.
inline constexpr time_span log_choice_patience = std::chrono::milliseconds(300);

/// What the registries said. A wrong address among the seeds is outvoted: nothing of a registry is
/// taken in before the log is chosen, and nothing of another log's registry ever.
struct log_choice {
    std::map<std::string, log_id> m_told;  ///< by the registry's link address
    log_id m_chosen;                       ///< 0: not yet
    time_point m_decide_at = no_deadline;  ///< without a majority; set when the first one spoke
};

/// The registry at `address` said which log it belongs to. Chooses once more than half of `seeds`
/// said the same, or `log_choice_patience` after the first one what most of them said. A registry
/// that belongs to none says nothing.
void note_log(log_choice& state, const std::string& address, log_id told, std::size_t seeds,
              time_point now);

/// Whether news of a registry that belongs to `told` may be taken in.
bool may_take(const log_choice& state, log_id told);

}  // namespace dewbeam::registrar
