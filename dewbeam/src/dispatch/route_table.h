/// \file
/// The known upstreams, and for each distinct selector a route with the upstreams that match it.
///
/// Matches are computed once for each selector and again only when labels, failure domains or the
/// set of upstreams change. Each route also keeps the sets of upstreams that have room, so that a
/// choice samples from them instead of iterating over all upstreams.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/admission"
#include "dewbeam/fairness"
#include "dewbeam/notices"
#include "dewbeam/overload"
#include "dewbeam/routing"
#include "dewbeam/src/dispatch/health.h"
#include "dewbeam/src/dispatch/request.h"

namespace dewbeam::dispatch {

using routing::upstream_index;

struct route;

/// Hook of the list of requests that run on one upstream.
using running_hook = boost::intrusive::list_base_hook<boost::intrusive::tag<struct running_tag>,
                                                      fairness::unchecked>;

/// Key of a lane: the place of its class or, under overload control, its priority.
using lane_key = std::uint32_t;

/// Phase of a request.
enum class request_phase { fresh, queued, retrying, suspect, running };

/// A request in the broker.
struct pending_request : fairness::queue_item, running_hook {
    request_info m_info;
    route* m_route = nullptr;
    request_phase m_phase = request_phase::fresh;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_busy_refusals = 0;  ///< of the attempts: refused for lack of room
    std::uint32_t m_unreached = 0;      ///< of the attempts: upstream not reached, or attempt lost
    std::vector<upstream_id> m_tried;
    upstream_index m_running_on = 0;  ///< while running
    incarnation m_running_incarnation;
    bool m_runs_isolated = false;
    bool m_has_first_token = false;
    bool m_was_answered = false;              ///< some attempt got its first token
    bool m_is_retry_under_way = false;        ///< while running: see `retry::take_retry`
    bool m_waits_late = false;                ///< while queued: in the late queue of its lane
    lane_key m_lane = 0;                      ///< of its route's lanes
    bool m_is_upstream_unresponsive = false;  ///< while running: its upstream is unresponsive
    double m_prompt_work = 0.0;  ///< prompt tokens that its upstream must compute for it
    double m_work_before = 0.0;  ///< prompt tokens that were queued there before it
    time_point m_dispatched_at{};
    time_point m_last_event_at{};            ///< of the running attempt's stream
    time_point m_suspect_starts_from{};      ///< of a suspect: when it may start
    time_point m_waits_until = no_deadline;  ///< while it waits
    time_point m_redispatch_from{};          ///< when it may leave its unresponsive upstream
    time_point m_unresponsive_until{};       ///< until then it counts as unresponsive
};

using running_list =
    boost::intrusive::list<pending_request, boost::intrusive::base_hook<running_hook>>;

/// When a request started and ended on an upstream.
struct ended_run {
    bool m_is_urgent = false;
    time_point m_started_at{};
    time_point m_ended_at{};
};

/// An upstream in the broker.
struct upstream_state {
    upstream_info m_info;
    bool m_is_known = false;        ///< false: removed, but its attempts have not all ended
    bool m_is_able = false;         ///< known, not leaving, in contact, lease valid
    std::uint32_t m_in_flight = 0;  ///< own dispatches that have not ended
    std::uint32_t m_ordinary_in_flight = 0;
    std::uint32_t m_others_running = 0;  ///< by other entries, from the last report
    std::uint32_t m_others_waiting = 0;
    std::uint32_t m_others_urgent = 0;
    /// Under overload control: max own requests in flight until the other entries' are counted
    /// again. Empty: not counted yet.
    std::optional<std::uint32_t> m_max_in_flight;
    time_point m_shared_at{};             ///< the count that `m_max_in_flight` follows from
    double m_pending_work = 0.0;          ///< prompt tokens of own dispatches without a first token
    double m_tokens_since_report = 0.0;   ///< own dispatches after the last report
    double m_recent_work = 0.0;           ///< of own dispatches, decayed until the last of them
    time_point m_last_dispatch{};         ///< own
    time_point m_closed_until{};          ///< it answered `not_run`: it has no room
    time_point m_out_of_contact_until{};  ///< while out of contact: wait for it until then
    notices::return_ramp m_ramp;          ///< during and after a backoff that it asked for
    health m_health;
    slowness m_slowness;
    bool m_runs_isolated = false;
    ticket m_held_for;  ///< suspect that waits until it is empty; 0: none
    running_list m_running;
    std::deque<ended_run> m_ended;  ///< since the last report was measured
    std::vector<route*> m_routes;
    std::vector<time_point> m_permits;  ///< expiry times, the earliest first
};

/// Waiting requests of one class or priority for one route.
struct lane {
    fairness::fair_queue m_queue;  ///< requests that can still meet their objective
    fairness::fair_queue m_late;   ///< the others; served after `m_queue`
    admission::drain_meter m_drain;
    admission::return_line m_returns;
    overload::arrival_meter m_arrivals;
    bool m_is_urgent = false;              ///< under overload control: may send ahead of the pace
    std::size_t m_open_place = 1;          ///< index of its sets in `route::m_open`
    double m_served = 0.0;                 ///< cost served, divided by the weight of its flows
    double m_run_seconds_per_token = 0.0;  ///< mean run time by output bound; 0: not known
    time_point m_run_noted_at{};           ///< when that was last measured
};

/// Upstreams with room for one class or, under overload control, for urgent lanes and for the
/// others: in the own failure domain and elsewhere.
struct open_sets {
    routing::index_set m_near;
    routing::index_set m_far;
};

/// Whether some upstream has room.
inline bool is_any_open(const open_sets& open)
{
    return !open.m_near.empty() || !open.m_far.empty();
}

/// All work for one selector.
struct route {
    configuration::selector m_upstreams;
    std::vector<upstream_index> m_members;
    std::uint32_t m_able = 0;  ///< number of available members
    std::array<open_sets, 2> m_open;
    std::map<lane_key, lane> m_lanes;
    admission::drain_meter m_drain;  ///< of all lanes together; under overload control
    time_point m_waited_at{};        ///< when a request last waited in a lane
    fairness::item_list m_retries;
    fairness::item_list m_suspects;
    fairness::item_list m_unanswered;  ///< running requests at unresponsive upstreams
    std::size_t m_users = 0;           ///< requests that refer to it
    time_point m_formed_at{};          ///< when a group of its upstreams last formed again
};

/// Options of a route table, from the broker's options.
struct route_options {
    failure_domain_id m_failure_domain;
    host_id m_entry;                 ///< determines the subset
    std::size_t m_subset_size = 64;  ///< upstreams of a route in one domain group
    std::uint32_t m_sharing_entry_count = 1;
    time_span m_max_doubt = time_span::zero();  ///< wait for members out of contact
    fairness::class_options m_classes;
    bool m_is_overload_controlled = false;
};

/// What keeps the pauses of a group's streams, or of an upstream's without a group, within their
/// objective.
struct step_limits {
    overload::concurrency_limit m_concurrency;
    overload::prefill_gate m_prefill;
};

/// What the members of a lock-step group announce of it. Members that are cut off from the others
/// still announce an earlier epoch, or nothing.
struct group_formation {
    std::uint64_t m_epoch = 0;  ///< the highest announced
    bool m_is_broken = false;   ///< a member announces so in that epoch

    friend bool operator==(const group_formation&, const group_formation&) = default;
};

/// Upstreams and routes of a broker.
struct route_table {
    std::map<upstream_id, upstream_index> m_names;
    std::vector<std::unique_ptr<upstream_state>> m_upstreams;
    std::vector<upstream_index> m_unused;
    std::vector<std::unique_ptr<route>> m_routes;
    /// Closed groups, each with the time from which the next probe request may be sent to it.
    std::map<std::string, time_point> m_closed_groups;
    std::map<std::string, group_formation> m_formations;
    std::set<std::string> m_broken_groups;  ///< those of `m_formations` that are broken
    /// Under overload control, by `step_key`.
    std::map<std::string, step_limits> m_step_limits;
    time_point m_reserved_until{};  ///< until then slots are reserved for urgent work
    time_point m_backoffs_until{};  ///< until then some upstream may be backing off
};

/// Sets the lane of a request: its class or, under overload control, its priority.
void set_lane(pending_request& request, bool is_overload_controlled);

/// Upstreams with room for a request.
const open_sets& open_sets_of(const pending_request& request);

/// Index of a class in the arrays.
inline lane_key place_of(configuration::work_class value)
{
    return value == configuration::work_class::urgent ? 0 : 1;
}

/// The route of a selector, created if there is none.
route& route_of(route_table& table, const route_options& options,
                const configuration::selector& upstreams, time_point now);

/// Adds or updates an upstream; returns its index.
upstream_index put_upstream(route_table& table, const route_options& options,
                            const upstream_info& info, time_point now);

/// Removes an upstream. Its index is reused only after its attempts have ended.
void drop_upstream(route_table& table, const route_options& options, const upstream_id& name,
                   time_point now);

/// Updates whether an upstream is available and has room, in all its routes.
void refresh(route_table& table, const route_options& options, upstream_index index,
             time_point now);

/// The same for all members of a route: leases may have expired since the last tick.
void refresh_members(route_table& table, const route_options& options, const route& subject,
                     time_point now);

/// Whether some member that is out of contact may be available again shortly.
bool may_regain_member(const route_table& table, const route& subject, time_point now);

/// When an available member will take requests again, if none does before then because of the
/// backoffs that they asked for. Empty if a member may take one now.
std::optional<time_point> end_of_backoffs(const route_table& table, const route& subject,
                                          time_point now);

/// Whether an operator has drained the failure domains of all members.
bool is_drained(const route_table& table, const route& subject);

/// Whether some member would take a request if it had a free slot.
bool has_serving_member(const route_table& table, const route& subject, time_point now);

/// Index of an upstream; `nullopt` if it is unknown.
std::optional<upstream_index> find_upstream(const route_table& table, const upstream_id& name);

/// Key of what upstreams share that step together: the group or, without one, the upstream's name.
const std::string& step_key(const upstream_info& upstream);

/// Max slots that ordinary work may use on the upstream.
std::uint32_t ordinary_slots_of(const upstream_state& upstream, const route_options& options,
                                std::uint32_t slots);

/// Frees the index of a removed upstream once none of its attempts is left.
void free_if_unused(route_table& table, upstream_index index);

}  // namespace dewbeam::dispatch
