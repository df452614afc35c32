#include "dewbeam/src/experts/planner.h"

#include <algorithm>
#include <cmath>

#include "dewbeam/src/experts/local_search.h"

namespace dewbeam::experts {

namespace {

using configuration::balance_preference;

/// Share of a fetch's time that counts as cost under `balance=skew`: fetches run beside the steps.
constexpr double fetch_weight_for_skew = 0.5;
/// Under `balance=skew`, a saving is believed for this share of the time in which the tokens
/// would all have moved elsewhere: evenness is lost long before.
constexpr double horizon_share_for_skew = 0.15;
/// Under `balance=skew`, a layer is worked on again when its skew is this many times what the
/// last plan reached.
constexpr double hysteresis = 1.02;
/// A layer that could only be brought to a higher skew is tried again anyway.
constexpr double worst_reached = 1.2;
/// Under `balance=cost`, a move must have proved this share of its cost on traffic it didn't know.
constexpr double proof_needed = 0.5;
/// Under `balance=cost`, the predicted saving must be this many times the cost.
constexpr double margin_for_cost = 2.0;
/// The proof that is needed doubles at most so often.
constexpr std::uint32_t most_uncovered = 16;
/// A map is relieved first if its skew is this many times the relief skew.
constexpr double relief_margin = 1.2;
/// Share of the earned balance that one plan may spend under `balance=cost`.
constexpr double spendable_share = 0.5;

time_span from_seconds(double value)
{
    return time_span(static_cast<time_span::rep>(value * 1e6));
}

bool prefers_cost(const planner& state)
{
    return state.m_options.m_preference == balance_preference::cost;
}

double seconds_per_fetch(const planner& state)
{
    const auto& move = state.m_options.m_move;
    return static_cast<double>(move.m_expert_size.m_count) /
           static_cast<double>(std::max<std::int64_t>(1, move.m_store_rate.m_count));
}

/// How long a saving is believed to last: the faster the tokens move away, the shorter.
double horizon(const planner& state)
{
    constexpr double least_error = 0.01;
    const double error = std::max(least_error, error_of_best(state.m_forecast));
    const double share = prefers_cost(state) ? 1.0 : horizon_share_for_skew;
    const double holds = share * to_seconds(state.m_options.m_forecast.m_scoring) / error;
    return std::min(holds, to_seconds(state.m_options.m_longest_horizon));
}

/// Seconds saved over the horizon for each token less on the busiest rank of a layer.
double worth_of_token(const planner& state)
{
    return state.m_options.m_step.m_microseconds_per_token * 1e-6 * state.m_steps_per_second *
           horizon(state);
}

/// The changes of one layer up to the one after which the net saving was greatest.
struct layer_plan {
    std::size_t m_layer = 0;
    std::vector<layer_change> m_changes;
    std::uint32_t m_fetches = 0;
    double m_saved = 0;  ///< tokens of the busiest rank
};

layer_plan best_prefix(std::size_t layer, std::vector<layer_change> changes, double slowest,
                       double token_worth, double fetch_worth)
{
    layer_plan best{layer, {}, 0, 0};
    std::size_t length = 0;
    std::uint32_t fetches = 0;
    double best_net = 0;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        fetches += fetches_of(changes[i]);
        const double saved = slowest - changes[i].m_slowest_after;
        const double net = saved * token_worth - fetches * fetch_worth;
        if (net > best_net) {
            best_net = net;
            best.m_saved = saved;
            best.m_fetches = fetches;
            length = i + 1;
        }
    }
    changes.resize(length);
    best.m_changes = std::move(changes);
    return best;
}

/// The skew at which the search of a layer ends.
double target_skew(const planner_options& options, double skew_of_map)
{
    const bool is_first_relief =
        options.m_relief_skew > 0.0 && skew_of_map > options.m_relief_skew * relief_margin;
    return is_first_relief ? std::max(options.m_low_skew, options.m_relief_skew)
                           : options.m_low_skew;
}

layer_plan plan_layer(const planner& state, std::size_t layer, const layer_counts& counts,
                      double target)
{
    const auto& shape = state.m_map.m_shape;
    const auto& map = state.m_map.m_layers[layer];
    const auto load = load_of(shape, map, counts, state.m_speeds);
    const double reached = std::min(state.m_reached[layer], worst_reached);
    const bool is_even = skew(load) <= std::max(state.m_options.m_high_skew, reached * hysteresis);
    if (is_even && !prefers_cost(state)) {
        return {layer, {}, 0, 0};
    }
    const double fetch_weight = prefers_cost(state) ? margin_for_cost : fetch_weight_for_skew;
    const search_limits limits{state.m_options.m_most_changes_per_layer, target,
                               state.m_options.m_most_new_per_rank};
    return best_prefix(layer, search_layer(shape, map, counts, state.m_speeds, limits),
                       load.m_slowest, worth_of_token(state),
                       seconds_per_fetch(state) * fetch_weight);
}

/// Layers whose saving for each fetch is greatest, as many as the store can fetch in time.
std::vector<layer_plan> choose_layers(const planner& state, const group_counts& counts)
{
    std::vector<layer_plan> plans;
    const double target =
        target_skew(state.m_options, skew(load_of(state.m_map, counts, state.m_speeds)));
    for (std::size_t layer = 0; layer < state.m_map.m_layers.size(); ++layer) {
        auto item = plan_layer(state, layer, counts[layer], target);
        if (!item.m_changes.empty()) {
            plans.push_back(std::move(item));
        }
    }
    const auto is_more_useful = [](const layer_plan& a, const layer_plan& b) {
        return a.m_saved * b.m_fetches > b.m_saved * a.m_fetches;
    };
    std::stable_sort(plans.begin(), plans.end(), is_more_useful);
    const double most = to_seconds(state.m_options.m_interval) / seconds_per_fetch(state);
    double fetches = 0;
    std::size_t count = 0;
    while (count < plans.size() && (count == 0 || fetches + plans[count].m_fetches <= most)) {
        fetches += plans[count].m_fetches;
        ++count;
    }
    plans.resize(count);
    return plans;
}

plan build_plan(const planner& state, const group_counts& counts)
{
    expert_map target = state.m_map;
    for (const auto& layer : choose_layers(state, counts)) {
        for (const auto& change : layer.m_changes) {
            apply(target.m_layers[layer.m_layer], change);
        }
    }
    plan result;
    result.m_map = align_slots(state.m_map, std::move(target));
    result.m_moves = moves_between(state.m_map, result.m_map);
    const auto fetches = static_cast<std::int64_t>(result.m_moves.size());
    result.m_bytes = {fetches * state.m_options.m_move.m_expert_size.m_count};
    result.m_staging = from_seconds(static_cast<double>(fetches) * seconds_per_fetch(state));
    const auto before = load_of(state.m_map, counts, state.m_speeds);
    const auto after = load_of(result.m_map, counts, state.m_speeds);
    result.m_skew_before = skew(before);
    result.m_skew_after = skew(after);
    result.m_saved_per_step = from_seconds((before.m_slowest - after.m_slowest) *
                                           state.m_options.m_step.m_microseconds_per_token * 1e-6);
    return result;
}

/// Seconds that a plan saves over the horizon.
double predicted_saving(const planner& state, const plan& item, const group_counts& counts)
{
    const auto before = load_of(state.m_map, counts, state.m_speeds);
    const auto after = load_of(item.m_map, counts, state.m_speeds);
    return (before.m_slowest - after.m_slowest) * worth_of_token(state);
}

double full_cost(const planner& state, const plan& item)
{
    return to_seconds(cost_of(state.m_options.m_move, item.m_moves.size()));
}

bool is_worth_it_for_skew(const planner& state, const plan& item, const group_counts& counts)
{
    const double cost = to_seconds(state.m_options.m_move.m_switch_pause) +
                        to_seconds(item.m_staging) * fetch_weight_for_skew;
    return predicted_saving(state, item, counts) > cost;
}

/// Each plan has to prove itself on traffic that came after it was made. Spending more than what
/// earlier moves earned needs twice the proof each time, so that traffic which turns against
/// every move is not chased.
bool is_worth_it_for_cost(const planner& state, const plan& item, const group_counts& counts)
{
    const double cost = full_cost(state, item);
    const bool is_covered = cost <= state.m_balance * spendable_share;
    const double proof =
        is_covered ? proof_needed : std::ldexp(proof_needed, static_cast<int>(state.m_uncovered));
    return predicted_saving(state, item, counts) > margin_for_cost * cost &&
           state.m_candidate_proof > proof * cost;
}

/// How many times as long as usual the slowest rank takes.
double slowest_pace(const rank_speeds& speeds)
{
    const double slowest = speeds.empty() ? 1.0 : *std::min_element(speeds.begin(), speeds.end());
    return 1.0 / std::min(1.0, slowest);
}

/// Remembers how even each changed layer has become.
void note_reached(planner& state, const expert_map& map)
{
    if (state.m_forecast.m_fast.empty()) {
        return;
    }
    const auto counts = predict(state.m_forecast);
    for (std::size_t layer = 0; layer < map.m_layers.size(); ++layer) {
        if (map.m_layers[layer] != state.m_map.m_layers[layer]) {
            state.m_reached[layer] =
                skew(load_of(map.m_shape, map.m_layers[layer], counts[layer], state.m_speeds));
        }
    }
}

double seconds_of_steps(const planner& state, const expert_map& map, const observation& seen)
{
    return seen.m_steps * state.m_options.m_step.m_microseconds_per_token * 1e-6 *
           load_of(map, seen.m_tokens_per_step, seen.m_speeds).m_slowest;
}

/// Keeps the books of `balance=cost` on what really came.
void keep_books(planner& state, const observation& seen)
{
    const double now = seconds_of_steps(state, state.m_map, seen);
    state.m_balance += seconds_of_steps(state, state.m_first_map, seen) - now;
    if (state.m_candidate) {
        const double would = seconds_of_steps(state, state.m_candidate->m_map, seen);
        state.m_candidate_proof = std::max(0.0, state.m_candidate_proof + now - would);
    }
}

}  // namespace

planner make_planner(const planner_options& options, const expert_map& first, time_point now)
{
    require(is_complete(first), "a group starts with a complete expert map");
    planner state;
    state.m_options = options;
    state.m_map = first;
    state.m_first_map = first;
    state.m_reached.assign(first.m_shape.m_layers, 1.0);
    state.m_forecast.m_options = options.m_forecast;
    state.m_plan_at = now + options.m_interval;
    return state;
}

void observe(planner& state, const observation& seen, time_point now)
{
    state.m_speeds = seen.m_speeds;
    state.m_is_stalled = seen.m_is_stalled;
    if (seen.m_span > time_span::zero()) {
        state.m_steps_per_second = seen.m_steps / to_seconds(seen.m_span);
    }
    if (prefers_cost(state)) {
        keep_books(state, seen);
    }
    observe(state.m_forecast, seen.m_tokens_per_step, now);
}

double tolerate(planner& state, const step_timing& timing, const skew_band& tight,
                const observation& seen)
{
    const auto load = load_of(state.m_map, seen.m_tokens_per_step);
    const auto step = from_seconds(to_seconds(seen.m_span) / std::max(1.0, seen.m_steps));
    const double pace = slowest_pace(seen.m_speeds);
    const double work = work_of(timing, step, skew(load), pace);
    auto band = tolerated_skews(timing, work, pace, tight);
    if (state.m_options.m_relief_skew > 0.0) {
        band.m_high = std::min(band.m_high, state.m_options.m_relief_skew);
        band.m_low = std::min(band.m_low, state.m_options.m_relief_skew);
    }
    state.m_options.m_high_skew = band.m_high;
    state.m_options.m_low_skew = band.m_low;
    state.m_options.m_tolerated_skew = band.m_high;
    return work;
}

std::optional<plan> decide(planner& state, time_point now)
{
    const bool is_due = now >= state.m_plan_at && !state.m_is_moving && !state.m_is_stalled;
    if (!is_due || state.m_forecast.m_fast.empty()) {
        return std::nullopt;
    }
    // Ranks count over spans that don't begin together: the first sample after a jump has both the
    // old demand and the new.
    if (state.m_forecast.m_jumps == 1) {
        return std::nullopt;
    }
    state.m_plan_at = now + state.m_options.m_interval;
    const auto counts = predict(state.m_forecast);
    if (skew(load_of(state.m_map, counts, state.m_speeds)) < state.m_options.m_tolerated_skew) {
        return std::nullopt;
    }
    auto item = build_plan(state, counts);
    if (item.m_moves.empty()) {
        return std::nullopt;
    }
    const bool is_worth_it = prefers_cost(state) ? is_worth_it_for_cost(state, item, counts)
                                                 : is_worth_it_for_skew(state, item, counts);
    if (!is_worth_it) {
        state.m_candidate = std::move(item);
        return std::nullopt;
    }
    state.m_is_moving = true;
    state.m_pending_cost = full_cost(state, item);
    return item;
}

void settle(planner& state, const plan& last, bool is_in_force, time_point now)
{
    state.m_is_moving = false;
    state.m_candidate.reset();
    state.m_candidate_proof = 0;
    const bool is_covered = state.m_pending_cost <= state.m_balance * spendable_share;
    state.m_uncovered = is_covered ? 0 : std::min(state.m_uncovered + 1, most_uncovered);
    state.m_balance -= state.m_pending_cost;
    state.m_pending_cost = 0;
    state.m_plan_at = std::max(state.m_plan_at, now);
    if (is_in_force) {
        note_reached(state, last.m_map);
        state.m_map = last.m_map;
    }
}

time_span predicted_step(const step_cost& cost, const expert_map& map, const group_counts& counts,
                         const rank_speeds& speeds)
{
    const double experts =
        load_of(map, counts, speeds).m_slowest * cost.m_microseconds_per_token * 1e-6;
    return cost.m_base + from_seconds(experts);
}

time_span cost_of(const move_cost& cost, std::size_t fetches)
{
    if (fetches == 0) {
        return time_span::zero();
    }
    const double fetching =
        static_cast<double>(fetches) * static_cast<double>(cost.m_expert_size.m_count) /
        static_cast<double>(std::max<std::int64_t>(1, cost.m_store_rate.m_count));
    return cost.m_switch_pause + from_seconds(fetching);
}

}  // namespace dewbeam::experts
