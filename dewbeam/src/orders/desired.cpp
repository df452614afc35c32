#include "dewbeam/src/orders/desired.h"

#include <algorithm>

namespace dewbeam::orders {

namespace {

/// Whether `held` serves for `wanted`, whose version may be open.
bool serves(const artifact& held, const artifact& wanted)
{
    return held.m_kind == wanted.m_kind && held.m_name == wanted.m_name &&
           (wanted.m_version.empty() || held.m_version == wanted.m_version);
}

void add(contents& to, artifact_kind kind, const std::string& name, const std::string& version)
{
    for (auto& item : to.m_artifacts) {
        if (item.m_kind == kind && item.m_name == name) {
            item.m_version = version.empty() ? item.m_version : version;
            return;
        }
    }
    to.m_artifacts.push_back({kind, name, version});
}

void apply(const configuration::placement& rule, desired_upstream& to)
{
    to.m_is_placed = true;
    for (const auto& model : rule.m_models) {
        add(to.m_contents, artifact_kind::model, model, rule.m_version);
    }
    for (const auto& adapter : rule.m_adapters) {
        add(to.m_contents, artifact_kind::adapter, adapter, rule.m_version);
    }
    if (!rule.m_role.empty()) {
        to.m_contents.m_role = rule.m_role;
    }
}

}  // namespace

std::vector<desired_upstream> desired_contents(const configuration::document& rules,
                                               const std::vector<observed_upstream>& upstreams)
{
    std::vector<desired_upstream> all;
    for (const auto& upstream : upstreams) {
        const auto labels = configuration::effective_labels(rules, upstream.m_labels);
        desired_upstream item{upstream.m_name, {}, false};
        for (const auto& rule : rules.m_placements) {
            if (configuration::matches(rule.m_upstreams, labels)) {
                apply(rule, item);
            }
        }
        std::sort(item.m_contents.m_artifacts.begin(), item.m_contents.m_artifacts.end());
        all.push_back(std::move(item));
    }
    return all;
}

std::vector<artifact> missing(const contents& have, const contents& wanted)
{
    std::vector<artifact> result;
    for (const auto& item : wanted.m_artifacts) {
        const auto is_served = [&](const artifact& held) { return serves(held, item); };
        if (std::none_of(have.m_artifacts.begin(), have.m_artifacts.end(), is_served)) {
            result.push_back(item);
        }
    }
    return result;
}

std::vector<artifact> superfluous(const contents& have, const contents& wanted)
{
    std::vector<artifact> result;
    for (const auto& held : have.m_artifacts) {
        const auto is_wanted = [&](const artifact& item) { return serves(held, item); };
        if (std::none_of(wanted.m_artifacts.begin(), wanted.m_artifacts.end(), is_wanted)) {
            result.push_back(held);
        }
    }
    return result;
}

bool meets(const contents& have, const contents& wanted)
{
    const bool is_role_right = wanted.m_role.empty() || have.m_role == wanted.m_role;
    return is_role_right && missing(have, wanted).empty() && superfluous(have, wanted).empty();
}

bool holds_model(const contents& have, const std::string& model)
{
    return std::any_of(have.m_artifacts.begin(), have.m_artifacts.end(), [&](const artifact& item) {
        return item.m_kind == artifact_kind::model && item.m_name == model;
    });
}

}  // namespace dewbeam::orders
