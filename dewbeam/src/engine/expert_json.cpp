#include "dewbeam/src/engine/expert_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dewbeam/src/engine/json_object.h"

namespace dewbeam::engine {

namespace {

using experts::expert_map;
using experts::group_counts;
using experts::group_shape;
using internal::read_object;
using json = nlohmann::json;

/// No engine has more experts, layers or slots; bounds what a wrong body may make us allocate.
constexpr std::uint32_t most_of_a_kind = 65'536;

std::uint32_t read_size(const json& source, const char* key)
{
    const auto value = source.at(key).get<std::int64_t>();
    const bool fits = value >= 1 && value <= most_of_a_kind;
    return fits ? static_cast<std::uint32_t>(value) : 0;
}

/// Whether every size was read and the slots of a layer hold each expert.
bool is_possible(const group_shape& shape)
{
    const auto slots = std::uint64_t{shape.m_ranks} * shape.m_slots_per_rank;
    return shape.m_layers > 0 && shape.m_experts > 0 && slots >= shape.m_experts &&
           slots <= most_of_a_kind;
}

absl::StatusOr<expert_map> read_map(const json& source)
{
    expert_map map;
    const auto& layers = source.at("layers");
    map.m_shape = {read_size(source, "ranks"), read_size(source, "slots_per_rank"),
                   read_size(source, "experts"), static_cast<std::uint32_t>(layers.size())};
    if (!is_possible(map.m_shape)) {
        return absl::InvalidArgumentError("the sizes of an expert map must fit");
    }
    for (const auto& layer : layers) {
        experts::layer_map slots;
        for (const auto& expert : layer) {
            slots.emplace_back(expert.get<std::uint32_t>());
        }
        map.m_layers.push_back(std::move(slots));
    }
    if (!is_complete(map)) {
        return absl::InvalidArgumentError("an expert map must hold each expert in each layer");
    }
    return map;
}

absl::StatusOr<group_counts> read_counts(const json& source, const group_shape& shape)
{
    const auto& flat = source.at("counts");
    if (!flat.is_array() || flat.size() != std::size_t{shape.m_layers} * shape.m_experts) {
        return absl::InvalidArgumentError("there must be one count for each expert of each layer");
    }
    group_counts counts(shape.m_layers);
    for (std::size_t i = 0; i < flat.size(); ++i) {
        const auto tokens = flat[i].get<double>();
        if (tokens < 0) {
            return absl::InvalidArgumentError("a count must not be negative");
        }
        counts[i / shape.m_experts].push_back(tokens);
    }
    return counts;
}

absl::StatusOr<expert_report> read_report(const json& source)
{
    expert_report report;
    report.m_map_version = source.at("map_version").get<std::uint64_t>();
    report.m_map = source.value("map", "");
    report.m_shape.m_layers = read_size(source, "layers");
    report.m_shape.m_experts = read_size(source, "experts");
    report.m_shape.m_slots_per_rank = read_size(source, "slots_per_rank");
    const auto& shape = report.m_shape;
    if (shape.m_layers == 0 || shape.m_experts == 0 || shape.m_slots_per_rank == 0) {
        return absl::InvalidArgumentError("the sizes of a report must fit");
    }
    report.m_steps = source.at("steps").get<std::uint64_t>();
    report.m_step_time = time_span(source.at("step_us").get<std::int64_t>());
    auto counts = read_counts(source, shape);
    if (!counts.ok()) {
        return counts.status();
    }
    report.m_counts = *std::move(counts);
    return report;
}

}  // namespace

std::string map_to_json(const expert_map& map)
{
    json layers = json::array();
    for (const auto& layer : map.m_layers) {
        json slots = json::array();
        for (const auto expert : layer) {
            slots.push_back(expert.value());
        }
        layers.push_back(std::move(slots));
    }
    return json{{"ranks", map.m_shape.m_ranks},
                {"slots_per_rank", map.m_shape.m_slots_per_rank},
                {"experts", map.m_shape.m_experts},
                {"layers", std::move(layers)}}
        .dump();
}

absl::StatusOr<expert_map> map_from_json(const std::string& body)
{
    return read_object(body, read_map);
}

std::string report_to_json(const expert_report& report)
{
    json counts = json::array();
    for (const auto& layer : report.m_counts) {
        for (const double tokens : layer) {
            counts.push_back(tokens);
        }
    }
    return json{{"map_version", report.m_map_version},
                {"map", report.m_map},
                {"layers", report.m_shape.m_layers},
                {"experts", report.m_shape.m_experts},
                {"slots_per_rank", report.m_shape.m_slots_per_rank},
                {"counts", std::move(counts)},
                {"steps", report.m_steps},
                {"step_us", report.m_step_time.count()}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<expert_report> report_from_json(const std::string& body)
{
    return read_object(body, read_report);
}

}  // namespace dewbeam::engine
