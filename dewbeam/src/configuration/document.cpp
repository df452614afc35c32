#include "dewbeam/src/configuration/document.h"

#include <algorithm>
#include <functional>

namespace dewbeam::configuration {

namespace {

using json = nlohmann::json;

/// Reads the fields of one JSON object and collects the mistakes.
class object_reader {
public:
    object_reader(const json& source, std::string path, mistakes& found)
        : m_source(source), m_path(std::move(path)), m_found(found)
    {
        if (!source.is_object()) {
            add("", source, "an object");
        }
    }

    ~object_reader() = default;
    object_reader(const object_reader&) = delete;
    object_reader& operator=(const object_reader&) = delete;
    object_reader(object_reader&&) = delete;
    object_reader& operator=(object_reader&&) = delete;

    void read(const char* key, std::string& out)
    {
        if (const auto* value = find(key)) {
            if (!value->is_string()) {
                add(key, *value, "a string");
                return;
            }
            out = value->get<std::string>();
        }
    }

    void read(const char* key, bool& out)
    {
        if (const auto* value = find(key)) {
            if (!value->is_boolean()) {
                add(key, *value, "true or false");
                return;
            }
            out = value->get<bool>();
        }
    }

    void read(const char* key, double& out, double least, double most)
    {
        if (const auto* value = find(key)) {
            if (!value->is_number() || value->get<double>() < least ||
                value->get<double>() > most) {
                add(key, *value,
                    "a number from " + json(least).dump() + " to " + json(most).dump());
                return;
            }
            out = value->get<double>();
        }
    }

    void read(const char* key, std::int64_t& out, std::int64_t least, std::int64_t most)
    {
        if (const auto* value = find(key)) {
            if (!value->is_number_integer() || value->get<std::int64_t>() < least ||
                value->get<std::int64_t>() > most) {
                add(key, *value,
                    "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
                return;
            }
            out = value->get<std::int64_t>();
        }
    }

    void read_milliseconds(const char* key, time_span& out, std::int64_t most)
    {
        auto count = std::chrono::duration_cast<std::chrono::milliseconds>(out).count();
        read(key, count, 0, most);
        out = std::chrono::milliseconds(count);
    }

    void read(const char* key, selector& out, bool is_required)
    {
        const auto* value = find(key);
        if (value == nullptr) {
            if (is_required && m_source.is_object()) {
                m_found.push_back({m_path + "/" + key, "a missing value", "a selector"});
            }
            return;
        }
        if (!value->is_string()) {
            add(key, *value, "a selector");
            return;
        }
        auto parsed = parse_selector(value->get_ref<const std::string&>());
        if (!parsed.ok()) {
            add(key, *value, std::string(parsed.status().message()));
            return;
        }
        out = *std::move(parsed);
    }

    void read(const char* key, label_set& out)
    {
        const auto* value = find(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_object()) {
            add(key, *value, "an object of labels");
            return;
        }
        for (const auto& [label_key, label_value] : value->items()) {
            const bool is_right = !label_key.empty() && is_label_part(label_key) &&
                                  label_value.is_string() &&
                                  is_label_part(label_value.get_ref<const std::string&>());
            if (!is_right) {
                m_found.push_back({m_path + "/" + key + "/" + label_key, excerpt(label_value),
                                   "a label of letters, digits, '.', '_', '-' and '/', at most 63 "
                                   "bytes"});
                continue;
            }
            out.set(label_key, label_value.get_ref<const std::string&>());
        }
    }

    void read(const char* key, std::vector<std::string>& out)
    {
        const auto* value = find(key);
        if (value == nullptr) {
            return;
        }
        const auto is_text = [](const json& item) { return item.is_string(); };
        if (!value->is_array() || !std::all_of(value->begin(), value->end(), is_text)) {
            add(key, *value, "a list of strings");
            return;
        }
        out = value->get<std::vector<std::string>>();
    }

    template <class Enum>
    void read_choice(const char* key, Enum& out, const std::map<std::string, Enum>& choices)
    {
        const auto* value = find(key);
        if (value == nullptr) {
            return;
        }
        const auto place =
            value->is_string() ? choices.find(value->get<std::string>()) : choices.end();
        if (place == choices.end()) {
            std::string allowed = "one of";
            for (const auto& [name, unused] : choices) {
                allowed += ' ' + name;
            }
            add(key, *value, allowed);
            return;
        }
        out = place->second;
    }

    const json* find(const char* key)
    {
        m_known.emplace_back(key);
        if (!m_source.is_object()) {
            return nullptr;
        }
        const auto place = m_source.find(key);
        return place == m_source.end() ? nullptr : &*place;
    }

    /// Names the keys that were never asked for.
    void finish()
    {
        if (!m_source.is_object()) {
            return;
        }
        for (const auto& [key, value] : m_source.items()) {
            if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
                add(key.c_str(), value, "no such key; known: " + known_keys());
            }
        }
    }

    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    void add(const char* key, const json& value, std::string allowed)
    {
        auto path = m_path;
        if (*key != '\0') {
            path += std::string("/") + key;
        }
        m_found.push_back({std::move(path), excerpt(value), std::move(allowed)});
    }

    [[nodiscard]] std::string known_keys() const
    {
        std::string text;
        for (const auto& key : m_known) {
            text += (text.empty() ? "" : " ") + key;
        }
        return text;
    }

    const json& m_source;
    std::string m_path;
    mistakes& m_found;
    std::vector<std::string> m_known;
};

constexpr double most_weight = 1000.0;
constexpr std::int64_t most_priority = 1'000'000;
constexpr std::int64_t longest_time_limit_ms = 3'600'000;
constexpr std::size_t token_hash_length = 64;

service_target read_target(const json& source, const std::string& path, mistakes& found)
{
    service_target target;
    object_reader reader(source, path, found);
    reader.read("availability", target.m_availability, 0.0, 0.999999);
    reader.read_milliseconds("latency_ms", target.m_latency, longest_time_limit_ms);
    reader.read("latency_share", target.m_latency_share, 0.0, 0.999999);
    reader.finish();
    return target;
}

work_selector read_work_selector(const std::string& name, object_reader& reader, mistakes& found)
{
    work_selector result;
    result.m_name = name;
    reader.read("priority", result.m_priority, -most_priority, most_priority);
    reader.read("when", result.m_when, true);
    reader.read("upstreams", result.m_upstreams, true);
    reader.read_choice<work_class>(
        "class", result.m_class,
        {{"urgent", work_class::urgent}, {"ordinary", work_class::ordinary}});
    std::string model;
    reader.read("model", model);
    result.m_model = model_id(model);
    reader.read("adapter", result.m_adapter);
    reader.read("version", result.m_version);
    reader.read("weight", result.m_weight, 0.001, most_weight);
    reader.read("idempotent", result.m_idempotent);
    reader.read("key_required", result.m_key_required);
    reader.read_milliseconds("time_limit_ms", result.m_time_limit, longest_time_limit_ms);
    reader.read_choice<balance_preference>(
        "balance", result.m_balance,
        {{"skew", balance_preference::skew}, {"cost", balance_preference::cost}});
    if (const auto* target = reader.find("target")) {
        result.m_target = read_target(*target, reader.path() + "/target", found);
    }
    return result;
}

bool is_token_hash(const std::string& text)
{
    return text.size() == token_hash_length &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

workspace read_workspace(const std::string& name, object_reader& reader, mistakes& found)
{
    workspace result;
    result.m_name = workspace_id(name);
    reader.read("labels", result.m_labels);
    reader.read("weight", result.m_weight, 0.001, most_weight);
    reader.read("token_hashes", result.m_token_hashes);
    for (const auto& hash : result.m_token_hashes) {
        if (!is_token_hash(hash)) {
            found.push_back({reader.path() + "/token_hashes", hash,
                             "the SHA-256 of a token as 64 lower case hex digits"});
        }
    }
    return result;
}

upstream_labels read_upstream_labels(const std::string& name, object_reader& reader,
                                     mistakes& /*found*/)
{
    upstream_labels result;
    result.m_name = name;
    reader.read("match", result.m_match, true);
    reader.read("labels", result.m_labels);
    return result;
}

placement read_placement(const std::string& name, object_reader& reader, mistakes& /*found*/)
{
    placement result;
    result.m_name = name;
    reader.read("upstreams", result.m_upstreams, true);
    reader.read("models", result.m_models);
    reader.read("adapters", result.m_adapters);
    reader.read("version", result.m_version);
    reader.read("role", result.m_role);
    return result;
}

/// Reads an object keyed by name. JSON objects are sorted here, so the result is too.
template <class Item>
void read_items(object_reader& top, const char* key, std::vector<Item>& out, mistakes& found,
                Item (*read_item)(const std::string&, object_reader&, mistakes&))
{
    const auto* items = top.find(key);
    if (items == nullptr) {
        return;
    }
    const std::string path = std::string("/") + key;
    if (!items->is_object()) {
        found.push_back({path, excerpt(*items), "an object keyed by name"});
        return;
    }
    for (const auto& [name, value] : items->items()) {
        const std::string item_path = path + "/" + name;
        if (name.empty() || !is_label_part(name)) {
            found.push_back({item_path, "'" + name + "'",
                             "a name of 1 to 63 letters, digits, '.', "
                             "'_', '-' or '/'"});
        }
        object_reader reader(value, item_path, found);
        out.push_back(read_item(name, reader, found));
        reader.finish();
    }
}

}  // namespace

parsed_document parse_document(const json& source)
{
    parsed_document result;
    object_reader reader(source, "", result.m_mistakes);
    auto& target = result.m_document;
    read_items(reader, "workspaces", target.m_workspaces, result.m_mistakes, read_workspace);
    read_items(reader, "selectors", target.m_selectors, result.m_mistakes, read_work_selector);
    read_items(reader, "upstreams", target.m_upstreams, result.m_mistakes, read_upstream_labels);
    read_items(reader, "placements", target.m_placements, result.m_mistakes, read_placement);
    reader.read("tokens_required", target.m_tokens_required);
    reader.finish();
    return result;
}

bool takes_precedence(const work_selector& a, const work_selector& b)
{
    if (a.m_priority != b.m_priority) {
        return a.m_priority > b.m_priority;
    }
    const auto a_size = a.m_when.m_requirements.size();
    const auto b_size = b.m_when.m_requirements.size();
    if (a_size != b_size) {
        return a_size > b_size;
    }
    return a.m_name < b.m_name;
}

const work_selector* resolve(const document& rules, const label_set& request_labels)
{
    const work_selector* best = nullptr;
    for (const auto& candidate : rules.m_selectors) {
        const bool is_match = matches(candidate.m_when, request_labels);
        if (is_match && (best == nullptr || takes_precedence(candidate, *best))) {
            best = &candidate;
        }
    }
    return best;
}

label_set effective_labels(const document& rules, const label_set& announced)
{
    label_set labels = announced;
    for (const auto& item : rules.m_upstreams) {
        if (matches(item.m_match, announced)) {
            labels = merge_labels(labels, item.m_labels);
        }
    }
    return labels;
}

const workspace* find_workspace(const document& rules, const workspace_id& name)
{
    const auto place = std::lower_bound(
        rules.m_workspaces.begin(), rules.m_workspaces.end(), name,
        [](const workspace& item, const workspace_id& wanted) { return item.m_name < wanted; });
    if (place == rules.m_workspaces.end() || place->m_name != name) {
        return nullptr;
    }
    return &*place;
}

}  // namespace dewbeam::configuration
