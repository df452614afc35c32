#include "dewbeam/src/entry/classify.h"

#include <nlohmann/json.hpp>

#include "dewbeam/burn"
#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/entry/refusals.h"

namespace dewbeam::entry {

namespace {

using json = nlohmann::json;

/// Replaces the model in the body of a completion by `model`.
std::string with_model(const std::string& body, const std::string& model)
{
    auto source = json::parse(body, nullptr, false);
    if (!source.is_object()) {
        return body;
    }
    source["model"] = model;
    return source.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// The workspace that a token belongs to, or null. All stored hashes are compared, so that the
/// elapsed time does not reveal the position of a match.
const configuration::workspace* workspace_of_token(const configuration::document& rules,
                                                   const std::string& token)
{
    const auto hash = caller::token_hash(token);
    const configuration::workspace* found = nullptr;
    for (const auto& workspace : rules.m_workspaces) {
        for (const auto& known : workspace.m_token_hashes) {
            if (caller::equal_in_constant_time(known, hash)) {
                found = &workspace;
            }
        }
    }
    return found;
}

void add_requirement(configuration::selector& conditions, const char* key, const std::string& value)
{
    if (!value.empty()) {
        conditions.m_requirements.push_back({key, configuration::requirement_kind::in, {value}});
    }
}

void apply_rule(const configuration::work_selector& rule, entry_request::facts& known)
{
    known.m_selector = rule.m_name;
    known.m_deadline = known.m_arrival + rule.m_time_limit;
    known.m_target = rule.m_target;
    known.m_idempotent = rule.m_idempotent;
    known.m_urgent = rule.m_class == configuration::work_class::urgent;
    auto& wanted = known.m_call;
    if (wanted.m_kind == caller::call_kind::service) {
        known.m_pool = service_pool(wanted.m_service);
        return;
    }
    const auto& model = rule.m_adapter.empty() ? rule.m_model.value() : rule.m_adapter;
    if (!model.empty() && model != wanted.m_model.value()) {
        known.m_caller_body = known.m_request.m_body;
        known.m_request.m_body = with_model(known.m_request.m_body, model);
    }
    if (!rule.m_model.value().empty()) {
        wanted.m_model = rule.m_model;
    }
    known.m_pool = model_pool(wanted.m_model);
}

}  // namespace

std::variant<classification, caller::error> classify(const configuration::document& rules,
                                                     const caller::call& wanted)
{
    const auto* workspace =
        wanted.m_bearer_token.empty() ? nullptr : workspace_of_token(rules, wanted.m_bearer_token);
    const bool is_refused = rules.m_tokens_required || !wanted.m_bearer_token.empty();
    if (workspace == nullptr && is_refused) {
        return not_authorized();
    }
    if (workspace == nullptr) {
        workspace = configuration::find_workspace(rules, workspace_id(wanted.m_workspace));
        if (workspace == nullptr && !wanted.m_workspace.empty()) {
            return unknown_workspace();
        }
    }
    const auto labels = caller::request_labels(wanted, workspace);
    const auto* rule = configuration::resolve(rules, labels);
    if (rule == nullptr) {
        return no_selector(labels);
    }
    if (rule->m_key_required && wanted.m_idempotency_key.empty()) {
        return key_required(rule->m_name);
    }
    return classification{rule, workspace};
}

void apply(const classification& found, configuration_version version, entry_request::facts& known)
{
    const auto* workspace = found.m_workspace;
    apply_rule(*found.m_rule, known);
    known.m_workspace = workspace == nullptr ? "" : workspace->m_name.value();
    known.m_workspace_class = burn::workspace_class(workspace);
    known.m_configuration = version;
}

bool needs_claim(const classification& found, const entry_request::facts& known)
{
    return !found.m_rule->m_idempotent && !known.m_call.m_idempotency_key.empty() && !known.m_claim;
}

dispatch::request_info to_request_info(const classification& found,
                                       const entry_request::facts& known)
{
    const auto& rule = *found.m_rule;
    const auto* workspace = found.m_workspace;
    dispatch::request_info info;
    info.m_ticket = known.m_ticket;
    info.m_selector = rule.m_name;
    info.m_selector_weight = rule.m_weight;
    info.m_class = rule.m_class;
    info.m_upstreams = rule.m_upstreams;
    add_requirement(info.m_upstreams, "version", rule.m_version);
    info.m_idempotent = rule.m_idempotent;
    info.m_prompt_tokens = known.m_call.m_prompt_tokens;
    info.m_output_tokens = known.m_call.m_output_tokens;
    info.m_prefix = known.m_call.m_prefix;
    info.m_fingerprint = known.m_call.m_content;
    info.m_arrival = known.m_arrival;
    info.m_deadline = known.m_deadline;
    if (workspace != nullptr) {
        info.m_workspace = workspace->m_name;
        info.m_workspace_weight = workspace->m_weight;
    }
    return info;
}

}  // namespace dewbeam::entry
