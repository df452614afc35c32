/// \file
/// Counts of good and bad outcomes for service-level burn, in memory of fixed size.
///
/// An entry records each finished request under its work selector and workspace class. The counts
/// of several entries merge into those of the deployment, so `now` is the time since the Unix
/// epoch here: buckets of different hosts stand side by side.
///
/// \code
/// burn::state counts;
/// burn::record(counts, {"alerts", "gold"}, rule.m_target, burn::outcome::served, latency, now);
/// \endcode
#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"

namespace dewbeam::burn {

/// Whose budget: a work selector's, for one class of workspaces.
struct series_key {
    std::string m_selector;
    std::string m_workspace_class;

    friend auto operator<=>(const series_key&, const series_key&) = default;
};

/// How a request counts.
enum class outcome {
    served,    ///< the caller has its whole answer
    failed,    ///< refused for overload, not run, unknown or broken off
    excluded,  ///< the caller's own mistake or its cancellation: not counted
};

/// Outcomes of one span of time.
struct bucket {
    std::int64_t m_number = -1;  ///< spans since the Unix epoch; -1: never used
    std::uint64_t m_served = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_slow = 0;  ///< of the served: past the latency limit

    friend bool operator==(const bucket&, const bucket&) = default;
};

/// Width and number of the buckets of one ring.
struct ring_shape {
    time_span m_width = time_span::zero();
    std::size_t m_count = 0;
};

/// The rings of each series, the finest first: 1 hour, 6 hours, 3 days and 30 days.
inline constexpr std::array<ring_shape, 4> ring_shapes{{
    {std::chrono::minutes(1), 60},
    {std::chrono::minutes(5), 72},
    {std::chrono::hours(1), 72},
    {std::chrono::hours(6), 120},
}};

/// A bucket stands at its number modulo the ring's size.
using ring = std::vector<bucket>;

/// The counts under one key.
struct series {
    series_key m_key;
    configuration::service_target m_target;  ///< as of the newest record
    time_point m_recorded_at{};              ///< of the newest record
    std::array<ring, ring_shapes.size()> m_rings;

    friend bool operator==(const series&, const series&) = default;
};

/// Series sorted by key.
struct state {
    std::vector<series> m_series;

    friend bool operator==(const state&, const state&) = default;
};

/// Series that one state holds at most, about 10 KB each; further keys count under `other_key`.
inline constexpr std::size_t most_series = 256;

/// Where keys beyond `most_series` are counted.
series_key other_key();

/// The class of a workspace: the value of its label `tier`, or `default`.
std::string workspace_class(const configuration::workspace* owner);

/// Counts one finished request. `latency` is the time to the first token or byte; only served
/// requests have one.
void record(state& counts, const series_key& key, const configuration::service_target& target,
            outcome result, time_span latency, time_point now);

/// Adds the counts of another entry; the order of merges makes no difference below
/// `most_series` keys.
void merge(state& counts, const state& other);

/// Drops the series without a record in the last 30 days.
void forget_old(state& counts, time_point now);

/// The JSON form, for the entry's disk and for `GET /v1/burn`.
nlohmann::json encode(const state& counts);

/// Reads the JSON form; an error names what is wrong.
absl::StatusOr<state> decode(const nlohmann::json& source);

}  // namespace dewbeam::burn
