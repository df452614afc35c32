/// \file
/// The entry's own pages: health, readiness, metrics, status, burn, models, and the lift of a
/// quarantine.
#pragma once

#include <optional>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Answers a request for one of the pages; nothing where it is a call.
std::optional<http::response> answer_page(entry_state& state, const http::request& request);

}  // namespace dewbeam::entry
