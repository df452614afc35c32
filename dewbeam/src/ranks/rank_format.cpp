#include "dewbeam/src/ranks/rank_format.h"

#include <nlohmann/json.hpp>

namespace dewbeam::ranks {

const char* to_string(rank_order::kind value)
{
    switch (value) {
        case rank_order::kind::prepare:
            return "prepare";
        case rank_order::kind::arm:
            return "arm";
        case rank_order::kind::disarm:
            return "disarm";
        case rank_order::kind::hold:
            return "hold";
        case rank_order::kind::go:
            break;
    }
    return "go";
}

std::string to_json(const placement& from)
{
    return nlohmann::json(from).dump();
}

absl::StatusOr<placement> placement_from_json(const std::string& text)
{
    const auto parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const auto& source = *parsed;
    const auto is_list_of = [](const nlohmann::json& list, auto&& is_item) {
        return list.is_array() && std::all_of(list.begin(), list.end(), is_item);
    };
    const auto is_expert = [](const nlohmann::json& item) { return item.is_number_unsigned(); };
    const auto is_rank = [&](const nlohmann::json& item) { return is_list_of(item, is_expert); };
    const auto is_layer = [&](const nlohmann::json& item) { return is_list_of(item, is_rank); };
    if (!is_list_of(source, is_layer)) {
        return absl::InvalidArgumentError(
            "placement is not an array of layers, each an array of ranks with expert numbers");
    }
    return source.get<placement>();
}

}  // namespace dewbeam::ranks
