#include "dewbeam/src/gateway/lost_attempt_tracker.h"

#include <algorithm>
#include <iterator>

namespace dewbeam::gateway {

namespace {

constexpr std::size_t max_of_one_life = 256;

/// Removes and returns the losses that match.
template <class Condition>
std::vector<lost_attempt> take_if(std::vector<lost_attempt>& losses, const Condition& matches)
{
    const auto taken = std::stable_partition(
        losses.begin(), losses.end(), [&](const lost_attempt& loss) { return !matches(loss); });
    std::vector<lost_attempt> result(std::make_move_iterator(taken),
                                     std::make_move_iterator(losses.end()));
    losses.erase(taken, losses.end());
    return result;
}

}  // namespace

void note_loss(lost_attempt_tracker& watch, const upstream_incarnation& where,
               const lost_attempt& loss)
{
    auto& losses = watch.m_losses[where];
    const bool is_known = std::any_of(losses.begin(), losses.end(), [&](const lost_attempt& known) {
        return known.m_content == loss.m_content;
    });
    if (!is_known && losses.size() < max_of_one_life) {
        losses.push_back(loss);
    }
}

std::vector<lost_attempt> take_losses(lost_attempt_tracker& watch,
                                      const upstream_incarnation& where)
{
    const auto place = watch.m_losses.find(where);
    if (place == watch.m_losses.end()) {
        return {};
    }
    auto result = std::move(place->second);
    watch.m_losses.erase(place);
    return result;
}

std::vector<lost_attempt> forget_losses(lost_attempt_tracker& watch,
                                        const upstream_incarnation& where, time_point seen_at)
{
    const auto place = watch.m_losses.find(where);
    if (place == watch.m_losses.end()) {
        return {};
    }
    auto& losses = place->second;
    auto result = take_if(losses, [&](const lost_attempt& loss) {
        return std::max(loss.m_lost_at, loss.m_outlived_at) < seen_at;
    });
    if (losses.empty()) {
        watch.m_losses.erase(place);
    }
    return result;
}

void forget_upstream(lost_attempt_tracker& watch, const upstream_id& name)
{
    std::erase_if(watch.m_losses, [&](const auto& item) { return item.first.m_upstream == name; });
}

std::vector<upstream_incarnation> earlier_incarnations(const lost_attempt_tracker& watch,
                                                       const upstream_incarnation& current)
{
    std::vector<upstream_incarnation> result;
    for (const auto& [process, losses] : watch.m_losses) {
        if (process.m_upstream == current.m_upstream && process != current) {
            result.push_back(process);
        }
    }
    return result;
}

std::vector<lost_attempt> expire(lost_attempt_tracker& watch, time_span kept_for, time_point now)
{
    std::vector<lost_attempt> result;
    for (auto place = watch.m_losses.begin(); place != watch.m_losses.end();) {
        auto old = take_if(place->second, [&](const lost_attempt& loss) {
            return loss.m_lost_at + kept_for <= now;
        });
        result.insert(result.end(), std::make_move_iterator(old.begin()),
                      std::make_move_iterator(old.end()));
        place = place->second.empty() ? watch.m_losses.erase(place) : std::next(place);
    }
    return result;
}

}  // namespace dewbeam::gateway
