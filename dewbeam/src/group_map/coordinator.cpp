#include "dewbeam/src/group_map/coordinator.h"

#include <algorithm>
#include <utility>

namespace dewbeam::group_map {

namespace {

command make_command(const coordinator& state, std::uint32_t rank)
{
    command message;
    message.m_kind = state.m_command;
    message.m_epoch = state.m_epoch;
    message.m_round = state.m_round;
    message.m_to = rank_id(rank);
    message.m_life = state.m_ranks[rank].m_life.value_or(participant_life());
    message.m_target = state.m_target;
    if (state.m_command == command_kind::stage) {
        message.m_content = state.m_content;
    }
    return message;
}

void send_to_missing(coordinator& state, bool is_repeat, coordinator_effects& effects,
                     time_point now)
{
    for (std::uint32_t rank = 0; rank < state.m_ranks.size(); ++rank) {
        if (!state.m_ranks[rank].m_answered) {
            effects.m_commands.push_back(make_command(state, rank));
            effects.m_commands.back().m_is_repeat = is_repeat;
        }
    }
    const bool has_content = state.m_command == command_kind::stage;
    state.m_resend_at = now + (has_content ? state.m_options.m_stage_resend_interval
                                           : state.m_options.m_resend_interval);
}

void start_round(coordinator& state, phase next, command_kind kind, coordinator_effects& effects,
                 time_point now)
{
    state.m_phase = next;
    state.m_command = kind;
    state.m_round = round_number(state.m_round.value() + 1);
    state.m_missing = static_cast<std::uint32_t>(state.m_ranks.size());
    state.m_round_deadline = no_deadline;
    state.m_round_began = now;
    for (auto& view : state.m_ranks) {
        view.m_answered = false;
    }
    state.m_next_sign_of_life = now + state.m_options.m_heartbeat_interval;
    send_to_missing(state, false, effects, now);
}

void end_change(coordinator& state, change_result result, coordinator_effects& effects,
                time_point now)
{
    if (state.m_change_under_way) {
        state.m_times.m_ended = now;
        effects.m_change = {result, state.m_settled, state.m_times};
    }
    state.m_change_under_way = false;
    state.m_content.reset();
}

/// The lowest number above all epochs met that belongs to this candidate. Engines know epochs by
/// their numbers alone.
std::uint64_t next_epoch_number(const coordinator& state)
{
    const auto& options = state.m_options;
    const std::uint64_t candidates = std::max(options.m_candidates, 1U);
    const auto lowest =
        std::max({state.m_highest_epoch, state.m_epoch.m_number, options.m_first_epoch}) + 1;
    const auto own = options.m_rank.value() % candidates;
    return lowest + (own + candidates - lowest % candidates) % candidates;
}

void start_epoch(coordinator& state, coordinator_effects& effects, time_point now)
{
    end_change(state, change_result::lost, effects, now);
    state.m_highest_epoch = next_epoch_number(state);
    state.m_epoch = {state.m_highest_epoch, state.m_options.m_rank, state.m_options.m_incarnation};
    state.m_round = round_number();
    state.m_ranks.assign(state.m_options.m_ranks, rank_view());
    start_round(state, phase::collecting, command_kind::collect, effects, now);
}

void stand_down(coordinator& state, coordinator_effects& effects, time_point now)
{
    end_change(state, change_result::lost, effects, now);
    state.m_phase = phase::inactive;
    state.m_resend_at = no_deadline;
    state.m_round_deadline = no_deadline;
}

void settle(coordinator& state, time_point now)
{
    state.m_phase = phase::settled;
    state.m_missing = 0;
    state.m_resend_at = now + state.m_options.m_heartbeat_interval;
    state.m_round_deadline = no_deadline;
}

bool waits_to_switch(const engine_state& engine)
{
    return engine.m_armed && !engine.m_switching;
}

/// Ranks that hold, and ranks whose gate may be closed, must be told to go on.
bool needs_release(const coordinator& state)
{
    return std::any_of(state.m_ranks.begin(), state.m_ranks.end(), [](const auto& view) {
        return waits_to_switch(view.m_engine) || !view.m_engine.m_can_hold;
    });
}

void release_all(coordinator& state, coordinator_effects& effects, time_point now)
{
    state.m_target.m_map = state.m_settled;
    start_round(state, phase::releasing, command_kind::release, effects, now);
}

bool one_group(const coordinator& state)
{
    return std::all_of(state.m_ranks.begin(), state.m_ranks.end(), [&](const auto& view) {
        return view.m_life->m_group == state.m_ranks.front().m_life->m_group;
    });
}

map_id highest_settled(const coordinator& state)
{
    map_id highest;
    for (const auto& view : state.m_ranks) {
        highest = std::max(highest, settled_map(view.m_engine));
    }
    return highest;
}

/// Whether a rank has switched to the target, or can.
bool can_finish(const engine_state& engine, const switch_point& target)
{
    if (settled_map(engine) == target.m_map) {
        return true;
    }
    return engine.m_can_hold ? engine.m_armed == target : engine.m_staged == target.m_map;
}

/// The switch that a rank waits for, if it leads to `map`.
switch_point find_switch(const coordinator& state, const map_id& map)
{
    for (const auto& view : state.m_ranks) {
        if (view.m_engine.m_armed && view.m_engine.m_armed->m_map == map) {
            return *view.m_engine.m_armed;
        }
    }
    return {map, step_number()};
}

void finish_switch(coordinator& state, const map_id& map, coordinator_effects& effects,
                   time_point now)
{
    const auto target = find_switch(state, map);
    const bool possible =
        std::all_of(state.m_ranks.begin(), state.m_ranks.end(),
                    [&](const auto& view) { return can_finish(view.m_engine, target); });
    if (!possible) {
        settle(state, now);
        state.m_phase = phase::broken;
        return;
    }
    state.m_target = target;
    start_round(state, phase::committing, command_kind::commit, effects, now);
}

/// All ranks obey this epoch: finish what was committed, else give it up.
void decide(coordinator& state, coordinator_effects& effects, time_point now)
{
    const auto highest = highest_settled(state);
    const bool all_same =
        std::all_of(state.m_ranks.begin(), state.m_ranks.end(),
                    [&](const auto& view) { return settled_map(view.m_engine) == highest; });
    if (!all_same) {
        finish_switch(state, highest, effects, now);
        return;
    }
    state.m_settled = highest;
    if (needs_release(state)) {
        release_all(state, effects, now);
    }
    else {
        settle(state, now);
    }
}

time_span longest_arm(const coordinator& state)
{
    const bool all_hold = std::all_of(state.m_ranks.begin(), state.m_ranks.end(),
                                      [](const auto& view) { return view.m_engine.m_can_hold; });
    return all_hold ? state.m_options.m_arm_limit : state.m_options.m_drain_limit;
}

std::uint64_t newest_step(const coordinator& state)
{
    std::uint64_t result = 0;
    for (const auto& view : state.m_ranks) {
        result = std::max(result, view.m_engine.m_step.value());
    }
    return result;
}

/// Learns from two looks at the newest step how long steps take.
void note_steps(coordinator& state, time_point now)
{
    constexpr time_span shortest_look = std::chrono::milliseconds(100);
    const auto newest = newest_step(state);
    const auto elapsed = now - state.m_looked_at;
    if (elapsed < shortest_look) {
        return;
    }
    const bool is_later = state.m_looked_at != time_point() && newest > state.m_looked_step;
    state.m_step_time = is_later
                            ? elapsed / static_cast<time_span::rep>(newest - state.m_looked_step)
                            : time_span::zero();
    state.m_looked_step = newest;
    state.m_looked_at = now;
}

/// As few steps as the rounds that arm and commit take: each step more is one under the old map.
std::uint64_t first_margin(const coordinator& state)
{
    const auto& options = state.m_options;
    if (state.m_step_time <= time_span::zero()) {
        return options.m_first_margin;
    }
    const auto needed = std::max(options.m_switch_time, state.m_switch_seen);
    const auto steps = (needed + state.m_step_time - time_span(1)) / state.m_step_time;
    return std::clamp<std::uint64_t>(static_cast<std::uint64_t>(steps), 1, options.m_first_margin);
}

void start_arming(coordinator& state, coordinator_effects& effects, time_point now)
{
    const auto newest = newest_step(state);
    ++state.m_tries;
    state.m_target.m_step = step_number(newest + state.m_margin);
    start_round(state, phase::arming, command_kind::arm, effects, now);
    state.m_round_deadline = now + longest_arm(state);
}

/// Orders that are lost for a while make switches slow for a while.
void note_switch(coordinator& state, time_span took)
{
    state.m_switch_seen = std::max(took, (state.m_switch_seen + took) / 2);
}

void finish_commit(coordinator& state, coordinator_effects& effects, time_point now)
{
    if (state.m_change_under_way) {
        note_switch(state, now - state.m_times.m_staged);
    }
    state.m_settled = state.m_target.m_map;
    end_change(state, change_result::committed, effects, now);
    if (needs_release(state)) {
        release_all(state, effects, now);
    }
    else {
        settle(state, now);
    }
}

/// The name of the next proposal.
map_id next_map(coordinator& state)
{
    const auto content = stable_hash(*state.m_content);
    if (!state.m_options.m_unique_numbers) {
        return {state.m_settled.m_number + 1, fingerprint(content)};
    }
    auto highest = std::max(state.m_last_number, state.m_settled.m_number);
    for (const auto& view : state.m_ranks) {
        highest = std::max(
            {highest, view.m_engine.m_staged.m_number, settled_map(view.m_engine).m_number});
    }
    constexpr std::uint64_t salt_mask = (1ULL << number_salt_bits) - 1;
    const auto origin = combine_hash(state.m_options.m_incarnation.value(), state.m_epoch.m_number);
    const auto salt = combine_hash(combine_hash(origin, state.m_options.m_rank.value()), content);
    state.m_last_number =
        (((highest >> number_salt_bits) + 1) << number_salt_bits) | (salt & salt_mask);
    return map_of_number(state.m_last_number);
}

void finish_release(coordinator& state, coordinator_effects& effects, time_point now)
{
    if (state.m_change_under_way && state.m_tries < state.m_options.m_most_tries) {
        state.m_margin *= 2;
        // The ranks hold the proposal already.
        state.m_target.m_map =
            state.m_options.m_unique_numbers ? map_of_number(state.m_last_number) : next_map(state);
        start_arming(state, effects, now);
        return;
    }
    end_change(state, change_result::given_up, effects, now);
    settle(state, now);
}

void finish_heartbeat(coordinator& state, coordinator_effects& effects, time_point now)
{
    const bool as_left =
        std::all_of(state.m_ranks.begin(), state.m_ranks.end(), [&](const auto& view) {
            return settled_map(view.m_engine) == state.m_settled && !waits_to_switch(view.m_engine);
        });
    if (as_left) {
        settle(state, now);
    }
    else {
        start_epoch(state, effects, now);
    }
}

/// All ranks have answered in this round.
void finish_round(coordinator& state, coordinator_effects& effects, time_point now)
{
    note_steps(state, now);
    switch (state.m_phase) {
        case phase::collecting:
            if (one_group(state)) {
                start_round(state, phase::confirming, command_kind::confirm, effects, now);
            }
            // Otherwise some engines have not restarted yet: the resend starts a new epoch.
            break;
        case phase::confirming:
            decide(state, effects, now);
            break;
        case phase::staging:
            state.m_times.m_staged = now;
            start_arming(state, effects, now);
            break;
        case phase::arming:
            state.m_times.m_armed = now;
            start_round(state, phase::committing, command_kind::commit, effects, now);
            break;
        case phase::committing:
            finish_commit(state, effects, now);
            break;
        case phase::releasing:
            finish_release(state, effects, now);
            break;
        case phase::settled:
            finish_heartbeat(state, effects, now);
            break;
        case phase::inactive:
        case phase::broken:
            break;
    }
}

/// A rank can't do what this round asks.
void handle_refusal(coordinator& state, coordinator_effects& effects, time_point now)
{
    if (state.m_phase == phase::arming) {
        note_switch(state, state.m_step_time * static_cast<time_span::rep>(state.m_margin + 1));
        release_all(state, effects, now);
    }
    else if (state.m_phase == phase::staging) {
        state.m_tries = state.m_options.m_most_tries;
        release_all(state, effects, now);
    }
    else {
        start_epoch(state, effects, now);
    }
}

/// Another epoch rules at this rank: go above one's own earlier life, make way for another rank.
void handle_higher_epoch(coordinator& state, const epoch& higher, coordinator_effects& effects,
                         time_point now)
{
    state.m_highest_epoch = std::max(state.m_highest_epoch, higher.m_number);
    if (higher.m_rank == state.m_options.m_rank) {
        start_epoch(state, effects, now);
    }
    else {
        stand_down(state, effects, now);
    }
}

/// Whether the report comes from the life that this epoch knows; a newer life starts an epoch.
bool check_life(coordinator& state, const report& message, coordinator_effects& effects,
                time_point now)
{
    const auto& known = state.m_ranks[message.m_from.value()].m_life;
    if (known && message.m_life > *known) {
        start_epoch(state, effects, now);
        return false;
    }
    return !known || message.m_life == *known;
}

void take_report(coordinator& state, const report& message, coordinator_effects& effects,
                 time_point now)
{
    auto& view = state.m_ranks[message.m_from.value()];
    if (view.m_answered) {
        return;
    }
    view.m_life = message.m_life;
    view.m_engine = message.m_engine;
    if (message.m_refused) {
        handle_refusal(state, effects, now);
        return;
    }
    view.m_answered = true;
    --state.m_missing;
    if (state.m_missing == 0) {
        finish_round(state, effects, now);
    }
}

/// A round has taken too long.
void handle_round_deadline(coordinator& state, coordinator_effects& effects, time_point now)
{
    state.m_tries = state.m_options.m_most_tries;
    release_all(state, effects, now);
}

bool is_waiting(const coordinator& state)
{
    return state.m_missing > 0 && state.m_phase != phase::broken;
}

/// A rank that has answered hears nothing more in a round that waits for a late one. Those that
/// would step in are told again, or they would depose a coordinator that is there.
void show_life(coordinator& state, coordinator_effects& effects, time_point now)
{
    state.m_next_sign_of_life = now + state.m_options.m_heartbeat_interval;
    const auto count = std::min<std::size_t>(state.m_options.m_candidates, state.m_ranks.size());
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        if (state.m_ranks[rank].m_answered && rank != state.m_options.m_rank.value()) {
            auto sign = make_command(state, rank);
            sign.m_content.reset();
            sign.m_is_repeat = true;
            sign.m_is_sign_of_life = true;
            effects.m_commands.push_back(std::move(sign));
        }
    }
}

}  // namespace

const char* to_string(phase value)
{
    switch (value) {
        case phase::inactive:
            return "inactive";
        case phase::collecting:
            return "collecting";
        case phase::confirming:
            return "confirming";
        case phase::settled:
            return "settled";
        case phase::staging:
            return "staging";
        case phase::arming:
            return "arming";
        case phase::committing:
            return "committing";
        case phase::releasing:
            return "releasing";
        case phase::broken:
            break;
    }
    return "broken";
}

map_id map_of_number(std::uint64_t number)
{
    return {number, fingerprint(number)};
}

coordinator make_coordinator(const coordinator_options& options)
{
    require(options.m_rank.value() < options.m_ranks, "a coordinator is a rank of its group");
    coordinator state;
    state.m_options = options;
    return state;
}

coordinator_effects activate(coordinator& state, std::uint64_t highest, time_point now)
{
    coordinator_effects effects;
    state.m_highest_epoch = std::max(state.m_highest_epoch, highest);
    start_epoch(state, effects, now);
    return effects;
}

bool propose(coordinator& state, const map_content& content, time_point now,
             coordinator_effects& effects)
{
    require(content != nullptr, "a proposed map has content");
    if (state.m_phase != phase::settled) {
        return false;
    }
    state.m_change_under_way = true;
    state.m_times = {};
    state.m_times.m_proposed = now;
    state.m_content = content;
    state.m_tries = 0;
    state.m_margin = first_margin(state);
    state.m_target.m_map = next_map(state);
    start_round(state, phase::staging, command_kind::stage, effects, now);
    state.m_round_deadline = now + state.m_options.m_stage_limit;
    return true;
}

std::vector<rank_id> late_ranks(const coordinator& state, time_span patience, time_point now)
{
    std::vector<rank_id> result;
    // Staging takes its time, and a rank that answers late then holds up nobody.
    const bool is_urgent = state.m_phase != phase::inactive && state.m_phase != phase::staging;
    if (!is_urgent || !is_waiting(state) || state.m_round_began + patience > now) {
        return result;
    }
    for (std::uint32_t rank = 0; rank < state.m_ranks.size(); ++rank) {
        if (!state.m_ranks[rank].m_answered) {
            result.emplace_back(rank);
        }
    }
    return result;
}

coordinator_effects receive(coordinator& state, const report& message, time_point now)
{
    coordinator_effects effects;
    if (state.m_phase == phase::inactive || message.m_from.value() >= state.m_ranks.size()) {
        return effects;
    }
    if (message.m_promised > state.m_epoch) {
        handle_higher_epoch(state, message.m_promised, effects, now);
        return effects;
    }
    const bool known_life = check_life(state, message, effects, now);
    if (known_life && message.m_promised == state.m_epoch && message.m_round == state.m_round) {
        take_report(state, message, effects, now);
    }
    return effects;
}

coordinator_effects tick(coordinator& state, time_point now)
{
    coordinator_effects effects;
    if (state.m_phase == phase::inactive) {
        return effects;
    }
    if (now >= state.m_round_deadline) {
        handle_round_deadline(state, effects, now);
        return effects;
    }
    if (is_waiting(state) && now >= state.m_next_sign_of_life) {
        show_life(state, effects, now);
    }
    if (now < state.m_resend_at) {
        return effects;
    }
    if (is_waiting(state)) {
        send_to_missing(state, true, effects, now);
    }
    else if (state.m_phase == phase::settled) {
        start_round(state, phase::settled, command_kind::confirm, effects, now);
    }
    else {
        start_epoch(state, effects, now);
    }
    return effects;
}

}  // namespace dewbeam::group_map
