#include "dewbeam/src/overload/ranking.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::overload {

namespace {

/// Value of an answer to its caller: a part that doesn't depend on its size, and the rest in
/// proportion to it.
constexpr double fixed_value = 0.3;
/// Credit is bounded by this many heads: a floor is a share of the present, not a debt that later
/// keeps out urgent work.
constexpr double max_credit_heads = 2.0;
constexpr double least_work = 1e-6;
constexpr double max_floor = 0.5;

/// Whether `a` goes before `b`, both without credit.
bool goes_before(const ranking_options& options, const candidate& a, const candidate& b)
{
    const bool may_a_wait = a.m_standing == standing::late;
    const bool may_b_wait = b.m_standing == standing::late;
    if (may_a_wait != may_b_wait) {
        return may_b_wait;
    }
    const double value_a = value_of(options, a);
    const double value_b = value_of(options, b);
    return value_a != value_b ? value_a > value_b : a.m_deadline < b.m_deadline;
}

}  // namespace

std::uint32_t combined_priority(std::uint32_t in_force, std::uint32_t of_route)
{
    constexpr std::uint32_t route_levels = 10;
    constexpr std::uint32_t max_in_force = 1000;
    return std::min(in_force, max_in_force) * route_levels + std::min(of_route, route_levels - 1);
}

double value_of(const ranking_options& options, const candidate& subject)
{
    const double ratio = std::max(1.0, options.m_priority_ratio);
    const double weight = std::pow(ratio, -static_cast<double>(subject.m_priority));
    const double share = subject.m_standing == standing::in_time ? 1.0 : options.m_late_share;
    const double relative = std::max(subject.m_relative_work, least_work);
    // Bounded so that size never outweighs the difference between two priorities.
    const double bound = std::sqrt(ratio);
    const double by_size =
        std::clamp(fixed_value / relative + 1.0 - fixed_value, 1.0 / bound, bound);
    return weight * share * by_size;
}

bool is_floor_due(const floor_credits& credits, const candidate& subject)
{
    const auto credit = credits.find(subject.m_priority);
    return credit != credits.end() && credit->second > 0.0 && credit->second >= subject.m_work;
}

std::size_t choose(const ranking_options& options, const floor_credits& credits,
                   const std::vector<candidate>& candidates)
{
    require(!candidates.empty(), "choose needs at least one candidate");
    std::size_t best = 0;
    std::size_t best_due = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& subject = candidates[i];
        if (goes_before(options, subject, candidates[best])) {
            best = i;
        }
        if (is_floor_due(credits, subject) &&
            (best_due == candidates.size() ||
             goes_before(options, subject, candidates[best_due]))) {
            best_due = i;
        }
    }
    return best_due < candidates.size() ? best_due : best;
}

void note_served(const ranking_options& options, floor_credits& credits,
                 const std::vector<candidate>& candidates, std::size_t served)
{
    const auto& subject = candidates[served];
    const double floor = std::clamp(options.m_floor, 0.0, max_floor);
    // The largest head of each lower priority; one floor is shared by all of them.
    std::map<std::uint32_t, double> lower;
    for (const auto& other : candidates) {
        if (other.m_priority > subject.m_priority) {
            auto& largest = lower[other.m_priority];
            largest = std::max(largest, other.m_work);
        }
    }
    for (const auto& [priority, work] : lower) {
        const double earned =
            subject.m_work * floor / (1.0 - floor) / static_cast<double>(lower.size());
        const double most = max_credit_heads * std::max(work, earned);
        auto& credit = credits[priority];
        credit = std::min(credit + earned, most);
    }
    const auto own = credits.find(subject.m_priority);
    if (own != credits.end()) {
        own->second = std::max(0.0, own->second - subject.m_work);
    }
}

}  // namespace dewbeam::overload
