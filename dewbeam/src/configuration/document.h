/// \file
/// The configuration document: what operators say, by labels and selectors only.
///
/// The JSON form holds four objects, each keyed by name, so that a change is a JSON merge patch
/// (RFC 7386):
///
/// \code{.json}
/// {"workspaces": {"arusha": {"labels": {"tier": "gold"}, "weight": 2, "token_hashes": []}},
///  "selectors":  {"alerts": {"when": "task=alert", "upstreams": "service=alerts",
///                            "class": "urgent", "idempotent": false}},
///  "upstreams":  {"canary": {"match": "host=h7", "labels": {"ring": "canary"}}},
///  "placements": {"ad-copy": {"upstreams": "pool=chat", "models": ["ad-copy"]}}}
/// \endcode
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/configuration/labels.h"
#include "dewbeam/src/configuration/selector.h"

namespace dewbeam::configuration {

/// An upstream with this label at `true` takes no new work.
inline constexpr std::string_view drain_label = "dewbeam/drain";

/// How urgent work is.
enum class work_class { urgent, ordinary };

/// What the expert planner weighs more.
enum class balance_preference { skew, cost };

/// What the operator promises for the work of one selector.
struct service_target {
    double m_availability = 0.999;            ///< share of requests that must succeed
    time_span m_latency = time_span::zero();  ///< limit for the first token; zero: none
    double m_latency_share = 0.95;            ///< share of requests that must meet the limit

    friend bool operator==(const service_target&, const service_target&) = default;
};

/// Which work goes to which upstreams, and how. `selectors` in the JSON form.
struct work_selector {
    std::string m_name;
    std::int64_t m_priority = 0;  ///< the greatest matching priority wins
    selector m_when;              ///< over the request's labels
    selector m_upstreams;         ///< over the upstream's labels
    work_class m_class = work_class::ordinary;
    model_id m_model;       ///< empty: the model that the request names
    std::string m_adapter;  ///< empty: none
    std::string m_version;  ///< empty: any
    double m_weight = 1.0;
    bool m_idempotent = true;
    bool m_key_required = false;  ///< refuse requests without an Idempotency-Key
    time_span m_time_limit = std::chrono::seconds(60);
    service_target m_target;
    balance_preference m_balance = balance_preference::skew;

    friend bool operator==(const work_selector&, const work_selector&) = default;
};

/// One customer of the deployment.
struct workspace {
    workspace_id m_name;
    label_set m_labels;  ///< added to each of its requests
    double m_weight = 1.0;
    std::vector<std::string> m_token_hashes;  ///< SHA-256 of its bearer tokens, in hex

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// Labels that an operator adds to the upstreams that match.
struct upstream_labels {
    std::string m_name;
    selector m_match;
    label_set m_labels;

    friend bool operator==(const upstream_labels&, const upstream_labels&) = default;
};

/// What the upstreams that match should have loaded.
struct placement {
    std::string m_name;
    selector m_upstreams;
    std::vector<std::string> m_models;
    std::vector<std::string> m_adapters;
    std::string m_version;
    std::string m_role;  ///< empty: leave it as it is

    friend bool operator==(const placement&, const placement&) = default;
};

/// A whole configuration. The vectors are sorted by name.
struct document {
    std::vector<workspace> m_workspaces;
    std::vector<work_selector> m_selectors;
    std::vector<upstream_labels> m_upstreams;
    std::vector<placement> m_placements;
    bool m_tokens_required = false;  ///< `"tokens_required"`: refuse callers without a token

    friend bool operator==(const document&, const document&) = default;
};

/// A document, or every mistake in it.
struct parsed_document {
    document m_document;
    mistakes m_mistakes;  ///< empty: the document is right
};

/// Reads the JSON form; names every mistake by its path.
parsed_document parse_document(const nlohmann::json& source);

/// Whether `a` wins over `b` where both match a request; `resolve` says by which rule.
bool takes_precedence(const work_selector& a, const work_selector& b);

/// The matching selector with the greatest priority; among equals the one with more
/// requirements in `when`; among those the first by name. Null where none matches.
const work_selector* resolve(const document& rules, const label_set& request_labels);

/// The labels that `announced` has after the document's `upstreams` were applied, in name order.
label_set effective_labels(const document& rules, const label_set& announced);

/// The workspace of that name, or null.
const workspace* find_workspace(const document& rules, const workspace_id& name);

}  // namespace dewbeam::configuration
