#include "dewbeam/src/experts/rank_book.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

/// Samples that lie further apart don't belong to one moment; the ranks of a group of 63 tell
/// theirs within 1.3 s.
constexpr time_span longest_spread = std::chrono::milliseconds(3000);
constexpr double least_pace = 0.1;

bool fits(const group_shape& shape, const rank_sample& sample)
{
    const auto is_known = [&](std::uint32_t expert) { return expert < shape.m_experts; };
    const auto fits_rank = [&](const std::vector<std::uint32_t>& held) {
        return held.size() <= shape.m_slots_per_rank &&
               std::all_of(held.begin(), held.end(), is_known);
    };
    return sample.m_counts.size() == std::size_t{shape.m_layers} * shape.m_experts &&
           sample.m_held.size() == shape.m_layers &&
           std::all_of(sample.m_held.begin(), sample.m_held.end(), fits_rank);
}

bool is_whole(const rank_book& book)
{
    if (book.m_latest.empty() || !book.m_latest.front()) {
        return false;
    }
    const auto& first = *book.m_latest.front();
    auto earliest = first.m_at;
    auto latest = first.m_at;
    for (const auto& sample : book.m_latest) {
        if (!sample || sample->m_formation != first.m_formation) {
            return false;
        }
        earliest = std::min(earliest, sample->m_at);
        latest = std::max(latest, sample->m_at);
    }
    return latest - earliest <= longest_spread;
}

bool is_continuation(const rank_book& book)
{
    for (std::size_t rank = 0; rank < book.m_latest.size(); ++rank) {
        const auto& before = book.m_observed[rank];
        const auto& now = *book.m_latest[rank];
        if (!before || before->m_formation != now.m_formation) {
            return false;
        }
    }
    return true;
}

bool has_news(const rank_book& book)
{
    for (std::size_t rank = 0; rank < book.m_latest.size(); ++rank) {
        if (book.m_latest[rank]->m_at <= book.m_observed[rank]->m_at) {
            return false;
        }
    }
    return true;
}

/// Counts of all ranks between the two moments.
group_counts sum_of_differences(const rank_book& book)
{
    const auto& shape = book.m_shape;
    group_counts result(shape.m_layers, layer_counts(shape.m_experts, 0.0));
    for (std::size_t rank = 0; rank < book.m_latest.size(); ++rank) {
        const auto& now = book.m_latest[rank]->m_counts;
        const auto& before = book.m_observed[rank]->m_counts;
        for (std::size_t i = 0; i < now.size(); ++i) {
            const auto difference = now[i] - std::min(now[i], before[i]);
            result[i / shape.m_experts][i % shape.m_experts] += static_cast<double>(difference);
        }
    }
    return result;
}

bool has_empty_places(const rank_book& book)
{
    return std::any_of(book.m_latest.begin(), book.m_latest.end(), [&](const auto& sample) {
        return std::any_of(sample->m_held.begin(), sample->m_held.end(), [&](const auto& held) {
            return held.size() < book.m_shape.m_slots_per_rank;
        });
    });
}

}  // namespace

rank_book make_rank_book(const group_shape& shape)
{
    rank_book result;
    result.m_shape = shape;
    result.m_latest.resize(shape.m_ranks);
    result.m_observed.resize(shape.m_ranks);
    return result;
}

bool note(rank_book& book, rank_id rank, rank_sample sample)
{
    if (rank.value() >= book.m_latest.size() || !fits(book.m_shape, sample)) {
        return false;
    }
    book.m_latest[rank.value()] = std::move(sample);
    return true;
}

std::optional<std::uint64_t> map_number(const rank_book& book)
{
    if (!is_whole(book)) {
        return std::nullopt;
    }
    const auto number = book.m_latest.front()->m_map;
    const bool is_same = std::all_of(book.m_latest.begin(), book.m_latest.end(),
                                     [&](const auto& sample) { return sample->m_map == number; });
    return is_same ? std::optional(number) : std::nullopt;
}

std::optional<expert_map> map_in_force(const rank_book& book)
{
    if (!map_number(book)) {
        return std::nullopt;
    }
    const expert_id nothing(book.m_shape.m_experts);
    expert_map result;
    result.m_shape = book.m_shape;
    result.m_shape.m_experts += has_empty_places(book) ? 1 : 0;
    result.m_layers.resize(book.m_shape.m_layers);
    for (const auto& sample : book.m_latest) {
        for (std::size_t layer = 0; layer < result.m_layers.size(); ++layer) {
            const auto& held = sample->m_held[layer];
            for (std::size_t place = 0; place < book.m_shape.m_slots_per_rank; ++place) {
                result.m_layers[layer].push_back(place < held.size() ? expert_id(held[place])
                                                                     : nothing);
            }
        }
    }
    // A layer without an empty place beside one that has some can't be put like this.
    return is_complete(result) ? std::optional(std::move(result)) : std::nullopt;
}

time_point oldest_sample(const rank_book& book)
{
    auto result = no_deadline;
    for (const auto& sample : book.m_latest) {
        if (!sample) {
            return no_deadline;
        }
        result = std::min(result, sample->m_at);
    }
    return result;
}

std::optional<observation> take_observation(rank_book& book)
{
    if (!is_whole(book)) {
        return std::nullopt;
    }
    if (!is_continuation(book)) {
        book.m_observed = book.m_latest;
        return std::nullopt;
    }
    const auto& now = *book.m_latest.front();
    const auto& before = *book.m_observed.front();
    if (!has_news(book) || now.m_step <= before.m_step) {
        return std::nullopt;
    }
    observation result;
    result.m_steps = static_cast<double>(now.m_step - before.m_step);
    result.m_span = now.m_at - before.m_at;
    result.m_is_of_one_map = now.m_map == before.m_map;
    result.m_tokens_per_step = sum_of_differences(book);
    for (auto& layer : result.m_tokens_per_step) {
        for (auto& count : layer) {
            count /= result.m_steps;
        }
        if (has_empty_places(book)) {
            layer.push_back(0.0);
        }
    }
    for (const auto& sample : book.m_latest) {
        result.m_speeds.push_back(1.0 / std::max(sample->m_pace, least_pace));
    }
    book.m_observed = book.m_latest;
    return result;
}

std::vector<std::vector<std::vector<std::uint32_t>>> to_lists(const expert_map& map,
                                                              std::uint32_t experts)
{
    const auto& shape = map.m_shape;
    std::vector<std::vector<std::vector<std::uint32_t>>> result(
        map.m_layers.size(), std::vector<std::vector<std::uint32_t>>(shape.m_ranks));
    for (std::size_t layer = 0; layer < map.m_layers.size(); ++layer) {
        for (std::size_t slot = 0; slot < map.m_layers[layer].size(); ++slot) {
            const auto expert = map.m_layers[layer][slot].value();
            auto& held = result[layer][slot / shape.m_slots_per_rank];
            const bool is_there = std::find(held.begin(), held.end(), expert) != held.end();
            if (expert < experts && !is_there) {
                held.push_back(expert);
            }
        }
    }
    return result;
}

}  // namespace dewbeam::experts
