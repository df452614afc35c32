/// \file
/// What the log is for: configuration, revisions, idempotency claims and drains of failure domains
/// behind one kind of command.
#pragma once

#include <variant>

#include "dewbeam/claims"
#include "dewbeam/configuration"
#include "dewbeam/drains"
#include "dewbeam/revisions"
#include "dewbeam/src/consensus/types.h"

namespace dewbeam::consensus {

/// Names a command for the caller that waits for its result.
struct command_id {
    replica_id m_origin;
    incarnation m_life;  ///< of the origin's process
    std::uint64_t m_number = 0;

    friend auto operator<=>(const command_id&, const command_id&) = default;
};

/// A command of the log.
struct command {
    command_id m_id;
    std::variant<configuration::change, claims::claim, claims::claim_report, revisions::revision,
                 drains::order>
        m_body;
};

/// A claim report has no answer but that it stands.
struct report_accepted {};

/// What a command gives; the alternatives follow those of `command::m_body`.
using command_result = std::variant<configuration::change_result, claims::verdict, report_accepted,
                                    revisions::revision_result, drains::order_result>;

/// The replicated state.
struct replicated_state {
    configuration::store m_configuration;
    claims::table m_claims;
    revisions::revision_store m_revisions;
    drains::drain_state m_drains;
};

/// Applies the command that stands at `place` of the log.
command_result apply(replicated_state& state, const command& wanted, const position& place);

}  // namespace dewbeam::consensus
