/// \file
/// Which work selector a request falls under, and what follows from it.
///
/// Pure: no result depends on anything but the arguments.
#pragma once

#include <string>
#include <variant>

#include "dewbeam/caller"
#include "dewbeam/configuration"
#include "dewbeam/dispatch"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// The selector and the workspace of a request. Both point into the document.
struct classification {
    const configuration::work_selector* m_rule = nullptr;   ///< never null in a result
    const configuration::workspace* m_workspace = nullptr;  ///< null: none
};

/// Finds the selector and the workspace of a call, or why it is refused. A token decides the
/// workspace; without one, the name that the caller gives does, where no token is required.
std::variant<classification, caller::error> classify(const configuration::document& rules,
                                                     const caller::call& wanted);

/// Writes what follows from the classification into the request's facts: among them the pool,
/// the deadline, and the model in the call and in the body that goes to the upstream.
void apply(const classification& found, configuration_version version, entry_request::facts& known);

/// Whether the request may run only under a claim of its key, and has none yet.
bool needs_claim(const classification& found, const entry_request::facts& known);

/// What the broker needs to know of a request whose facts are complete.
dispatch::request_info to_request_info(const classification& found,
                                       const entry_request::facts& known);

}  // namespace dewbeam::entry
