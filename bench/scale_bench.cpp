// Decisions at today's size and at the two-year size: what each costs, and its slope.
#include <chrono>
#include <functional>

#include "bench/planning_common/expert_traffic.h"
#include "bench/planning_common/json_line.h"
#include "dewbeam/configuration"
#include "dewbeam/membership"
#include "dewbeam/orders"

namespace dewbeam::bench {
namespace {

using namespace std::chrono_literals;

/// Mean real time of one call in microseconds; runs for about a fifth of a second.
double microseconds_per_call(const std::function<void()>& call)
{
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t calls = 0;
    auto spent = begin - begin;
    while (spent < 200ms) {
        call();
        ++calls;
        spent = std::chrono::steady_clock::now() - begin;
    }
    return std::chrono::duration<double, std::micro>(spent).count() / static_cast<double>(calls);
}

/// Growth per unit between two sizes.
double slope(double small, double large, double small_size, double large_size)
{
    return rounded((large - small) / (large_size - small_size));
}

struct configuration_size {
    std::uint32_t m_workspaces = 0;
    std::uint32_t m_selectors = 0;
    std::uint32_t m_upstream_rules = 0;
};

/// A document as an operator would write one: a selector matches a task, some also a tier.
nlohmann::json make_document(const configuration_size& size)
{
    nlohmann::json source = {{"workspaces", nlohmann::json::object()},
                             {"selectors", nlohmann::json::object()},
                             {"upstreams", nlohmann::json::object()}};
    for (std::uint32_t i = 0; i < size.m_workspaces; ++i) {
        source["workspaces"]["workspace-" + std::to_string(i)] = {
            {"labels",
             {{"tier", i % 10 == 0 ? "gold" : "plain"}, {"city", "c" + std::to_string(i % 40)}}},
            {"weight", 1 + i % 3}};
    }
    for (std::uint32_t i = 0; i < size.m_selectors; ++i) {
        const auto when = "task=t" + std::to_string(i / 2) + (i % 2 == 0 ? "" : ",tier in (gold)");
        source["selectors"]["selector-" + std::to_string(i)] = {
            {"when", when}, {"upstreams", "pool=p" + std::to_string(i % 5)}, {"priority", i % 3}};
    }
    for (std::uint32_t i = 0; i < size.m_upstream_rules; ++i) {
        source["upstreams"]["rule-" + std::to_string(i)] = {{"match", "host=h" + std::to_string(i)},
                                                            {"labels", {{"ring", "canary"}}}};
    }
    return source;
}

json configuration_row(const configuration_size& size)
{
    const auto source = make_document(size);
    const auto parsed = configuration::parse_document(source);
    require(parsed.m_mistakes.empty(), "the bench's document is right");
    const auto& rules = parsed.m_document;
    std::uint32_t turn = 0;
    const auto resolve_one = [&] {
        configuration::label_set labels;
        labels.set("task", "t" + std::to_string(turn++ % std::max(1U, size.m_selectors / 2)));
        labels.set("tier", "gold");
        labels.set("model", "ad-copy");
        require(configuration::resolve(rules, labels) != nullptr, "a selector matches");
    };
    const auto label_one = [&] {
        const auto labels =
            configuration::parse_labels("host=h" + std::to_string(turn++ % 620) + ",pool=p1")
                .value();
        require(!configuration::effective_labels(rules, labels).empty(), "labels stay");
    };
    const auto find_one = [&] {
        const workspace_id name("workspace-" + std::to_string(turn++ % size.m_workspaces));
        require(configuration::find_workspace(rules, name) != nullptr, "the workspace is there");
    };
    return {{"workspaces", size.m_workspaces},
            {"selectors", size.m_selectors},
            {"upstream_rules", size.m_upstream_rules},
            {"document_bytes", source.dump().size()},
            {"parse_ms",
             rounded(microseconds_per_call([&] { configuration::parse_document(source); }) / 1000)},
            {"resolve_us", rounded(microseconds_per_call(resolve_one))},
            {"effective_labels_us", rounded(microseconds_per_call(label_one))},
            {"find_workspace_us", rounded(microseconds_per_call(find_one))}};
}

json configuration_rows()
{
    json rows;
    for (const auto& size : std::vector<configuration_size>{
             {10, 10, 5}, {1000, 50, 50}, {8200, 50, 50}, {8200, 200, 200}, {8200, 800, 500}}) {
        rows.push_back(configuration_row(size));
    }
    return {
        {"rows", rows},
        {"resolve_us_per_selector", slope(rows[2]["resolve_us"], rows[4]["resolve_us"], 50, 800)},
        {"resolve_us_per_1000_workspaces",
         slope(rows[1]["resolve_us"], rows[2]["resolve_us"], 1, 8.2)},
        {"document_bytes_per_workspace",
         slope(rows[1]["document_bytes"], rows[2]["document_bytes"], 1000, 8200)},
        {"parse_us_per_workspace", slope(rows[1]["parse_ms"].get<double>() * 1000,
                                         rows[2]["parse_ms"].get<double>() * 1000, 1000, 8200)}};
}

/// One plan from a map in which nothing was ever moved, and one when all is even.
json expert_row(const experts::group_shape& shape)
{
    expert_traffic traffic(shape, drift::slow, 128, 7);
    experts::planner_options options;
    auto state = make_planner(options, experts::initial_map(shape), time_point{});
    auto now = time_point{};
    const auto observe = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
            now += 1s;
            const auto second =
                std::chrono::duration_cast<std::chrono::seconds>(now - time_point{});
            experts::observe(state, {traffic.next(second.count(), 150), 150, 1s, {}, false}, now);
        }
    };
    observe(10);
    const auto begin = std::chrono::steady_clock::now();
    auto item = experts::decide(state, now);
    const auto first = std::chrono::steady_clock::now() - begin;
    for (int i = 0; i < 20 && item; ++i) {
        experts::settle(state, *item, true, now);
        observe(4);
        item = experts::decide(state, now);
    }
    const auto counts = traffic.next(1000, 150);
    const double observing = microseconds_per_call([&] {
        now += 1s;
        experts::observe(state, {counts, 150, 1s, {}, false}, now);
    });
    const auto slots = experts::slots_per_layer(shape) * shape.m_layers;
    return {
        {"ranks", shape.m_ranks},
        {"layers", shape.m_layers},
        {"slots", slots},
        {"worst_plan_ms", rounded(std::chrono::duration<double, std::milli>(first).count())},
        {"observe_us", rounded(observing)},
        {"state_bytes", std::size_t{3} * slots * sizeof(experts::expert_id) +
                            std::size_t{6} * shape.m_experts * shape.m_layers * sizeof(double)}};
}

json expert_rows()
{
    json rows;
    for (const auto& shape : std::vector<experts::group_shape>{
             {16, 10, 128, 60}, {64, 3, 128, 60}, {128, 2, 128, 60}, {256, 2, 128, 60}}) {
        rows.push_back(expert_row(shape));
    }
    return {{"rows", rows},
            {"worst_plan_ms_per_rank",
             slope(rows[2]["worst_plan_ms"], rows[3]["worst_plan_ms"], 128, 256)}};
}

json order_row(std::uint32_t upstreams, std::uint32_t domains)
{
    std::vector<orders::observed_upstream> observed;
    std::vector<orders::desired_upstream> desired;
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        orders::observed_upstream item;
        item.m_name = upstream_id("upstream-" + std::to_string(i));
        item.m_failure_domain = failure_domain_id("domain-" + std::to_string(i % domains));
        const auto model = "model-" + std::to_string(i / domains % 5);
        item.m_contents.m_artifacts = {{orders::artifact_kind::model, model, "1"}};
        observed.push_back(item);
        desired.push_back({item.m_name, {{{orders::artifact_kind::model, model, "2"}}, ""}, true});
    }
    auto state = orders::make_planner({}, 1, true, time_point{});
    auto now = time_point{};
    const double stepping = microseconds_per_call([&] {
        now += 1ms;
        orders::step(state, desired, observed, now);
    });
    return {{"upstreams", upstreams}, {"step_us", rounded(stepping)}};
}

json order_rows()
{
    json rows;
    for (const auto& upstreams : {15U, 155U, 620U}) {
        rows.push_back(order_row(upstreams, upstreams == 15 ? 3 : 5));
    }
    return {{"rows", rows},
            {"step_us_per_upstream", slope(rows[1]["step_us"], rows[2]["step_us"], 155, 620)}};
}

int main_of_bench()
{
    return print({{"bench", "scale"},
                  {"configuration", configuration_rows()},
                  {"experts", expert_rows()},
                  {"orders", order_rows()},
                  {"membership", "bench membership"}});
}

}  // namespace
}  // namespace dewbeam::bench

int main()
{
    return dewbeam::bench::main_of_bench();
}
