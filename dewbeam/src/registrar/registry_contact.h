/// \file
/// Reports how long a follower of the registries has heard none of them.
///
/// A follower that hears no registry goes on by what it knows, which others may have changed since.
#pragma once

#include <optional>

#include "dewbeam/base"
#include "dewbeam/src/registrar/registry_feed.h"

namespace dewbeam::registrar {

/// Since when no registry is heard, and when that is reported next.
struct registry_contact {
    std::optional<time_point> m_lost_at;  ///< empty: some registry is heard
    time_point m_next_report = no_deadline;
    bool m_is_reported = false;
};

/// A change of the contact that is worth a log line.
enum class contact_report { none, lost, restored };

/// Updates the contact. `lost` is returned after a short time without any registry, and then at
/// intervals; `restored` once a loss that was reported has ended.
contact_report update_contact(registry_contact& state, bool is_any_heard, time_point now);

/// For how long no registry has been heard; zero if one is.
time_span silence_of(const registry_contact& state, time_point now);

/// Updates the contact of a follower and logs its loss and its return, with the addresses that are
/// tried and the age of the last confirmation.
void report_contact(registry_contact& state, const registry_feed& feed, time_point now);

}  // namespace dewbeam::registrar
