/// \file
/// Interface of a rank's engine on one kind of installation: reports, counts and orders.
///
/// Such an engine prepares a map, is armed with it for a step, holds at a step and goes on. It does
/// not check its state against the other ranks. The rank agent decides; a rank format only
/// translates.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/experts"
#include "dewbeam/group_map"
#include "dewbeam/http"

namespace dewbeam::ranks {

/// Experts by layer and rank. Each expert is on at least one rank and may be on several.
using placement = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// Converts a placement to JSON, by layer and rank, and back.
std::string to_json(const placement& from);
absl::StatusOr<placement> placement_from_json(const std::string& text);

/// One order to a rank's engine.
struct rank_order {
    enum class kind {
        prepare,  ///< fetch the experts that the map needs
        arm,      ///< switch to the prepared map at the start of a step
        disarm,   ///< cancel `arm`
        hold,     ///< the group starts no step from the given one on ...
        go,       ///< ... until this rank receives `go`
    };
    kind m_kind = kind::go;
    fencing_number m_fencing;
    std::uint64_t m_formation = 0;           ///< of the group that the order is for
    std::uint64_t m_map = 0;                 ///< number; of `prepare`, `arm`, `disarm`
    group_map::step_number m_step;           ///< of `arm`, `hold`, `go`
    const placement* m_placement = nullptr;  ///< of `prepare`
};

/// Name of an order for logs.
const char* to_string(rank_order::kind value);

/// Result of an order.
enum class order_result {
    done,     ///< started, or done before
    refused,  ///< not valid in the engine's state
    fenced,   ///< a higher fencing number was seen
    unclear,  ///< none of these
};

/// A map and the step from which it will be used.
struct armed_map {
    std::uint64_t m_map = 0;
    group_map::step_number m_step;
};

/// State of an engine, as it reports it.
struct rank_report {
    std::string m_group;
    std::uint64_t m_formation = 0;  ///< number of the group's formation
    rank_id m_rank;
    bool m_is_open = false;  ///< the group is running
    std::uint32_t m_ranks = 0;
    group_map::step_number m_step;            ///< last step started
    std::uint64_t m_map = 0;                  ///< number of the map in use
    std::optional<std::uint64_t> m_prepared;  ///< number of the prepared map
    std::optional<armed_map> m_armed;
    std::optional<group_map::step_number> m_held;
    double m_pace = 1.0;  ///< above 1: this rank is slow
};

/// How often this rank's requests chose each expert since its start.
struct rank_counts {
    std::uint64_t m_formation = 0;
    std::uint64_t m_step = 0;
    std::vector<std::uint64_t> m_counts;  ///< all experts of a layer, layer by layer
};

/// The experts of one rank.
struct rank_holding {
    std::uint64_t m_formation = 0;
    std::uint64_t m_map = 0;
    std::vector<std::vector<std::uint32_t>> m_held;  ///< by layer
};

/// Properties of a group's engines, from the operator's configuration.
struct engine_facts {
    std::uint32_t m_layers = 0;
    std::uint32_t m_experts = 0;   ///< per layer
    std::uint32_t m_places = 0;    ///< expert slots per rank and layer
    std::uint32_t m_most_new = 0;  ///< experts of a layer that a rank may fetch at once
    byte_count m_expert_size;
    byte_count m_fetch_rate;  ///< bytes per second, of each rank
    experts::step_timing m_timing;
    /// Streams of different priorities share the engines, so that gateways fill them up to the
    /// longest pause that streams may have.
    bool m_has_priorities = false;
};

/// The translation. All functions are pure and thread-safe.
struct rank_format {
    http::request (*m_report_call)() = nullptr;
    absl::StatusOr<rank_report> (*m_read_report)(std::string_view body) = nullptr;
    http::request (*m_counts_call)() = nullptr;
    absl::StatusOr<rank_counts> (*m_read_counts)(std::string_view body) = nullptr;
    http::request (*m_holding_call)() = nullptr;
    absl::StatusOr<rank_holding> (*m_read_holding)(std::string_view body) = nullptr;
    http::request (*m_order_call)(const rank_order& order) = nullptr;
    order_result (*m_read_order_result)(int status) = nullptr;
    /// Properties of a service's engines; an error if the configuration has none.
    absl::StatusOr<engine_facts> (*m_read_facts)(std::string_view configuration,
                                                 const std::string& service) = nullptr;
};

}  // namespace dewbeam::ranks
