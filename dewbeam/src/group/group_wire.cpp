#include "dewbeam/src/group/group_wire.h"

#include <utility>

namespace dewbeam::group {

namespace {

using group_map::command_kind;

void write(const group_map::map_id& from, wire::MapId& to)
{
    to.set_number(from.m_number);
    to.set_content(from.m_content.value());
}

group_map::map_id read(const wire::MapId& from)
{
    return {from.number(), fingerprint(from.content())};
}

void write(const group_map::switch_point& from, wire::SwitchPoint& to)
{
    write(from.m_map, *to.mutable_map());
    to.set_step(from.m_step.value());
}

group_map::switch_point read(const wire::SwitchPoint& from)
{
    return {read(from.map()), group_map::step_number(from.step())};
}

void write(const group_map::epoch& from, wire::GroupEpoch& to)
{
    to.set_number(from.m_number);
    to.set_rank(from.m_rank.value());
    to.set_incarnation(from.m_incarnation.value());
}

group_map::epoch read(const wire::GroupEpoch& from)
{
    return {from.number(), rank_id(from.rank()), incarnation(from.incarnation())};
}

wire::GroupCommand::Kind to_wire(command_kind kind)
{
    switch (kind) {
        case command_kind::collect:
            return wire::GroupCommand::KIND_COLLECT;
        case command_kind::confirm:
            return wire::GroupCommand::KIND_CONFIRM;
        case command_kind::stage:
            return wire::GroupCommand::KIND_STAGE;
        case command_kind::arm:
            return wire::GroupCommand::KIND_ARM;
        case command_kind::commit:
            return wire::GroupCommand::KIND_COMMIT;
        case command_kind::release:
            break;
    }
    return wire::GroupCommand::KIND_RELEASE;
}

std::optional<command_kind> from_wire(wire::GroupCommand::Kind kind)
{
    switch (kind) {
        case wire::GroupCommand::KIND_COLLECT:
            return command_kind::collect;
        case wire::GroupCommand::KIND_CONFIRM:
            return command_kind::confirm;
        case wire::GroupCommand::KIND_STAGE:
            return command_kind::stage;
        case wire::GroupCommand::KIND_ARM:
            return command_kind::arm;
        case wire::GroupCommand::KIND_COMMIT:
            return command_kind::commit;
        case wire::GroupCommand::KIND_RELEASE:
            return command_kind::release;
        default:
            return std::nullopt;
    }
}

void write_engine(const group_map::engine_state& from, wire::GroupReport& to)
{
    to.set_group_incarnation(from.m_group.value());
    to.set_step(from.m_step.value());
    write(from.m_current, *to.mutable_current());
    write(from.m_staged, *to.mutable_staged());
    if (from.m_armed) {
        write(*from.m_armed, *to.mutable_armed());
    }
    to.set_switching(from.m_switching);
    to.set_can_hold(from.m_can_hold);
    to.set_busy(from.m_busy);
}

group_map::engine_state read_engine(const wire::GroupReport& from)
{
    group_map::engine_state to;
    to.m_group = incarnation(from.group_incarnation());
    to.m_step = group_map::step_number(from.step());
    to.m_current = read(from.current());
    to.m_staged = read(from.staged());
    if (from.has_armed()) {
        to.m_armed = read(from.armed());
    }
    to.m_switching = from.switching();
    to.m_can_hold = from.can_hold();
    to.m_busy = from.busy();
    return to;
}

}  // namespace

wire::GroupMessage to_wire(const std::string& group, rank_id from,
                           const group_map::command& message)
{
    wire::GroupMessage result;
    result.set_group(group);
    result.set_from_rank(from.value());
    result.set_to_rank(message.m_to.value());
    auto& body = *result.mutable_command();
    body.set_kind(to_wire(message.m_kind));
    write(message.m_epoch, *body.mutable_epoch());
    body.set_round(message.m_round.value());
    body.set_agent_incarnation(message.m_life.m_agent.value());
    body.set_group_incarnation(message.m_life.m_group.value());
    write(message.m_target, *body.mutable_target());
    if (message.m_content) {
        body.set_content(*message.m_content);
    }
    return result;
}

wire::GroupMessage to_wire(const std::string& group, const group_map::report& message)
{
    wire::GroupMessage result;
    result.set_group(group);
    result.set_from_rank(message.m_from.value());
    result.set_to_rank(message.m_to.value());
    auto& body = *result.mutable_report();
    write(message.m_promised, *body.mutable_promised());
    body.set_round(message.m_round.value());
    body.set_agent_incarnation(message.m_life.m_agent.value());
    body.set_refused(message.m_refused);
    write_engine(message.m_engine, body);
    return result;
}

std::optional<group_map::command> command_from_wire(const wire::GroupMessage& message)
{
    if (!message.has_command()) {
        return std::nullopt;
    }
    const auto& body = message.command();
    const auto kind = from_wire(body.kind());
    if (!kind) {
        return std::nullopt;
    }
    group_map::command result;
    result.m_kind = *kind;
    result.m_epoch = read(body.epoch());
    result.m_round = group_map::round_number(body.round());
    result.m_to = rank_id(message.to_rank());
    result.m_life = {incarnation(body.agent_incarnation()), incarnation(body.group_incarnation())};
    result.m_target = read(body.target());
    if (*kind == command_kind::stage) {
        result.m_content = std::make_shared<const std::string>(body.content());
    }
    return result;
}

std::optional<group_map::report> report_from_wire(const wire::GroupMessage& message)
{
    if (!message.has_report()) {
        return std::nullopt;
    }
    const auto& body = message.report();
    group_map::report result;
    result.m_from = rank_id(message.from_rank());
    result.m_to = rank_id(message.to_rank());
    result.m_promised = read(body.promised());
    result.m_round = group_map::round_number(body.round());
    result.m_refused = body.refused();
    result.m_engine = read_engine(body);
    result.m_life = {incarnation(body.agent_incarnation()), result.m_engine.m_group};
    return result;
}

}  // namespace dewbeam::group
