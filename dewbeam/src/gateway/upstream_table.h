/// \file
/// The upstreams that a gateway may send requests to, each with its connections.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/dispatch"
#include "dewbeam/http"
#include "dewbeam/notices"
#include "dewbeam/permits"
#include "dewbeam/registry"
#include "dewbeam/routes"
#include "dewbeam/slow_start"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"

namespace dewbeam::gateway {

/// Where a request is sent.
struct destination {
    std::shared_ptr<http::client> m_client;
    failure_domain_id m_failure_domain;
    incarnation m_incarnation;
    endpoint m_address;
    bool m_is_leaving = false;
};

/// This gateway's requests in flight at an upstream.
struct upstream_load {
    upstream_id m_name;
    std::string m_pool;
    std::uint32_t m_in_flight = 0;
};

/// A cold upstream and the rate that all gateways together may send to it.
struct cold_upstream {
    upstream_id m_name;
    double m_per_second = 0.0;
};

/// An upstream that asked this gateway in its answers to send nothing for a while, or ever again.
struct closed_upstream {
    upstream_id m_name;
    std::string m_pool;
    time_point m_backoff_until{};
    bool m_is_leaving = false;
};

/// The table. Thread-safe.
class upstream_table {
public:
    /// `on_idle_end` is called when a kept connection of an upstream ends while it is idle, or has
    /// bytes that nobody asked for; may be empty.
    upstream_table(boost::asio::io_context& context, http::client_options options,
                   std::function<void(const upstream_incarnation&)> on_idle_end = {});

    /// Adds or updates an upstream. If its group has formed again, the other members are presumed
    /// cold until they announce themselves.
    /// \returns the other members that became cold by this; the broker must learn it before the
    ///     group opens
    std::vector<upstream_id> put(const registry::announcement& known, bool is_unresponsive,
                                 time_point now);

    /// Sets what the services say of their cold upstreams. Services without a cold rate have none.
    void set_cold_services(std::map<std::string, routes::service> services);

    /// Whether the upstream is cold and its service has a cold rate.
    [[nodiscard]] bool is_cold(const upstream_id& name, time_point now) const;

    /// The cold upstreams of services with a cold rate.
    [[nodiscard]] std::vector<cold_upstream> cold_upstreams(time_point now) const;

    /// Sets the drained failure domains; their upstreams get no new requests. Those of a domain
    /// whose drain ended are presumed cold.
    /// \returns the upstreams of the domains that changed
    std::vector<upstream_id> set_drained_domains(const std::set<failure_domain_id>& drained,
                                                 time_point now);

    /// Removes an upstream that has exited. Requests in flight there continue to their end.
    void remove(const upstream_id& name);

    /// Where its requests are sent; without a client if the upstream is unknown.
    [[nodiscard]] destination find(const upstream_id& name) const;

    /// The state of an upstream for the broker; empty if the upstream is unknown.
    [[nodiscard]] std::optional<dispatch::upstream_info> info(const upstream_id& name,
                                                              time_point now) const;

    /// Its pool; empty if the upstream is unknown.
    [[nodiscard]] std::string pool_of(const upstream_id& name) const;

    void begin_attempt(const upstream_id& name);
    void end_attempt(const upstream_id& name, bool has_answered, time_point now);

    /// Records the head of an answer from the upstream.
    void note_heard(const upstream_id& name, time_point now);

    /// When the upstream last answered; epoch if it never did or is unknown.
    [[nodiscard]] time_point heard_at(const upstream_id& name) const;

    /// Whether another upstream of its service in its failure domain has answered since `since`.
    [[nodiscard]] bool has_neighbour_answered(const upstream_id& name, time_point since) const;

    /// Whether it is unresponsive while, among the other upstreams of its failure domain, more
    /// announce themselves than recently became unresponsive.
    [[nodiscard]] bool do_neighbours_announce(
        const upstream_id& name, const std::set<upstream_id>& recently_unresponsive) const;

    [[nodiscard]] bool is_unresponsive(const upstream_id& name) const;

    /// Upstreams at an address.
    [[nodiscard]] std::vector<upstream_incarnation> at_address(const endpoint& address) const;

    /// Sets the number of requests that the other gateways have in flight at the upstream.
    void set_other_gateways_load(const upstream_id& name, std::uint32_t in_flight, time_point now);

    /// Sets the slowdowns that the agents beside the upstreams report; all others get 1.0.
    void set_slowdowns(const std::map<upstream_id, double>& slowdowns);

    /// Records a limit or its end.
    /// \returns whether the limit changed
    bool note_limit(const permits::rate_limit& received);

    /// Records an answer without a limit to a request sent at `sent_at`. This ends a limit that was
    /// received before then; a later limit stays, since the answer may be older.
    /// \returns whether a limit ended
    bool note_no_limit(const upstream_id& name, incarnation target_incarnation, time_point sent_at,
                       time_point now);

    /// Records what an answer said of its upstream. Ignores notices of earlier incarnations.
    /// \returns whether it changes what may be sent there
    bool note_notice(const notices::notice& heard, time_point now);

    /// Whether notices of the upstream allow requests now.
    [[nodiscard]] bool takes_requests(const upstream_id& name, time_point now) const;

    /// The upstreams that notices close now.
    [[nodiscard]] std::vector<closed_upstream> closed_by_notices(time_point now) const;

    /// Drops notices that bind nothing any more.
    void forget_old_notices(time_point now);

    /// The known limits, including those that ended recently.
    std::vector<permits::rate_limit> limits(time_point now);

    [[nodiscard]] std::vector<upstream_load> loads() const;

    /// Names of the unresponsive upstreams. How long they may be used depends on their last answer.
    [[nodiscard]] std::vector<upstream_id> silent() const;

    [[nodiscard]] std::size_t size() const;

private:
    struct item {
        registry::announcement m_known;
        std::shared_ptr<http::client> m_client;
        bool m_is_unresponsive = false;
        std::uint32_t m_in_flight = 0;
        std::uint32_t m_other_gateways_load = 0;
        time_point m_other_gateways_load_at{};
        time_point m_answered_at{};  ///< the end of the last complete answer
        time_point m_heard_at{};     ///< the head of the last answer
        double m_pace = 1.0;
        bool m_is_avoided = false;  ///< slow, while enough others of its service are not
        slow_start::warmth m_warmth;
    };

    [[nodiscard]] std::shared_ptr<http::client> make_client(
        const registry::announcement& known) const;
    [[nodiscard]] notices::standing standing_of(const item& subject) const;
    [[nodiscard]] bool is_leaving(const item& subject) const;
    [[nodiscard]] std::optional<double> cold_rate(const item& subject, time_point now) const;
    void note_return(item& subject, time_point now) const;
    std::vector<upstream_id> note_group_return(const registry::group_place& formed, time_point now);

    boost::asio::io_context& m_context;
    http::client_options m_options;
    std::function<void(const upstream_incarnation&)> m_on_idle_end;
    mutable std::mutex m_mutex;
    std::map<upstream_id, item> m_items;
    permits::limit_table m_limits;
    notices::notice_table m_notices;
    std::set<failure_domain_id> m_drained;
    std::map<std::string, routes::service> m_cold_services;
};

/// The pool of a service's upstreams.
std::string pool_name(const std::string& service);

/// The selector of a service's upstreams.
configuration::selector service_selector(const std::string& service);

}  // namespace dewbeam::gateway
