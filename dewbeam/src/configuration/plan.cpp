#include "dewbeam/src/configuration/plan.h"

#include <algorithm>
#include <array>
#include <set>

namespace dewbeam::configuration {

namespace {

using json = nlohmann::json;

/// All requirements of two selectors on one key, folded into what the key may be.
struct key_condition {
    bool m_may_be_absent = true;
    bool m_may_be_present = true;
    bool m_is_listed = false;  ///< the value must be one of `m_allowed`
    std::vector<std::string> m_allowed;
    std::vector<std::string> m_refused;
};

bool contains(const std::vector<std::string>& values, const std::string& wanted)
{
    return std::find(values.begin(), values.end(), wanted) != values.end();
}

void add_allowed(key_condition& condition, const std::vector<std::string>& values)
{
    condition.m_may_be_absent = false;
    if (!condition.m_is_listed) {
        condition.m_is_listed = true;
        condition.m_allowed = values;
        return;
    }
    std::erase_if(condition.m_allowed,
                  [&](const std::string& value) { return !contains(values, value); });
}

void add_requirement(key_condition& condition, const requirement& item)
{
    switch (item.m_kind) {
        case requirement_kind::in:
            add_allowed(condition, item.m_values);
            return;
        case requirement_kind::not_in:
            condition.m_refused.insert(condition.m_refused.end(), item.m_values.begin(),
                                       item.m_values.end());
            return;
        case requirement_kind::exists:
            condition.m_may_be_absent = false;
            return;
        case requirement_kind::not_exists:
            condition.m_may_be_present = false;
            return;
    }
}

/// What `key` may be where every one of the selectors matches.
key_condition condition_of(std::string_view key, std::span<const selector* const> selectors)
{
    key_condition condition;
    for (const auto* item : selectors) {
        for (const auto& requirement : item->m_requirements) {
            if (requirement.m_key == key) {
                add_requirement(condition, requirement);
            }
        }
    }
    return condition;
}

/// A value that meets the condition, or null where the key can't be present.
const std::string* find_value(const key_condition& condition)
{
    static const std::string any_value = "any";
    static const std::string other_value = "other-than-any";
    if (!condition.m_may_be_present) {
        return nullptr;
    }
    if (!condition.m_is_listed) {
        return contains(condition.m_refused, any_value) ? &other_value : &any_value;
    }
    for (const auto& value : condition.m_allowed) {
        if (!contains(condition.m_refused, value)) {
            return &value;
        }
    }
    return nullptr;
}

bool is_possible(const key_condition& condition)
{
    return condition.m_may_be_absent || find_value(condition) != nullptr;
}

/// The fewest labels that match the selector; where nothing can, labels that don't.
label_set example_labels(const selector& conditions)
{
    label_set labels;
    const std::array selectors{&conditions};
    for (const auto& item : conditions.m_requirements) {
        const auto condition = condition_of(item.m_key, selectors);
        const auto* value = find_value(condition);
        if (!condition.m_may_be_absent && value != nullptr) {
            labels.set(item.m_key, *value);
        }
    }
    return labels;
}

const std::string& name_of(const workspace& item)
{
    return item.m_name.value();
}

template <class Item>
const std::string& name_of(const Item& item)
{
    return item.m_name;
}

template <class Item>
const Item* find_item(const std::vector<Item>& items, const std::string& name)
{
    const auto place = std::find_if(items.begin(), items.end(),
                                    [&](const Item& item) { return name_of(item) == name; });
    return place == items.end() ? nullptr : &*place;
}

template <class Item>
void add_differences(std::vector<difference>& out, item_kind kind, const std::vector<Item>& before,
                     const std::vector<Item>& after)
{
    for (const auto& item : after) {
        const auto* old = find_item(before, name_of(item));
        if (old == nullptr) {
            out.push_back({kind, name_of(item), difference_kind::added});
        }
        else if (!(*old == item)) {
            out.push_back({kind, name_of(item), difference_kind::changed});
        }
    }
    for (const auto& item : before) {
        if (find_item(after, name_of(item)) == nullptr) {
            out.push_back({kind, name_of(item), difference_kind::removed});
        }
    }
}

std::vector<difference> differences(const document& before, const document& after)
{
    std::vector<difference> result;
    add_differences(result, item_kind::workspace, before.m_workspaces, after.m_workspaces);
    add_differences(result, item_kind::selector, before.m_selectors, after.m_selectors);
    add_differences(result, item_kind::upstream_labels, before.m_upstreams, after.m_upstreams);
    add_differences(result, item_kind::placement, before.m_placements, after.m_placements);
    if (before.m_tokens_required != after.m_tokens_required) {
        result.push_back({item_kind::tokens_required, "tokens_required", difference_kind::changed});
    }
    return result;
}

std::string reason_over(const work_selector& winner, const work_selector& loser)
{
    const auto over = [](auto a, auto b) {
        return std::to_string(a) + " over " + std::to_string(b);
    };
    if (winner.m_priority != loser.m_priority) {
        return "priority " + over(winner.m_priority, loser.m_priority);
    }
    const auto winner_size = winner.m_when.m_requirements.size();
    const auto loser_size = loser.m_when.m_requirements.size();
    if (winner_size != loser_size) {
        return "requirements " + over(winner_size, loser_size);
    }
    return "name before " + loser.m_name;
}

/// Whether a request that matches must have the label.
bool demands(const selector& conditions, std::string_view key)
{
    const std::array selectors{&conditions};
    return !condition_of(key, selectors).m_may_be_absent;
}

/// Whether one request can match both: an entry gives it a model or a service, never both.
bool can_share_requests(const selector& a, const selector& b)
{
    const bool is_split = (demands(a, "model") && demands(b, "service")) ||
                          (demands(a, "service") && demands(b, "model"));
    return !is_split && can_overlap(a, b);
}

precedence precedence_of(const document& rules, const work_selector& wanted)
{
    std::vector<const work_selector*> rivals;
    for (const auto& item : rules.m_selectors) {
        if (&item == &wanted || can_share_requests(item.m_when, wanted.m_when)) {
            rivals.push_back(&item);
        }
    }
    std::sort(rivals.begin(), rivals.end(),
              [](const auto* a, const auto* b) { return takes_precedence(*a, *b); });
    precedence result{wanted.m_name, {}};
    for (std::size_t i = 0; i < rivals.size(); ++i) {
        const bool is_last = i + 1 == rivals.size();
        result.m_order.push_back(
            {rivals[i]->m_name, is_last ? std::string() : reason_over(*rivals[i], *rivals[i + 1])});
    }
    return result;
}

/// An upstream under one document.
struct ruled_upstream {
    label_set m_labels;
    std::vector<model_id> m_models;
    bool m_takes_work = true;
};

std::vector<model_id> placed_models(const document& rules, const label_set& labels,
                                    const announced_upstream& upstream)
{
    bool is_placed = false;
    std::set<model_id> models;
    for (const auto& item : rules.m_placements) {
        if (matches(item.m_upstreams, labels)) {
            is_placed = true;
            models.insert(item.m_models.begin(), item.m_models.end());
        }
    }
    return is_placed ? std::vector<model_id>(models.begin(), models.end()) : upstream.m_models;
}

/// The upstreams as they are under the document in force, or will be under the next one.
std::vector<ruled_upstream> ruled_upstreams(const document& rules, bool is_in_force,
                                            std::span<const announced_upstream> upstreams)
{
    std::vector<ruled_upstream> result;
    for (const auto& item : upstreams) {
        auto labels = effective_labels(rules, item.m_labels);
        auto models = is_in_force ? item.m_models : placed_models(rules, labels, item);
        result.push_back({std::move(labels), std::move(models), takes_work(rules, item)});
    }
    return result;
}

bool has_model(const ruled_upstream& upstream, const model_id& model)
{
    const auto& models = upstream.m_models;
    return model.value().empty() || std::find(models.begin(), models.end(), model) != models.end();
}

std::size_t count_able(const std::vector<ruled_upstream>& upstreams, const work_selector* rule,
                       const model_id& model)
{
    if (rule == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(upstreams.begin(), upstreams.end(), [&](const ruled_upstream& item) {
            return item.m_takes_work && matches(rule->m_upstreams, item.m_labels) &&
                   has_model(item, model);
        }));
}

void add_models(std::set<model_id>& out, const std::vector<ruled_upstream>& upstreams,
                const work_selector* rule)
{
    if (rule == nullptr) {
        return;
    }
    if (!rule->m_model.value().empty()) {
        out.insert(rule->m_model);
        return;
    }
    for (const auto& item : upstreams) {
        if (!matches(rule->m_upstreams, item.m_labels)) {
            continue;
        }
        out.insert(item.m_models.begin(), item.m_models.end());
        if (item.m_models.empty()) {
            out.insert(model_id());
        }
    }
}

/// A document with the upstreams as they are under it.
struct scene {
    const document& m_rules;
    std::vector<ruled_upstream> m_upstreams;
};

/// The models that work can ask for under either rule; a lone empty one where there is none.
std::set<model_id> models_of(const scene& before, const work_selector* old_rule, const scene& after,
                             const work_selector* new_rule)
{
    std::set<model_id> models;
    const bool is_fixed = new_rule != nullptr && !new_rule->m_model.value().empty();
    if (!is_fixed) {
        add_models(models, before.m_upstreams, old_rule);
    }
    add_models(models, after.m_upstreams, new_rule);
    if (models.empty()) {
        models.insert(model_id());
    }
    return models;
}

std::vector<ability> abilities(const scene& before, const scene& after)
{
    std::vector<ability> result;
    std::set<std::string> names;
    for (const auto* rules : {&before.m_rules, &after.m_rules}) {
        for (const auto& item : rules->m_selectors) {
            names.insert(item.m_name);
        }
    }
    for (const auto& name : names) {
        const auto* old_rule = find_item(before.m_rules.m_selectors, name);
        const auto* new_rule = find_item(after.m_rules.m_selectors, name);
        for (const auto& model : models_of(before, old_rule, after, new_rule)) {
            result.push_back({name, model, count_able(before.m_upstreams, old_rule, model),
                              count_able(after.m_upstreams, new_rule, model)});
        }
    }
    return result;
}

/// The models that one kind of request can ask for. Entries label a request with its model or
/// its service, so labels that name one leave no choice.
std::set<model_id> models_of_kind(const label_set& labels, const scene& before,
                                  const work_selector* old_rule, const scene& after,
                                  const work_selector* new_rule)
{
    const bool is_fixed = new_rule != nullptr && !new_rule->m_model.value().empty();
    const auto* model = labels.find("model");
    if (model != nullptr && !is_fixed) {
        return {model_id(*model)};
    }
    if (labels.find("service") != nullptr) {
        return {model_id()};
    }
    return models_of(before, old_rule, after, new_rule);
}

/// Whether a selector of the document looks at `key`.
bool looks_at(const document& rules, std::string_view key)
{
    return std::any_of(
        rules.m_selectors.begin(), rules.m_selectors.end(), [&](const work_selector& item) {
            const auto& requirements = item.m_when.m_requirements;
            return std::any_of(requirements.begin(), requirements.end(),
                               [&](const requirement& one) { return one.m_key == key; });
        });
}

/// One kind of request: some workspace's, with labels.
struct request_kind {
    std::string m_workspace;
    label_set m_labels;
};

/// The kinds of requests that the selectors of both documents tell apart: an example for each
/// selector, alone and from each kind of workspace.
std::vector<request_kind> request_kinds(const document& before, const document& after)
{
    std::vector<label_set> examples{label_set()};
    for (const auto* rules : {&before, &after}) {
        for (const auto& item : rules->m_selectors) {
            examples.push_back(example_labels(item.m_when));
        }
    }
    const bool sees_names = looks_at(before, "workspace") || looks_at(after, "workspace");
    std::vector<request_kind> sources{request_kind()};
    std::set<std::string> seen_sources{""};
    for (const auto& item : after.m_workspaces) {
        auto labels = item.m_labels;
        if (sees_names) {
            labels.set("workspace", item.m_name.value());
        }
        if (seen_sources.insert(to_string(labels)).second) {
            sources.push_back({item.m_name.value(), std::move(labels)});
        }
    }
    std::vector<request_kind> result;
    std::set<std::string> seen;
    for (const auto& source : sources) {
        for (const auto& example : examples) {
            auto labels = merge_labels(example, source.m_labels);
            if (seen.insert(to_string(labels)).second) {
                result.push_back({source.m_workspace, std::move(labels)});
            }
        }
    }
    return result;
}

void add_stranded(plan_report& report, const scene& before, const scene& after,
                  const request_kind& kind)
{
    const auto* old_rule = resolve(before.m_rules, kind.m_labels);
    const auto* new_rule = resolve(after.m_rules, kind.m_labels);
    if (old_rule == nullptr && new_rule == nullptr) {
        return;
    }
    for (const auto& model : models_of_kind(kind.m_labels, before, old_rule, after, new_rule)) {
        if (count_able(after.m_upstreams, new_rule, model) != 0) {
            continue;
        }
        report.m_stranded.push_back(
            {kind.m_workspace, kind.m_labels, model,
             new_rule == nullptr ? std::string() : new_rule->m_name,
             count_able(before.m_upstreams, old_rule, model),
             new_rule == nullptr ? "no selector matches" : "no able upstream"});
    }
}

bool is_drained(const document& rules, const announced_upstream& upstream)
{
    const auto labels = effective_labels(rules, upstream.m_labels);
    const auto* drain = labels.find(drain_label);
    return drain != nullptr && *drain == "true";
}

/// The upstreams, where those that leave because they are drained count as staying: the document
/// alone then says whether they take work.
std::vector<announced_upstream> without_drains(const document& rules,
                                               std::span<const announced_upstream> upstreams)
{
    std::vector<announced_upstream> result(upstreams.begin(), upstreams.end());
    for (auto& item : result) {
        item.m_leaving = item.m_leaving && !is_drained(rules, item);
    }
    return result;
}

}  // namespace

bool can_overlap(const selector& a, const selector& b)
{
    const std::array selectors{&a, &b};
    for (const auto* item : selectors) {
        for (const auto& requirement : item->m_requirements) {
            if (!is_possible(condition_of(requirement.m_key, selectors))) {
                return false;
            }
        }
    }
    return true;
}

bool takes_work(const document& rules, const announced_upstream& upstream)
{
    return !upstream.m_leaving && !is_drained(rules, upstream);
}

plan_report plan(const json& current, const json& patch,
                 std::span<const announced_upstream> upstreams)
{
    plan_report report;
    json next = current;
    next.merge_patch(patch);
    const auto before = parse_document(current);
    const auto after = parse_document(next);
    if (!after.m_mistakes.empty()) {
        report.m_mistakes = after.m_mistakes;
        return report;
    }
    const auto staying = without_drains(before.m_document, upstreams);
    const scene old_scene{before.m_document, ruled_upstreams(before.m_document, true, staying)};
    const scene new_scene{after.m_document, ruled_upstreams(after.m_document, false, staying)};
    report.m_differences = differences(before.m_document, after.m_document);
    for (const auto& item : after.m_document.m_selectors) {
        report.m_precedence.push_back(precedence_of(after.m_document, item));
    }
    report.m_abilities = abilities(old_scene, new_scene);
    auto kinds = request_kinds(before.m_document, after.m_document);
    report.m_is_partial = kinds.size() > most_planned_requests;
    kinds.resize(std::min(kinds.size(), most_planned_requests));
    for (const auto& kind : kinds) {
        add_stranded(report, old_scene, new_scene, kind);
    }
    return report;
}

const char* to_string(item_kind value)
{
    switch (value) {
        case item_kind::workspace:
            return "workspace";
        case item_kind::selector:
            return "selector";
        case item_kind::upstream_labels:
            return "upstream labels";
        case item_kind::placement:
            return "placement";
        case item_kind::tokens_required:
            break;
    }
    return "tokens required";
}

const char* to_string(difference_kind value)
{
    switch (value) {
        case difference_kind::added:
            return "added";
        case difference_kind::changed:
            return "changed";
        case difference_kind::removed:
            break;
    }
    return "removed";
}

json to_json(const mistakes& items)
{
    json result = json::array();
    for (const auto& item : items) {
        result.push_back(
            {{"path", item.m_path}, {"value", item.m_value}, {"allowed", item.m_allowed}});
    }
    return result;
}

json to_json(const plan_report& report)
{
    json changes = json::array();
    for (const auto& item : report.m_differences) {
        changes.push_back({{"item", to_string(item.m_item)},
                           {"name", item.m_name},
                           {"change", to_string(item.m_kind)}});
    }
    json order = json::object();
    for (const auto& item : report.m_precedence) {
        for (const auto& step : item.m_order) {
            order[item.m_selector].push_back(
                {{"selector", step.m_selector}, {"reason", step.m_reason}});
        }
    }
    json able = json::array();
    for (const auto& item : report.m_abilities) {
        able.push_back({{"selector", item.m_selector},
                        {"model", item.m_model.value()},
                        {"before", item.m_before},
                        {"after", item.m_after}});
    }
    json stranded = json::array();
    for (const auto& item : report.m_stranded) {
        stranded.push_back({{"workspace", item.m_workspace},
                            {"labels", to_string(item.m_labels)},
                            {"model", item.m_model.value()},
                            {"selector", item.m_selector},
                            {"before", item.m_before},
                            {"reason", item.m_reason}});
    }
    return {{"mistakes", to_json(report.m_mistakes)},
            {"changes", changes},
            {"precedence", order},
            {"able_upstreams", able},
            {"stranded", stranded},
            {"partial", report.m_is_partial}};
}

}  // namespace dewbeam::configuration
