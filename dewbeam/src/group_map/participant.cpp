#include "dewbeam/src/group_map/participant.h"

#include <algorithm>
#include <utility>

#include "dewbeam/turns"

namespace dewbeam::group_map {

namespace {

/// How far the engine's state is from what a command wants.
enum class progress { done, refused, needs_order, needs_time };

participant_life life_of(const participant& state)
{
    return {state.m_options.m_incarnation, state.m_engine->m_group};
}

report make_report(const participant& state, rank_id to, bool refused)
{
    report result;
    result.m_from = state.m_options.m_rank;
    result.m_to = to;
    result.m_promised = state.m_promised;
    if (state.m_min_epoch > state.m_promised.m_number) {
        // A coordinator goes above its own earlier epochs.
        result.m_promised = {state.m_min_epoch, to, incarnation()};
    }
    result.m_round = state.m_round;
    result.m_life = life_of(state);
    result.m_refused = refused;
    result.m_engine = *state.m_engine;
    return result;
}

engine_order issue(participant& state, order_kind kind, time_point now)
{
    engine_order order;
    order.m_kind = kind;
    order.m_number = fencing_number(state.m_last_order.value() + 1);
    order.m_group = state.m_engine ? state.m_engine->m_group : incarnation();
    if (kind == order_kind::release) {
        order.m_target = *state.m_engine->m_armed;
    }
    else if (kind != order_kind::read) {
        order.m_target = state.m_goal->m_target;
        order.m_content = state.m_goal->m_content;
    }
    order.m_raises_fencing = kind == order_kind::read && state.m_must_fence && state.m_engine;
    state.m_last_order = order.m_number;
    state.m_order = order;
    state.m_order_serves_goal = kind != order_kind::read;
    state.m_order_serves_epoch = state.m_promised.m_number != 0;
    state.m_must_read = false;
    state.m_answer_deadline = now + state.m_options.m_answer_limit;
    return order;
}

progress check_stage(const engine_state& engine, const command& goal)
{
    const bool held =
        engine.m_staged == goal.m_target.m_map || engine.m_current == goal.m_target.m_map;
    if (!held && engine.m_switching) {
        return progress::needs_time;  // an engine takes no further map before its switch is through
    }
    return held ? progress::done : progress::needs_order;
}

progress check_arm(const engine_state& engine, const command& goal)
{
    if (!engine.m_can_hold) {
        return engine.m_busy ? progress::needs_time : progress::done;
    }
    if (engine.m_switching) {
        return progress::needs_time;  // the last change is committed, its step still to come
    }
    if (engine.m_armed == goal.m_target) {
        return progress::done;
    }
    return engine.m_step >= goal.m_target.m_step ? progress::refused : progress::needs_order;
}

progress check_commit(const engine_state& engine, const command& goal)
{
    return settled_map(engine) == goal.m_target.m_map ? progress::done : progress::needs_order;
}

progress check_release(const engine_state& engine, const command& goal)
{
    if (settled_map(engine) != goal.m_target.m_map) {
        return progress::refused;
    }
    const bool armed = engine.m_armed && !engine.m_switching;
    return armed ? progress::needs_order : progress::done;
}

progress check(const engine_state& engine, const command& goal)
{
    switch (goal.m_kind) {
        case command_kind::stage:
            return check_stage(engine, goal);
        case command_kind::arm:
            return check_arm(engine, goal);
        case command_kind::commit:
            return check_commit(engine, goal);
        case command_kind::release:
            return check_release(engine, goal);
        case command_kind::collect:
        case command_kind::confirm:
            break;
    }
    return progress::done;
}

order_kind order_for(command_kind kind)
{
    switch (kind) {
        case command_kind::stage:
            return order_kind::stage;
        case command_kind::arm:
            return order_kind::hold;
        case command_kind::commit:
            return order_kind::switch_map;
        case command_kind::release:
            return order_kind::release;
        case command_kind::collect:
        case command_kind::confirm:
            break;
    }
    return order_kind::read;
}

report conclude(participant& state, bool refused)
{
    if (state.m_goal->m_kind == command_kind::release && !refused) {
        state.m_open = true;
    }
    state.m_done = make_report(state, state.m_goal->m_epoch.m_rank, refused);
    state.m_poll_at = no_deadline;
    return *state.m_done;
}

void drop_goal(participant& state)
{
    state.m_goal.reset();
    state.m_order_serves_goal = false;
    state.m_done.reset();
    state.m_round = round_number();
    state.m_poll_at = no_deadline;
}

/// Obeys no epoch below `min_epoch` any more, and tells the coordinator of this one.
participant_effects decline_epoch(participant& state, std::uint64_t min_epoch)
{
    drop_goal(state);
    state.m_must_fence = false;
    state.m_min_epoch = std::max(state.m_min_epoch, min_epoch);
    participant_effects effects;
    effects.m_report = make_report(state, state.m_promised.m_rank, true);
    effects.m_report->m_round = round_number();
    return effects;
}

bool is_declined(const participant& state)
{
    return state.m_promised.m_number < state.m_min_epoch;
}

bool has_numbers_left(const participant& state)
{
    return state.m_last_order.value() + 1 < fencing_base(state.m_promised.m_number + 1).value();
}

/// Takes the next step towards the goal, if nothing is in the way.
participant_effects advance(participant& state, time_point now)
{
    participant_effects effects;
    if (state.m_order || now < state.m_quiet_at) {
        return effects;
    }
    if (!has_numbers_left(state)) {
        return is_declined(state) ? effects : decline_epoch(state, state.m_promised.m_number + 1);
    }
    if (state.m_must_read || state.m_must_fence) {
        effects.m_order = issue(state, order_kind::read, now);
        return effects;
    }
    if (!state.m_goal || state.m_done || state.m_poll_at != no_deadline) {
        return effects;
    }
    switch (check(*state.m_engine, *state.m_goal)) {
        case progress::done:
            effects.m_report = conclude(state, false);
            break;
        case progress::refused:
            effects.m_report = conclude(state, true);
            break;
        case progress::needs_order:
            effects.m_order = issue(state, order_for(state.m_goal->m_kind), now);
            break;
        case progress::needs_time:
            state.m_poll_at = now + state.m_options.m_poll_interval;
            break;
    }
    return effects;
}

/// A command that must not be obeyed: the sender learns whom this rank obeys, in which life.
participant_effects refuse(const participant& state, const command& message)
{
    participant_effects effects;
    if (state.m_engine) {
        effects.m_report = make_report(state, message.m_epoch.m_rank, true);
        effects.m_report->m_round = round_number();
    }
    return effects;
}

void accept_goal(participant& state, const command& message)
{
    state.m_round = message.m_round;
    state.m_goal = message;
    state.m_order_serves_goal = false;
    state.m_done.reset();
    state.m_poll_at = no_deadline;
    const bool wants_news =
        message.m_kind == command_kind::collect || message.m_kind == command_kind::confirm;
    const bool arms = message.m_kind == command_kind::arm;
    if (arms || message.m_kind == command_kind::commit) {
        state.m_open = false;
    }
    // Whether the engine is idle counts only if it was read after the gate was closed.
    const bool wants_idle = arms && !state.m_engine->m_can_hold;
    state.m_must_read |= wants_news || wants_idle;
}

bool obeys(const participant& state, const command& message)
{
    if (message.m_epoch.m_number < state.m_min_epoch) {
        return false;
    }
    if (message.m_kind == command_kind::collect) {
        return message.m_epoch == state.m_promised ||
               message.m_epoch.m_number > state.m_promised.m_number;
    }
    return message.m_epoch == state.m_promised && state.m_engine &&
           message.m_life == life_of(state);
}

/// From now on the orders are numbered by this epoch.
void obey_epoch(participant& state, const epoch& newer)
{
    state.m_promised = newer;
    state.m_last_order = fencing_base(newer.m_number);
    state.m_order_serves_epoch = false;
    state.m_must_fence = state.m_options.m_checks_fencing;
}

bool is_stage_under_way(const participant& state, const engine_order& order)
{
    return order.m_kind == order_kind::stage && state.m_engine->m_staged != order.m_target.m_map;
}

void take_state(participant& state, const engine_answer& answer)
{
    const bool restarted = state.m_engine && state.m_engine->m_group != answer.m_state.m_group;
    if (restarted) {
        drop_goal(state);  // all engines of the group restarted
        state.m_must_fence = state.m_options.m_checks_fencing && state.m_promised.m_number != 0;
        state.m_open = false;
    }
    if (!state.m_engine && !answer.m_state.m_can_hold) {
        // Requests of an earlier life may still be on their way to the engine.
        state.m_quiet_at = std::max(state.m_quiet_at, state.m_requests_landed_at);
        state.m_must_read = true;
    }
    state.m_engine = answer.m_state;
}

}  // namespace

participant start_participant(const participant_options& options, time_point now)
{
    participant state;
    state.m_options = options;
    state.m_quiet_at = options.m_checks_fencing ? now : now + options.m_order_lifetime;
    state.m_requests_landed_at = now + options.m_order_lifetime;
    state.m_silent_at = now + options.m_silence_limit;
    return state;
}

participant_effects receive(participant& state, const command& message, time_point now)
{
    const bool shares_number =
        message.m_epoch.m_number == state.m_promised.m_number && message.m_epoch > state.m_promised;
    if (shares_number) {  // their orders couldn't be told apart
        state.m_min_epoch = std::max(state.m_min_epoch, state.m_promised.m_number + 1);
    }
    if (!obeys(state, message)) {
        return refuse(state, message);
    }
    state.m_silent_at = now + state.m_options.m_silence_limit;
    if (message.m_epoch > state.m_promised) {
        obey_epoch(state, message.m_epoch);
        accept_goal(state, message);
    }
    else if (message.m_round > state.m_round) {
        accept_goal(state, message);
    }
    else if (message.m_round == state.m_round && state.m_done) {
        participant_effects effects;
        effects.m_report = state.m_done;
        return effects;
    }
    return advance(state, now);
}

participant_effects answered(participant& state, const engine_answer& answer, time_point now)
{
    if (!state.m_order || state.m_order->m_number != answer.m_number) {
        return {};
    }
    const auto order = *state.m_order;
    state.m_order.reset();
    state.m_answer_deadline = no_deadline;
    take_state(state, answer);
    const bool serves_goal = std::exchange(state.m_order_serves_goal, false);
    const bool serves_epoch = std::exchange(state.m_order_serves_epoch, false);
    if (serves_epoch && answer.m_highest > order.m_number) {
        // Orders of a newer epoch, or of processes whose clocks are ahead.
        const auto highest = std::max(answer.m_highest, state.m_options.m_first_order);
        return decline_epoch(state, min_epoch_above(highest));
    }
    if (order.m_raises_fencing && serves_epoch) {
        // Engines that have restarted since have forgotten the number.
        const bool is_fenced = answer.m_accepted && order.m_group == answer.m_state.m_group;
        state.m_must_fence = !is_fenced;
        if (!is_fenced) {
            state.m_quiet_at = now + state.m_options.m_poll_interval;
        }
    }
    if (serves_goal && !answer.m_accepted) {
        participant_effects effects;
        effects.m_report = conclude(state, true);
        return effects;
    }
    if (serves_goal && is_stage_under_way(state, order)) {
        state.m_poll_at = now + state.m_options.m_poll_interval;
    }
    return advance(state, now);
}

participant_effects tick(participant& state, time_point now)
{
    bool lost = false;
    if (state.m_order && now >= state.m_answer_deadline) {
        // Counted from now, not from when it was sent: this process may have slept in between.
        lost = true;
        state.m_order.reset();
        state.m_must_read = true;
        state.m_quiet_at =
            state.m_options.m_checks_fencing ? now : now + state.m_options.m_order_lifetime;
    }
    if (now >= state.m_poll_at) {
        state.m_poll_at = no_deadline;
        state.m_must_read = true;
    }
    auto effects = advance(state, now);
    effects.m_close_connection = lost;
    return effects;
}

bool may_admit(const participant& state)
{
    return state.m_engine && (state.m_engine->m_can_hold || state.m_open);
}

bool coordinator_silent(const participant& state, time_point now)
{
    return now >= state.m_silent_at;
}

void put_off_silence(participant& state, time_span held_up, time_point now)
{
    state.m_silent_at = put_off(state.m_silent_at, held_up, now + state.m_options.m_silence_limit);
}

}  // namespace dewbeam::group_map
