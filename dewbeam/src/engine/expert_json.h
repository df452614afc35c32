/// \file
/// JSON of expert maps and of what an engine says of its experts.
///
/// The content of a map, as orders carry it:
///
/// \code{.json}
/// {"ranks": 2, "slots_per_rank": 2, "experts": 3, "layers": [[0, 1, 2, 0]]}
/// \endcode
///
/// The answer to `GET /experts`; the counts of all layers stand one after the other:
///
/// \code{.json}
/// {"map_version": 0, "map": "", "layers": 1, "experts": 3, "slots_per_rank": 2,
///  "counts": [900, 70, 30], "steps": 10, "step_us": 5000}
/// \endcode
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "dewbeam/base"
#include "dewbeam/experts"

namespace dewbeam::engine {

/// The content of a map.
std::string map_to_json(const experts::expert_map& map);

/// Reads the content of a map; an incomplete map is an error.
absl::StatusOr<experts::expert_map> map_from_json(const std::string& body);

/// What an engine says of its experts.
struct expert_report {
    std::uint64_t m_map_version = 0;  ///< number of the settled map; 0: the one it starts with
    std::string m_map;                ///< content of the settled map; empty: the one it starts with
    experts::group_shape m_shape;     ///< without the ranks, which an engine does not say
    experts::group_counts m_counts;   ///< tokens of the whole group since the engine's start
    std::uint64_t m_steps = 0;        ///< since the engine's start
    time_span m_step_time{};          ///< of this rank
};

/// The body of a report.
std::string report_to_json(const expert_report& report);

/// Reads a report; sizes that don't fit are an error.
absl::StatusOr<expert_report> report_from_json(const std::string& body);

}  // namespace dewbeam::engine
