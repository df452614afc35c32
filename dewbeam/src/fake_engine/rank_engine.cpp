#include "dewbeam/src/fake_engine/rank_engine.h"

#include <algorithm>

namespace dewbeam::fake_engine {

namespace {

using group_map::engine_order;
using group_map::engine_state;
using group_map::order_kind;
using group_map::settled_map;
using group_map::step_number;

void note_told(rank_engine& engine, const engine_order& order)
{
    const auto& map = order.m_target.m_map;
    const bool is_known = std::any_of(engine.m_known.begin(), engine.m_known.end(),
                                      [&](const known_map& known) { return known.m_map == map; });
    if (!is_known) {
        engine.m_known.push_back({map, order.m_content, std::nullopt});
    }
}

void stage(rank_engine& engine, const engine_order& order, time_point now)
{
    const auto& wanted = order.m_target.m_map;
    if (engine.m_state.m_staged != wanted && engine.m_staging != wanted) {
        engine.m_staging = wanted;
        engine.m_staged_at = now + engine.m_stage_time;
        note_told(engine, order);
    }
}

bool hold(engine_state& state, const engine_order& order)
{
    const bool possible = state.m_can_hold && !state.m_switching &&
                          state.m_staged == order.m_target.m_map &&
                          state.m_step <= order.m_target.m_step;
    if (possible) {
        state.m_armed = order.m_target;
    }
    return possible;
}

/// The current map is used from the next step on.
void note_use(rank_engine& engine)
{
    for (auto& known : engine.m_known) {
        if (known.m_map == engine.m_state.m_current && !known.m_first_step) {
            known.m_first_step = engine.m_state.m_step;
        }
    }
}

bool switch_map(rank_engine& engine, const engine_order& order)
{
    auto& state = engine.m_state;
    if (state.m_can_hold && state.m_armed == order.m_target) {
        state.m_switching = true;
    }
    else if (!state.m_can_hold && state.m_staged == order.m_target.m_map) {
        state.m_current = order.m_target.m_map;
        note_use(engine);
    }
    return settled_map(state) == order.m_target.m_map;
}

bool apply(rank_engine& engine, const engine_order& order, time_point now)
{
    auto& state = engine.m_state;
    switch (order.m_kind) {
        case order_kind::read:
            return true;
        case order_kind::stage:
            stage(engine, order, now);
            return true;
        case order_kind::hold:
            return hold(state, order);
        case order_kind::switch_map:
            return switch_map(engine, order);
        case order_kind::release:
            break;
    }
    if (!state.m_switching && state.m_armed == order.m_target) {
        state.m_armed.reset();
    }
    return true;
}

}  // namespace

group_map::engine_answer obey(rank_engine& engine, const engine_order& order, time_point now)
{
    tick(engine, now);
    bool accepted = false;
    if (!engine.m_checks_fencing) {
        accepted = apply(engine, order, now);
    }
    else if (order.m_number > engine.m_highest) {
        engine.m_highest = order.m_number;
        accepted = apply(engine, order, now);
    }
    tick(engine, now);  // weights that take no time are here at once
    return {order.m_number, accepted, engine.m_highest, engine.m_state};
}

bool begin_step(rank_engine& engine)
{
    auto& state = engine.m_state;
    if (state.m_armed && state.m_armed->m_step == state.m_step) {
        if (!state.m_switching) {
            return false;
        }
        state.m_current = state.m_armed->m_map;
        note_use(engine);
        state.m_armed.reset();
        state.m_switching = false;
    }
    state.m_step = step_number(state.m_step.value() + 1);
    return true;
}

std::string content_of(const rank_engine& engine, const group_map::map_id& map)
{
    for (const auto& known : engine.m_known) {
        if (known.m_map == map && known.m_content) {
            return *known.m_content;
        }
    }
    return {};
}

void tick(rank_engine& engine, time_point now)
{
    if (now >= engine.m_staged_at) {
        engine.m_state.m_staged = engine.m_staging;
        engine.m_staged_at = no_deadline;
    }
}

}  // namespace dewbeam::fake_engine
