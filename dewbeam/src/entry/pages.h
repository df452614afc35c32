/// \file
/// The entry's own HTTP pages: health, readiness, metrics, status, burn, models, and lifting a
/// quarantine.
#pragma once

#include <optional>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// The response to a request for one of the pages, or nothing if it is for another path.
std::optional<http::response> answer_page(entry_state& state, const http::request& request);

}  // namespace dewbeam::entry
