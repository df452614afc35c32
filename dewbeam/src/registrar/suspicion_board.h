/// \file
/// Suspicions of contents, as gateways and registries keep and pass them on, and the turns in which
/// gateways run suspected contents.
///
/// Every gateway tells every registry what it learned, whoever it learned it from, and every
/// registry tells every gateway. A registry that starts empty, and two sides of a cut that heals,
/// are brought up to date that way. Each board numbers its changes, so that only what is new is
/// sent.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/permits"
#include "dewbeam/quarantine"

namespace dewbeam::registrar {

/// A suspicion and the pool that it belongs to.
struct noted_suspicion {
    std::string m_pool;
    quarantine::suspicion m_record;
};

/// Who runs a suspected content now.
struct content_turn {
    permits::holder_id m_holder;
    time_point m_deadline{};  ///< then another gateway may have it
};

/// What one process knows.
struct suspicion_board {
    /// Where a record belongs, and the number of its last change.
    struct entry {
        std::string m_pool;
        std::uint64_t m_change = 0;
    };

    quarantine::suspicion_table m_table;
    std::map<fingerprint, entry> m_entries;
    std::uint64_t m_last_change = 0;
    std::map<fingerprint, content_turn> m_turns;
};

/// Takes a record in; gives the part that was news.
std::optional<quarantine::suspicion> take(suspicion_board& board, const noted_suspicion& heard);

/// A run of a content ended well; gives the record where that speaks against a death.
std::optional<noted_suspicion> outweigh(suspicion_board& board, fingerprint content,
                                        time_point now);

/// Forgets what has run out.
void expire(suspicion_board& board, time_point now);

/// Writes the records that changed after `change`, the oldest changes first and as many as fit.
/// \returns the number of the last change written, or `change`
std::uint64_t put_changes(const suspicion_board& board, std::uint64_t change, time_point now,
                          google::protobuf::RepeatedPtrField<wire::Suspicion>& out);

noted_suspicion from_wire(const wire::Suspicion& source, time_point now);

/// Registries only: sets all turns that a gateway wants; those that it had and doesn't name are
/// free again.
/// \returns the ones that it has
std::vector<fingerprint> set_wanted_turns(suspicion_board& board, const permits::holder_id& holder,
                                          const std::vector<fingerprint>& wanted, time_point now);

}  // namespace dewbeam::registrar
