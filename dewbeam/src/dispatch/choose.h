/// \file
/// Chooses an upstream for a request.
#pragma once

#include <optional>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// Parameters of the choice.
struct choice_options {
    std::size_t m_samples = 5;  ///< upstreams sampled in the own domain, and again elsewhere
    /// How much shorter the expected wait in another failure domain must be.
    time_span m_spill_margin = std::chrono::milliseconds(20);
    /// Time constants by which counts of other entries' work decay: about as long as it lasts.
    time_span m_waiting_lifetime = std::chrono::milliseconds(200);
    time_span m_running_lifetime = std::chrono::milliseconds(100);
};

/// Inputs of the choice besides the request.
struct choice_context {
    const route_table& m_table;
    const routing::prefix_index& m_prefixes;
    const routing::speed_estimate& m_speed;
    const slowness& m_pool_speed;  ///< mean time to a first token
    const choice_options& m_options;
    const failure_domain_id& m_failure_domain;
    time_point m_now{};
};

/// A chosen upstream and the estimates behind the choice.
struct choice {
    upstream_index m_index = 0;
    double m_missing_tokens = 0.0;  ///< prompt tokens that the upstream must compute
    double m_seconds = 0.0;         ///< expected time to the first token
};

/// Chooses the best of a few upstreams with room: the one that the request names, those that
/// probably hold its prefix, and a random sample. Returns `nullopt` if no upstream with room is
/// suitable. One that was tried before is chosen only if no other is available.
std::optional<choice> choose(const choice_context& context, const pending_request& request,
                             random_engine& random);

/// Work of own recent dispatches, decayed exponentially (over about one second) until `now`.
double recent_work(const upstream_state& upstream, time_point now);

/// Whether the request was dispatched to this upstream before.
bool was_tried(const pending_request& request, const upstream_state& upstream);

/// Whether the route has an available upstream that was not tried and is not backing off.
bool has_untried(const route_table& table, const pending_request& request, time_point now);

}  // namespace dewbeam::dispatch
