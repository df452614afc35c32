/// \file
/// The choice of one upstream for one request.
#pragma once

#include <optional>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// Limits of the choice.
struct choice_options {
    std::size_t m_samples = 5;  ///< upstreams that are drawn in each domain group
    /// What another failure domain must be better by.
    time_span m_spill_margin = std::chrono::milliseconds(20);
    /// How long the counts of other entries' work tell anything: about as long as such work lasts.
    time_span m_waiting_lifetime = std::chrono::milliseconds(200);
    time_span m_running_lifetime = std::chrono::milliseconds(100);
};

/// What the choice looks at beside the routes.
struct choice_context {
    const route_table& m_table;
    const routing::prefix_index& m_prefixes;
    const routing::speed_estimate& m_speed;
    const slowness& m_pool_speed;  ///< mean time to a first token
    const choice_options& m_options;
    const failure_domain_id& m_failure_domain;
    time_point m_now{};
};

/// A choice and what it rests on.
struct choice {
    upstream_index m_index = 0;
    double m_missing_tokens = 0.0;  ///< prompt tokens that the upstream must compute
    double m_seconds = 0.0;         ///< expected time to the first token
};

/// The best of a few upstreams with room: the one that the request names, those that probably
/// hold its prefix, and some drawn at random. None where no upstream with room will do; one that
/// was tried before is taken only if no other is able.
std::optional<choice> choose(const choice_context& context, const pending_request& request,
                             random_engine& random);

/// Work of own dispatches in the last second or so, decayed until `now`.
double recent_work(const upstream_state& upstream, time_point now);

/// Whether the request was tried there before.
bool was_tried(const pending_request& request, const upstream_state& upstream);

/// Whether the route has an able upstream that was not tried.
bool has_untried(const route_table& table, const pending_request& request);

}  // namespace dewbeam::dispatch
