/// \file
/// Suspicions of request contents, as gateways and registries store and exchange them, and the
/// exclusive grants under which gateways run suspected contents.
///
/// Every gateway sends each suspicion to every registry, whatever its source, and every registry
/// sends each to every gateway. This also brings a registry that starts empty up to date, and both
/// sides of a network partition that heals. Each store numbers its changes, so that only changes
/// are sent.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/permits"
#include "dewbeam/quarantine"

namespace dewbeam::registrar {

/// A suspicion with its pool.
struct pooled_suspicion {
    std::string m_pool;
    quarantine::suspicion m_record;
};

/// The exclusive grant to run a suspected content.
struct run_grant {
    permits::holder_id m_holder;
    time_point m_deadline{};  ///< from then on another gateway may get the grant
};

/// All suspicions and grants that one process knows.
struct suspicion_store {
    /// The pool of a record and the number of its last change.
    struct entry {
        std::string m_pool;
        std::uint64_t m_change = 0;
    };

    quarantine::suspicion_table m_table;
    std::map<fingerprint, entry> m_entries;
    std::uint64_t m_last_change = 0;
    std::map<fingerprint, run_grant> m_run_grants;
};

/// Merges a record; returns the part that was new.
std::optional<quarantine::suspicion> take(suspicion_store& board, const pooled_suspicion& received);

/// Records that a run of a content succeeded; returns the record if this outweighs a crash report.
std::optional<pooled_suspicion> outweigh(suspicion_store& board, fingerprint content,
                                         time_point now);

/// Removes expired suspicions and grants.
void expire(suspicion_store& board, time_point now);

/// Writes the records that changed after `change`, oldest changes first, up to a limit.
/// \returns the number of the last change written, or `change`
std::uint64_t put_changes(const suspicion_store& board, std::uint64_t change, time_point now,
                          google::protobuf::RepeatedPtrField<wire::Suspicion>& out);

pooled_suspicion from_wire(const wire::Suspicion& source, time_point now);

/// Registries only: renews or assigns the grants that a gateway requests, and releases those that
/// it held and doesn't request any more.
/// \returns the contents whose grant it holds
std::vector<fingerprint> set_wanted_turns(suspicion_store& board, const permits::holder_id& holder,
                                          const std::vector<fingerprint>& wanted, time_point now);

}  // namespace dewbeam::registrar
