#include "bench/planning_common/expert_traffic.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace dewbeam::bench {

namespace {

constexpr double popularity_spread = 0.8;      // standard deviation of the log of popularity
constexpr double slow_correlation = 4 * 3600;  // seconds until half of the popularity is new
constexpr double brisk_correlation = 1200;
constexpr std::int64_t sudden_period = 300;    // seconds
constexpr std::int64_t day = 3600;             // seconds: a day is run 24 times faster
constexpr std::int64_t adversary_period = 75;  // seconds

double normal(random_engine& random)
{
    const double radius = std::sqrt(-2 * std::log(1 - uniform_unit(random)));
    return radius * std::cos(2 * std::numbers::pi * uniform_unit(random));
}

experts::layer_counts draw_pattern(random_engine& random, std::uint32_t experts)
{
    experts::layer_counts weights(experts);
    for (auto& weight : weights) {
        weight = popularity_spread * normal(random);
    }
    return weights;
}

/// Slots for each expert: the next one always to the greatest load per slot.
std::vector<std::uint32_t> copies_for(const experts::group_shape& shape,
                                      const experts::layer_counts& counts)
{
    std::vector<std::uint32_t> copies(shape.m_experts, 1);
    for (auto slot = shape.m_experts; slot < experts::slots_per_layer(shape); ++slot) {
        std::uint32_t hottest = 0;
        for (std::uint32_t expert = 1; expert < shape.m_experts; ++expert) {
            if (counts[expert] * copies[hottest] > counts[hottest] * copies[expert]) {
                hottest = expert;
            }
        }
        ++copies[hottest];
    }
    return copies;
}

experts::layer_map pack(const experts::group_shape& shape, const experts::layer_counts& counts)
{
    const auto copies = copies_for(shape, counts);
    std::vector<std::uint32_t> order;
    for (std::uint32_t expert = 0; expert < shape.m_experts; ++expert) {
        order.insert(order.end(), copies[expert], expert);
    }
    const auto share = [&](std::uint32_t expert) { return counts[expert] / copies[expert]; };
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return share(a) > share(b); });
    std::vector<double> loads(shape.m_ranks, 0);
    std::vector<std::uint32_t> used(shape.m_ranks, 0);
    experts::layer_map map(experts::slots_per_layer(shape));
    for (const auto expert : order) {
        std::uint32_t best = shape.m_ranks;
        for (std::uint32_t rank = 0; rank < shape.m_ranks; ++rank) {
            const bool is_free = used[rank] < shape.m_slots_per_rank;
            if (is_free && (best == shape.m_ranks || loads[rank] < loads[best])) {
                best = rank;
            }
        }
        map[best * shape.m_slots_per_rank + used[best]] = experts::expert_id(expert);
        ++used[best];
        loads[best] += share(expert);
    }
    return map;
}

}  // namespace

const char* to_string(drift kind)
{
    switch (kind) {
        case drift::slow:
            return "slow";
        case drift::brisk:
            return "brisk";
        case drift::sudden:
            return "sudden";
        case drift::day_night:
            return "day_night";
        case drift::adversarial:
            break;
    }
    return "adversarial";
}

expert_traffic::expert_traffic(const experts::group_shape& shape, drift kind,
                               double tokens_per_rank, std::uint64_t seed)
    : m_shape(shape), m_kind(kind), m_tokens_per_rank(tokens_per_rank), m_random(seed)
{
    for (std::uint32_t layer = 0; layer < shape.m_layers; ++layer) {
        m_first.push_back(draw_pattern(m_random, shape.m_experts));
        m_second.push_back(draw_pattern(m_random, shape.m_experts));
    }
    m_current = m_first;
}

void expert_traffic::shuffle_some(experts::layer_counts& weights)
{
    for (std::size_t i = 0; i < weights.size() / 6; ++i) {
        std::swap(weights[uniform_below(m_random, weights.size())],
                  weights[uniform_below(m_random, weights.size())]);
    }
}

void expert_traffic::move_on(std::int64_t second)
{
    for (std::size_t layer = 0; layer < m_current.size(); ++layer) {
        auto& weights = m_current[layer];
        if (m_kind == drift::slow || m_kind == drift::brisk) {
            const double keep =
                std::exp(-1 / (m_kind == drift::slow ? slow_correlation : brisk_correlation));
            for (auto& weight : weights) {
                weight = keep * weight +
                         popularity_spread * std::sqrt(1 - keep * keep) * normal(m_random);
            }
        }
        if (m_kind == drift::sudden && second > 0 && second % sudden_period == 0) {
            shuffle_some(weights);
        }
        if (m_kind == drift::day_night) {
            const double phase = 2 * std::numbers::pi * static_cast<double>(second) / day;
            const double night = (1 - std::cos(phase)) / 2;
            for (std::size_t i = 0; i < weights.size(); ++i) {
                weights[i] = std::log((1 - night) * std::exp(m_first[layer][i]) +
                                      night * std::exp(m_second[layer][i]));
            }
        }
        if (m_kind == drift::adversarial) {
            const bool is_other = second / adversary_period % 2 == 1;
            weights = is_other ? m_second[layer] : m_first[layer];
        }
    }
}

experts::group_counts expert_traffic::next(std::int64_t second, double steps)
{
    move_on(second);
    experts::group_counts counts = m_current;
    for (auto& layer : counts) {
        double total = 0;
        for (auto& weight : layer) {
            weight = std::exp(weight);
            total += weight;
        }
        for (auto& weight : layer) {
            const double mean = weight / total * m_tokens_per_rank * m_shape.m_ranks;
            weight = std::max(0.0, mean + std::sqrt(mean / steps) * normal(m_random));
        }
    }
    return counts;
}

experts::expert_map recompute(const experts::group_shape& shape,
                              const experts::group_counts& counts)
{
    experts::expert_map map{shape, {}};
    for (const auto& layer : counts) {
        map.m_layers.push_back(pack(shape, layer));
    }
    return map;
}

}  // namespace dewbeam::bench
