/// \file
/// The upstreams that a gateway may send to, each with its connections.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/dispatch"
#include "dewbeam/http"
#include "dewbeam/permits"
#include "dewbeam/registry"
#include "dewbeam/src/gateway/loss_watch.h"

namespace dewbeam::gateway {

/// Where a request goes.
struct destination {
    std::shared_ptr<http::client> m_client;
    failure_domain_id m_failure_domain;
    incarnation m_incarnation;
    endpoint m_address;
    bool m_is_leaving = false;
};

/// What the gateway has under way at an upstream.
struct upstream_load {
    upstream_id m_name;
    std::string m_pool;
    std::uint32_t m_in_flight = 0;
};

/// The table. Thread-safe.
class upstream_table {
public:
    upstream_table(boost::asio::io_context& context, http::client_options options);

    /// An upstream is new or changed.
    void put(const registry::announcement& known, bool is_silent);

    /// An upstream is gone; what runs there goes on to its end.
    void remove(const upstream_id& name);

    /// Where its requests go; no client where it isn't known.
    [[nodiscard]] destination find(const upstream_id& name) const;

    /// What the broker needs to know of an upstream; nothing where it isn't known.
    [[nodiscard]] std::optional<dispatch::upstream_info> info(const upstream_id& name,
                                                              time_point now) const;

    /// Its pool; empty where it isn't known.
    [[nodiscard]] std::string pool_of(const upstream_id& name) const;

    void begin_attempt(const upstream_id& name);
    void end_attempt(const upstream_id& name, bool has_answered, time_point now);

    /// The upstream answered something.
    void note_heard(const upstream_id& name, time_point now);

    /// When that was last.
    [[nodiscard]] time_point heard_at(const upstream_id& name) const;

    /// Whether another upstream of its service in its failure domain has answered since then.
    [[nodiscard]] bool was_neighbour_heard(const upstream_id& name, time_point since) const;

    /// Whether it is silent, and of the other upstreams of its failure domain more announce
    /// themselves than fell silent lately.
    [[nodiscard]] bool do_neighbours_announce(const upstream_id& name,
                                              const std::set<upstream_id>& fell_silent) const;

    [[nodiscard]] bool is_silent(const upstream_id& name) const;

    /// Upstreams at an address.
    [[nodiscard]] std::vector<upstream_life> at_address(const endpoint& address) const;

    /// The other gateways' requests under way there.
    void set_others(const upstream_id& name, std::uint32_t in_flight, time_point now);

    /// Which upstreams are slow, as the agents beside them say; the others are not.
    void set_paces(const std::map<upstream_id, double>& paces);

    /// Records a limit or its end.
    /// \returns whether the limit changed
    bool note_limit(const permits::rate_limit& heard);

    /// Records an answer without a limit to a request sent at `sent_at`. This ends a limit that was
    /// heard before then; a later one stays, as the answer may be older.
    /// \returns whether a limit ended
    bool note_no_limit(const upstream_id& name, incarnation life, time_point sent_at,
                       time_point now);

    /// The known limits, including those that ended recently.
    std::vector<permits::rate_limit> limits(time_point now);

    [[nodiscard]] std::vector<upstream_load> loads() const;

    /// Names of silent ones: how long they may be used depends on when they answered last.
    [[nodiscard]] std::vector<upstream_id> silent() const;

    [[nodiscard]] std::size_t size() const;

private:
    struct item {
        registry::announcement m_known;
        std::shared_ptr<http::client> m_client;
        bool m_is_silent = false;
        std::uint32_t m_in_flight = 0;
        std::uint32_t m_others = 0;
        time_point m_others_at{};
        time_point m_answered_at{};  ///< the end of an answer
        time_point m_heard_at{};     ///< the head of an answer
        double m_pace = 1.0;
        bool m_is_avoided = false;  ///< slow, while enough others of its service are not
    };

    boost::asio::io_context& m_context;
    http::client_options m_options;
    mutable std::mutex m_mutex;
    std::map<upstream_id, item> m_items;
    permits::limit_table m_limits;
};

/// The pool of a service's upstreams.
std::string pool_name(const std::string& service);

/// The selector of a service's upstreams.
configuration::selector service_selector(const std::string& service);

}  // namespace dewbeam::gateway
