/// \file
/// Drifting popularity of experts, with fixed seeds.
#pragma once

#include <string>

#include "dewbeam/experts"

namespace dewbeam::bench {

/// How popularity drifts.
enum class drift { slow, brisk, sudden, day_night, adversarial };

/// Name in the figures.
const char* to_string(drift kind);

/// Popularity of all experts over virtual time.
class expert_traffic {
public:
    expert_traffic(const experts::group_shape& shape, drift kind, double tokens_per_rank,
                   std::uint64_t seed);

    /// Tokens per step counted in the second that ends at `second`; call with rising seconds.
    experts::group_counts next(std::int64_t second, double steps);

private:
    void move_on(std::int64_t second);
    void shuffle_some(experts::layer_counts& weights);

    experts::group_shape m_shape;
    drift m_kind;
    double m_tokens_per_rank;
    random_engine m_random;
    std::vector<experts::layer_counts> m_first;   ///< log of popularity
    std::vector<experts::layer_counts> m_second;  ///< the other pattern of those that swing
    std::vector<experts::layer_counts> m_current;
};

/// A map made from nothing: copies by greatest load, then packing by longest processing time.
experts::expert_map recompute(const experts::group_shape& shape,
                              const experts::group_counts& counts);

}  // namespace dewbeam::bench
