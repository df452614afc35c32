#include "dewbeam/src/configuration/store.h"

#include <algorithm>

namespace dewbeam::configuration {

namespace {

using json = nlohmann::json;

std::uint64_t content_of(const change& wanted)
{
    return combine_hash(wanted.m_base, stable_hash(wanted.m_patch.dump()));
}

const accepted_change* find_change(const store& state, const std::string& id)
{
    const auto place = std::find_if(state.m_history.begin(), state.m_history.end(),
                                    [&](const accepted_change& item) { return item.m_id == id; });
    return place == state.m_history.end() ? nullptr : &*place;
}

std::string winner_of(const store& state, std::uint64_t number)
{
    for (const auto& item : state.m_history) {
        if (item.m_number == number) {
            return item.m_id;
        }
    }
    return state.m_history.empty() ? std::string() : state.m_history.back().m_id;
}

change_result conflict(const store& state, std::string winner)
{
    change_result result;
    result.m_status = change_status::conflict;
    result.m_number = state.m_number;
    result.m_winner = std::move(winner);
    return result;
}

void remember(store& state, accepted_change accepted)
{
    state.m_history.push_back(std::move(accepted));
    if (state.m_history.size() > most_remembered_changes) {
        state.m_history.pop_front();
    }
}

/// A change and a stored state hold the document one level deep.
constexpr std::size_t max_depth = max_json_depth + 1;

/// The parsed text; discarded where it is no JSON or nests too deeply.
json parse_bounded(std::string_view text)
{
    auto parsed = parse_json(text, max_depth);
    return parsed.ok() ? *std::move(parsed) : json(json::value_t::discarded);
}

}  // namespace

change_result apply(store& state, const change& wanted, configuration_version position)
{
    if (const auto* known = find_change(state, wanted.m_id)) {
        if (known->m_content != content_of(wanted)) {
            return conflict(state, known->m_id);
        }
        return {change_status::accepted, known->m_number, {}, {}};
    }
    if (wanted.m_base != state.m_number) {
        return conflict(state, winner_of(state, wanted.m_base + 1));
    }
    json next = state.m_source;
    next.merge_patch(wanted.m_patch);
    auto parsed = parse_document(next);
    if (!parsed.m_mistakes.empty()) {
        return {change_status::invalid, state.m_number, {}, std::move(parsed.m_mistakes)};
    }
    state.m_source = std::move(next);
    ++state.m_number;
    state.m_version = position;
    remember(state, {wanted.m_id, state.m_number, content_of(wanted)});
    return {change_status::accepted, state.m_number, {}, {}};
}

std::string encode(const change& wanted)
{
    return json{{"id", wanted.m_id}, {"base", wanted.m_base}, {"patch", wanted.m_patch}}.dump();
}

absl::StatusOr<change> decode_change(std::string_view text)
{
    const auto source = parse_bounded(text);
    const bool is_right = source.is_object() && source.contains("id") && source["id"].is_string() &&
                          !source["id"].get_ref<const std::string&>().empty() &&
                          source.contains("base") && source["base"].is_number_unsigned() &&
                          source.contains("patch") && source["patch"].is_object();
    if (!is_right) {
        return absl::InvalidArgumentError(
            "a change is not allowed in this form; allowed: an object with \"id\" (a string that "
            "is not empty), \"base\" (a whole number from 0) and \"patch\" (an object)");
    }
    return change{source["id"], source["base"], source["patch"]};
}

std::string encode(const store& state)
{
    json history = json::array();
    for (const auto& item : state.m_history) {
        history.push_back(
            {{"id", item.m_id}, {"number", item.m_number}, {"content", item.m_content}});
    }
    return json{{"number", state.m_number},
                {"term", state.m_version.m_term},
                {"index", state.m_version.m_index},
                {"source", state.m_source},
                {"history", history}}
        .dump();
}

absl::StatusOr<store> decode_store(std::string_view text)
{
    const auto source = parse_bounded(text);
    if (!source.is_object()) {
        return absl::DataLossError("the configuration state is not a JSON object");
    }
    try {
        store state;
        state.m_number = source.at("number").get<std::uint64_t>();
        state.m_version = {source.at("term").get<std::uint64_t>(),
                           source.at("index").get<std::uint64_t>()};
        state.m_source = source.at("source");
        for (const auto& item : source.at("history")) {
            state.m_history.push_back({item.at("id").get<std::string>(),
                                       item.at("number").get<std::uint64_t>(),
                                       item.at("content").get<std::uint64_t>()});
        }
        return state;
    }
    catch (const json::exception& error) {
        return absl::DataLossError(std::string("the configuration state is damaged: ") +
                                   error.what());
    }
}

}  // namespace dewbeam::configuration
