#include "dewbeam/src/engine/order_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "dewbeam/src/engine/json_object.h"

namespace dewbeam::engine {

namespace {

using internal::read_object;
using json = nlohmann::json;
using group_map::engine_state;
using group_map::map_id;
using group_map::order_kind;
using group_map::step_number;
using group_map::switch_point;

/// Names of the kinds, by their order.
constexpr std::array<const char*, 5> kind_names{"read", "stage", "hold", "switch", "release"};

absl::StatusOr<order_kind> kind_from(const std::string& name)
{
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        if (name == kind_names.at(i)) {
            return static_cast<order_kind>(i);
        }
    }
    return absl::InvalidArgumentError("unknown kind of order");
}

json to_json(const map_id& map)
{
    return {{"number", map.m_number}, {"content", map.m_content.value()}};
}

map_id map_from(const json& source)
{
    return {source.at("number").get<std::uint64_t>(),
            fingerprint(source.at("content").get<std::uint64_t>())};
}

json to_json(const switch_point& point)
{
    return {{"map", to_json(point.m_map)}, {"step", point.m_step.value()}};
}

switch_point point_from(const json& source)
{
    return {map_from(source.at("map")), step_number(source.at("step").get<std::uint64_t>())};
}

json to_json(const engine_state& state)
{
    return {{"group", state.m_group.value()},
            {"step", state.m_step.value()},
            {"current", to_json(state.m_current)},
            {"staged", to_json(state.m_staged)},
            {"armed", state.m_armed ? to_json(*state.m_armed) : json()},
            {"switching", state.m_switching},
            {"can_hold", state.m_can_hold},
            {"busy", state.m_busy}};
}

engine_state state_from(const json& source)
{
    engine_state state;
    state.m_group = incarnation(source.at("group").get<std::uint64_t>());
    state.m_step = step_number(source.at("step").get<std::uint64_t>());
    state.m_current = map_from(source.at("current"));
    state.m_staged = map_from(source.at("staged"));
    if (!source.at("armed").is_null()) {
        state.m_armed = point_from(source.at("armed"));
    }
    state.m_switching = source.at("switching").get<bool>();
    state.m_can_hold = source.at("can_hold").get<bool>();
    state.m_busy = source.at("busy").get<bool>();
    return state;
}

}  // namespace

std::string order_to_json(const group_map::engine_order& order)
{
    auto body = to_json(order.m_target);
    body["kind"] = kind_names.at(static_cast<std::size_t>(order.m_kind));
    body["fencing"] = order.m_number.value();
    if (order.m_content) {
        body["weights"] = *order.m_content;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<group_map::engine_order> order_from_json(const std::string& body)
{
    const auto read = [](const json& source) -> absl::StatusOr<group_map::engine_order> {
        const auto kind = kind_from(source.at("kind").get<std::string>());
        if (!kind.ok()) {
            return kind.status();
        }
        group_map::engine_order order;
        order.m_kind = *kind;
        order.m_number = fencing_number(source.at("fencing").get<std::uint64_t>());
        order.m_target = point_from(source);
        if (source.contains("weights")) {
            order.m_content =
                std::make_shared<const std::string>(source.at("weights").get<std::string>());
        }
        return order;
    };
    return read_object(body, read);
}

std::string answer_to_json(const group_map::engine_answer& answer)
{
    return json{{"fencing", answer.m_number.value()},
                {"accepted", answer.m_accepted},
                {"highest", answer.m_highest.value()},
                {"state", to_json(answer.m_state)}}
        .dump();
}

absl::StatusOr<group_map::engine_answer> answer_from_json(const std::string& body)
{
    const auto read = [](const json& source) -> absl::StatusOr<group_map::engine_answer> {
        group_map::engine_answer answer;
        answer.m_number = fencing_number(source.at("fencing").get<std::uint64_t>());
        answer.m_accepted = source.at("accepted").get<bool>();
        answer.m_highest = fencing_number(source.at("highest").get<std::uint64_t>());
        answer.m_state = state_from(source.at("state"));
        return answer;
    };
    return read_object(body, read);
}

}  // namespace dewbeam::engine
