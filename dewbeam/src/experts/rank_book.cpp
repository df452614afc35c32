#include "dewbeam/src/experts/rank_book.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

/// States that lie further apart don't belong to one moment.
constexpr time_span longest_spread = std::chrono::milliseconds(3000);
/// An observation waits no longer than this for the last ranks of a group, several times the time
/// between two tellings ...
constexpr time_span longest_wait_for_last = std::chrono::milliseconds(600);
/// ... and does without this part of them at most.
constexpr std::size_t most_silent_divisor = 4;
constexpr double least_pace = 0.1;

bool fits(const group_shape& shape, const rank_state& state)
{
    const auto is_known = [&](std::uint32_t expert) { return expert < shape.m_experts; };
    const auto fits_rank = [&](const std::vector<std::uint32_t>& held) {
        return held.size() <= shape.m_slots_per_rank &&
               std::all_of(held.begin(), held.end(), is_known);
    };
    return state.m_held.size() == shape.m_layers &&
           std::all_of(state.m_held.begin(), state.m_held.end(), fits_rank);
}

bool fits(const group_shape& shape, const count_sample& sample)
{
    return sample.m_counts.size() == std::size_t{shape.m_layers} * shape.m_experts &&
           std::all_of(sample.m_ranks.begin(), sample.m_ranks.end(), [&](const auto& item) {
               return item.first.value() < shape.m_ranks && fits(shape, item.second);
           });
}

bool is_whole(const rank_book& book)
{
    auto earliest = no_deadline;
    auto latest = time_point{};
    for (const auto& state : book.m_latest) {
        if (!state) {
            return false;
        }
        earliest = std::min(earliest, state->m_at);
        latest = std::max(latest, state->m_at);
    }
    return latest - earliest <= longest_spread;
}

/// Whether enough ranks told something for the others to be left out.
bool is_ready(const rank_book& book, time_point now)
{
    const auto silent = silent_ranks(book).size();
    return silent == 0 || (silent <= book.m_shape.m_ranks / most_silent_divisor &&
                           now - book.m_observed_at >= longest_wait_for_last);
}

/// The rank by whose steps time is measured: the first that told something now and before.
std::optional<std::size_t> find_reference(const rank_book& book)
{
    for (std::size_t rank = 0; rank < book.m_latest.size(); ++rank) {
        const auto& before = book.m_observed[rank];
        if (book.m_has_news[rank] && before && book.m_latest[rank]->m_step > before->m_step) {
            return rank;
        }
    }
    return std::nullopt;
}

bool has_empty_places(const rank_book& book)
{
    return std::any_of(book.m_latest.begin(), book.m_latest.end(), [&](const auto& state) {
        return state &&
               std::any_of(state->m_held.begin(), state->m_held.end(), [&](const auto& held) {
                   return held.size() < book.m_shape.m_slots_per_rank;
               });
    });
}

/// Choices of each expert in a step of the whole group.
group_counts counts_per_step(const rank_book& book)
{
    const auto& shape = book.m_shape;
    const double scale = static_cast<double>(shape.m_ranks) / static_cast<double>(book.m_steps);
    group_counts result(shape.m_layers, layer_counts(shape.m_experts, 0.0));
    for (std::size_t i = 0; i < book.m_counts.size(); ++i) {
        result[i / shape.m_experts][i % shape.m_experts] =
            scale * static_cast<double>(book.m_counts[i]);
    }
    return result;
}

/// What comes from now on belongs to the next observation.
void begin_span(rank_book& book, time_point now)
{
    for (std::size_t rank = 0; rank < book.m_latest.size(); ++rank) {
        if (book.m_has_news[rank]) {
            auto mark = *book.m_latest[rank];
            mark.m_held.clear();
            book.m_observed[rank] = std::move(mark);
        }
    }
    book.m_has_news.assign(book.m_shape.m_ranks, false);
    book.m_counts.assign(book.m_counts.size(), 0);
    book.m_steps = 0;
    book.m_observed_at = now;
}

}  // namespace

rank_book make_rank_book(const group_shape& shape)
{
    rank_book result;
    result.m_shape = shape;
    result.m_latest.resize(shape.m_ranks);
    result.m_observed.resize(shape.m_ranks);
    result.m_has_news.resize(shape.m_ranks);
    result.m_counts.resize(std::size_t{shape.m_layers} * shape.m_experts);
    return result;
}

bool note(rank_book& book, count_sample sample, time_point now)
{
    if (!fits(book.m_shape, sample)) {
        return false;
    }
    if (book.m_formation && sample.m_formation < *book.m_formation) {
        return true;  // told before the group formed anew
    }
    if (sample.m_formation != book.m_formation) {
        book = make_rank_book(book.m_shape);
        book.m_formation = sample.m_formation;
        book.m_observed_at = now;
    }
    for (std::size_t i = 0; i < sample.m_counts.size(); ++i) {
        book.m_counts[i] += sample.m_counts[i];
    }
    book.m_steps += sample.m_steps;
    for (auto& [rank, state] : sample.m_ranks) {
        book.m_latest[rank.value()] = std::move(state);
        book.m_has_news[rank.value()] = true;
    }
    return true;
}

std::optional<std::uint64_t> map_number(const rank_book& book)
{
    if (!is_whole(book)) {
        return std::nullopt;
    }
    const auto number = book.m_latest.front()->m_map;
    const bool is_same = std::all_of(book.m_latest.begin(), book.m_latest.end(),
                                     [&](const auto& state) { return state->m_map == number; });
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
    for (const auto& state : book.m_latest) {
        for (std::size_t layer = 0; layer < result.m_layers.size(); ++layer) {
            const auto& held = state->m_held[layer];
            for (std::size_t place = 0; place < book.m_shape.m_slots_per_rank; ++place) {
                result.m_layers[layer].push_back(place < held.size() ? expert_id(held[place])
                                                                     : nothing);
            }
        }
    }
    // A layer without an empty place beside one that has some can't be put like this.
    return is_complete(result) ? std::optional(std::move(result)) : std::nullopt;
}

std::vector<rank_id> silent_ranks(const rank_book& book)
{
    std::vector<rank_id> result;
    for (std::uint32_t rank = 0; rank < book.m_shape.m_ranks; ++rank) {
        if (!book.m_has_news[rank]) {
            result.emplace_back(rank);
        }
    }
    return result;
}

std::optional<observation> take_observation(rank_book& book, time_point now)
{
    if (!is_ready(book, now)) {
        return std::nullopt;
    }
    const auto reference = find_reference(book);
    if (!reference || book.m_steps == 0) {
        const bool is_first = std::none_of(book.m_observed.begin(), book.m_observed.end(),
                                           [](const auto& mark) { return mark.has_value(); });
        if (is_first) {
            begin_span(book, now);
        }
        return std::nullopt;
    }
    const auto& latest = *book.m_latest[*reference];
    const auto& before = *book.m_observed[*reference];
    observation result;
    result.m_steps = static_cast<double>(latest.m_step - before.m_step);
    result.m_span = latest.m_at - before.m_at;
    result.m_is_of_one_map = latest.m_map == before.m_map;
    result.m_tokens_per_step = counts_per_step(book);
    if (has_empty_places(book)) {
        for (auto& layer : result.m_tokens_per_step) {
            layer.push_back(0.0);
        }
    }
    for (const auto& state : book.m_latest) {
        result.m_speeds.push_back(state ? 1.0 / std::max(state->m_pace, least_pace) : 1.0);
    }
    book.m_observed_map = latest.m_map;
    begin_span(book, now);
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
