/// \file
/// Stand-in of one rank's engine in a lock-step group: its expert map and the orders about it.
#pragma once

#include <vector>

#include "dewbeam/group_map"

namespace dewbeam::fake_engine {

/// A map that the engine was told, and from which step on it was used.
struct known_map {
    group_map::map_id m_map;
    group_map::map_content m_content;
    std::optional<group_map::step_number> m_first_step;  ///< none: not used so far
};

/// The state of one rank's engine, and how it behaves.
struct rank_engine {
    bool m_checks_fencing = true;
    time_span m_stage_time = std::chrono::milliseconds(15);  ///< to fetch a map's weights
    group_map::engine_state m_state;
    fencing_number m_highest;
    group_map::map_id m_staging;
    time_point m_staged_at = no_deadline;
    std::vector<known_map> m_known;  ///< in the order in which they came
};

/// Carries out an order, or refuses it.
group_map::engine_answer obey(rank_engine& engine, const group_map::engine_order& order,
                              time_point now);

/// Begins the next step, switching first where it is time; false where the rank must hold.
bool begin_step(rank_engine& engine);

/// The content of a map that it was told; empty: it was not.
std::string content_of(const rank_engine& engine, const group_map::map_id& map);

/// Time passed: weights may have arrived.
void tick(rank_engine& engine, time_point now);

}  // namespace dewbeam::fake_engine
