/// \file
/// The route book: a whole configuration for work that is told apart by host and path.
///
/// A route is named by its host and a path prefix; the longest prefix that begins the path wins.
/// Its work goes to one of its targets, drawn by weight. A book is built once, checked, indexed and
/// never changed after that, so that many threads can read it.
///
/// \code
/// book rules = read(bytes);
/// if (const auto wrong = check(rules); !wrong.empty()) { refuse(wrong); }
/// index(rules);
/// const auto* found = find_route(rules, "api.example", "/alerts/7");
/// \endcode
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/revisions"

namespace dewbeam::routes {

/// What may be done with a request whose end is not known.
enum class work_kind {
    safe,       ///< may run more than once
    unsafe,     ///< may run at most once
    streaming,  ///< answers with events; may run at most once unless it can be resumed
};

/// A service that a route's work may go to.
struct weighted_target {
    std::string m_service;
    std::uint32_t m_weight = 1;
};

/// Work under one host and path prefix.
struct route {
    std::string m_name;
    std::string m_host;         ///< lower case, without a port
    std::string m_path_prefix;  ///< begins and ends with a slash
    work_kind m_kind = work_kind::unsafe;
    time_span m_time_limit{};         ///< longest time that a caller is kept waiting
    time_span m_latency_objective{};  ///< to the whole answer; of streams: to the first event
    time_span m_gap_objective{};      ///< longest pause between two events; zero: none
    std::uint32_t m_priority = 0;     ///< 0 is the most urgent
    std::vector<weighted_target> m_targets;
    std::uint32_t m_most_attempts = 1;  ///< upstreams that one request may be sent to
    bool m_allows_anonymous = false;    ///< callers need no key
    bool m_is_resumable = false;        ///< a stream may go on behind its last event elsewhere
};

/// A service with upstreams that announce themselves.
struct service {
    std::string m_name;
    std::string m_health_path;
    std::uint32_t m_most_connections = 0;  ///< of all callers together, an upstream; 0: not said
    /// Requests per second that a cold upstream can handle; 0: no upstream is ever cold.
    double m_cold_requests_per_second = 0.0;
    time_span m_cold_time{};  ///< how long an upstream is cold after a start
};

/// A workspace and the keys that prove it.
struct workspace {
    workspace_id m_name;
    std::vector<std::string> m_keys;
    std::optional<std::uint32_t> m_priority;  ///< goes before the route's
};

/// The whole configuration.
struct book {
    revisions::revision_number m_revision;
    std::vector<route> m_routes;
    std::vector<service> m_services;
    std::vector<workspace> m_workspaces;

    // Filled in by `index`.
    std::unordered_map<std::string, std::uint32_t> m_by_place;  ///< host and prefix to route
    std::unordered_map<std::string, std::uint32_t> m_by_key;    ///< key to workspace
};

/// Every mistake: unknown services, two routes at one place, weights that add up to 0, no time
/// limit, a key of two workspaces.
mistakes check(const book& rules);

/// Builds the look-up tables of a book without mistakes.
void index(book& rules);

/// The route of a request, or null. `host` may carry a port and any case.
const route* find_route(const book& rules, std::string_view host, std::string_view path);

/// The workspace of a key, or null.
const workspace* find_workspace(const book& rules, const std::string& key);

/// The service that one request goes to, drawn by weight.
const std::string& choose_target(const route& subject, random_engine& random);

/// What the routes to a service say of the requests that it gets.
struct service_use {
    bool m_is_streaming = true;  ///< all of the routes are
    std::set<std::uint64_t> m_priorities;
};

/// Records a route to the service.
void note_route(service_use& use, bool is_streaming, std::uint64_t priority);

/// Whether only streaming routes lead to the service, and those have different priorities.
bool has_priorities(const service_use& use);

/// Services for which `has_priorities` is true.
std::set<std::string> streaming_services_with_priorities(const book& rules);

/// Whether a request may run again although its end is not known.
bool is_idempotent(const route& subject);

}  // namespace dewbeam::routes
