/// \file
/// Finds the work selector of a request and applies it.
///
/// The functions are pure: their results depend only on their arguments.
#pragma once

#include <string>
#include <variant>

#include "dewbeam/caller"
#include "dewbeam/configuration"
#include "dewbeam/dispatch"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// The selector and the workspace of a request. Both point into the configuration document.
struct classification {
    const configuration::work_selector* m_rule = nullptr;   ///< never null in a result
    const configuration::workspace* m_workspace = nullptr;  ///< null if there is none
};

/// Finds the selector and the workspace of a call, or returns the error with which it is refused.
/// A bearer token determines the workspace. Without a token the workspace name that the caller
/// sends determines it, provided that no token is required.
std::variant<classification, caller::error> classify(const configuration::document& rules,
                                                     const caller::call& wanted);

/// Writes the results of the classification into the request's facts: among them the pool, the
/// deadline, and the model in the call and in the body that is sent to the upstream.
void apply(const classification& found, configuration_version version, entry_request::facts& known);

/// Whether the request must claim its idempotency key before it may run, and has no claim yet.
bool needs_claim(const classification& found, const entry_request::facts& known);

/// What the broker needs to know about a request whose facts are complete.
dispatch::request_info to_request_info(const classification& found,
                                       const entry_request::facts& known);

}  // namespace dewbeam::entry
