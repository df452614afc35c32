/// \file
/// Dry run of a change: what it would do to selectors, to upstreams and to requests.
#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "dewbeam/src/configuration/document.h"

namespace dewbeam::configuration {

/// An upstream as it announces itself now.
struct announced_upstream {
    upstream_id m_name;
    failure_domain_id m_failure_domain;
    label_set m_labels;
    std::vector<model_id> m_models;  ///< empty before a plain service
    bool m_leaving = false;
};

/// Which part of the document an item stands in.
enum class item_kind { workspace, selector, upstream_labels, placement, tokens_required };

/// What happens to an item.
enum class difference_kind { added, changed, removed };

/// One item of the document that the change touches.
struct difference {
    item_kind m_item = item_kind::selector;
    std::string m_name;
    difference_kind m_kind = difference_kind::changed;

    friend bool operator==(const difference&, const difference&) = default;
};

/// One of several selectors that the same request can match.
struct precedence_step {
    std::string m_selector;
    std::string m_reason;  ///< why it wins over the next one; empty for the last
};

/// A selector among those that it overlaps with, the winner first.
struct precedence {
    std::string m_selector;
    std::vector<precedence_step> m_order;  ///< holds the selector itself; never empty
};

/// Upstreams that can run a model under a selector.
struct ability {
    std::string m_selector;
    model_id m_model;  ///< empty: a plain service
    std::size_t m_before = 0;
    std::size_t m_after = 0;
};

/// Requests that would find no able upstream.
struct stranded_request {
    std::string m_workspace;   ///< one of the workspaces concerned; empty: a caller without one
    label_set m_labels;        ///< of the request, with the workspace's own
    model_id m_model;          ///< empty: a plain service
    std::string m_selector;    ///< that would take it; empty: none matches
    std::size_t m_before = 0;  ///< upstreams that can run it now
    std::string m_reason;
};

/// What a change would do. Where it holds mistakes, the rest is empty.
struct plan_report {
    mistakes m_mistakes;
    std::vector<difference> m_differences;
    std::vector<precedence> m_precedence;
    std::vector<ability> m_abilities;
    std::vector<stranded_request> m_stranded;
    bool m_is_partial = false;  ///< more kinds of requests than `most_planned_requests`
};

/// Kinds of requests that `plan` looks at before it says that it left some out.
inline constexpr std::size_t most_planned_requests = 20'000;

/// Works out what `patch` (RFC 7386) would do to `current`. The models of an upstream after the
/// change are those that its placements ask for, or those it announces where it has none.
plan_report plan(const nlohmann::json& current, const nlohmann::json& patch,
                 std::span<const announced_upstream> upstreams);

/// Whether one label set can match both selectors.
bool can_overlap(const selector& a, const selector& b);

/// Whether the upstream may take new work under these rules: it neither leaves nor is drained.
bool takes_work(const document& rules, const announced_upstream& upstream);

/// Names in reports.
const char* to_string(item_kind value);
const char* to_string(difference_kind value);

/// The JSON form of a report.
nlohmann::json to_json(const plan_report& report);

/// The JSON form of mistakes, as `POST /v1/changes` answers them.
nlohmann::json to_json(const mistakes& items);

}  // namespace dewbeam::configuration
