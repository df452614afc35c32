/// \file
/// The number of gateways among which a rate is shared without a coordinator.
///
/// Too low a number would let all gateways together exceed the rate. A registry that has just
/// started has heard of few gateways, so the highest recent number counts.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::slow_start {

/// Number that a gateway assumes until the registries have had time to hear of all gateways.
inline constexpr std::uint32_t assumed_gateways = 100;

/// How long a gateway assumes it after it first heard a registry: several watch intervals of the
/// other gateways.
inline constexpr time_span settling_time = std::chrono::seconds(3);

/// How long gateways that left stay in the number. Longer than a restart of all processes.
inline constexpr time_span default_retention = std::chrono::seconds(60);

/// The highest number of gateways heard recently.
struct gateway_count {
    std::uint32_t m_highest = 0;
    time_point m_highest_until{};  ///< a lower number replaces it from then on
};

/// Records the number that a registry reported.
void note_count(gateway_count& state, std::uint32_t gateways, time_point now,
                time_span retention = default_retention);

/// Takes over the number that another process knows, and for how much longer it does. Only a
/// process that counts gateways renews a number, so that one passed to and fro still expires.
void merge_count(gateway_count& state, std::uint32_t gateways, time_span valid_for, time_point now);

/// For how much longer the number is known.
time_span validity(const gateway_count& state, time_point now);

/// The number to share among, for a gateway that has heard registries since
/// `heard_since`.
std::uint32_t sharing_gateways(const gateway_count& state, time_point heard_since, time_point now);

}  // namespace dewbeam::slow_start
