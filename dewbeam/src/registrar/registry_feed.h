/// \file
/// Follows the registries: announced upstreams, the newest revision, the loads of other gateways.
///
/// A gateway watches every registry that it knows, since the registry that receives a change sends
/// it on, and any of them may be partitioned away. The updates of all registries are merged, so
/// that an older state never replaces a newer one. The seeds are only the starting points:
/// registries advertise each other.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/link"
#include "dewbeam/permits"
#include "dewbeam/registry"
#include "dewbeam/revisions"
#include "dewbeam/slow_start"
#include "dewbeam/src/registrar/confirmation.h"
#include "dewbeam/src/registrar/document_fetch.h"
#include "dewbeam/src/registrar/log_choice.h"
#include "dewbeam/src/registrar/suspicion_store.h"

namespace dewbeam::registrar {

/// Callbacks of the feed. They run on the thread that calls the feed, without the feed's lock
/// except for `m_follow_log`.
struct feed_handlers {
    std::function<void(const std::string& address, wire::Envelope&& message)> m_send;
    /// The log of the registries, once it is chosen. Called under the feed's lock.
    std::function<void(log_id log)> m_follow_log;
    std::function<void(const registry::record& changed)> m_on_upstream;
    /// A document newer than the current one arrived from a registry. Returns whether it was
    /// accepted.
    std::function<bool(const revisions::revision& newer, const std::string& registry)>
        m_on_revision;
    /// An update was applied; `last_confirmation` may have changed.
    std::function<void()> m_on_confirmation = [] {};
    /// The drained failure domains changed. Also called with the first ones that are heard.
    std::function<void(const std::set<failure_domain_id>& drained)> m_on_drains =
        [](const std::set<failure_domain_id>&) {};
    std::function<void(const std::string& upstream, std::uint32_t in_flight)> m_on_load;
    std::function<void(const std::string& upstream, double slowdown)> m_on_slowdown;
    std::function<void()> m_on_loads_end;
    std::function<void(std::uint32_t gateways)> m_on_gateways;
    /// Gateways only: a registry reported a rate limit or its end.
    std::function<void(const permits::rate_limit& reported)> m_on_limit;
    /// Gateways only: `count` permits were issued for a limited upstream.
    std::function<void(const upstream_id& upstream, std::uint32_t count)> m_on_permits;
    /// Gateways only: new information on a content that may crash its upstreams.
    std::function<void(const pooled_suspicion& incoming)> m_on_suspicion =
        [](const pooled_suspicion&) {};
    /// Gateways only: the suspected contents that this gateway may currently run.
    std::function<void(const std::vector<fingerprint>& granted)> m_on_exclusive_grants =
        [](const std::vector<fingerprint>&) {};
};

/// The kind of follower and its polling intervals.
struct feed_options {
    bool m_is_gateway = true;  ///< sends requests to upstreams
    time_span m_interval = std::chrono::milliseconds(250);
    /// Minimum time between the arrival of a document and the request for a newer one.
    time_span m_document_interval = time_span::zero();
    /// Determines the order in which registries are preferred for documents. Different for each
    /// process, so that the requests of all followers are distributed over the registries.
    std::uint64_t m_preference_seed = 0;
    quarantine::quarantine_options m_quarantine = {};
    std::string m_host = {};  ///< own host, by which registries invite this process
};

/// The interval at which loads are requested from the registry that reports them; `max_interval` at
/// most. Upstreams are chosen by these loads: two gateways that don't know of each other's last
/// requests send theirs to the same rank, where one then waits for a whole run of another. A
/// registry sends all loads to every gateway, so the interval grows with the number of gateways.
time_span loads_interval(std::uint32_t gateways, time_span max_interval);

/// The interval at which the other registries are watched; `min_interval` at least.
time_span update_interval(std::uint32_t gateways, time_span min_interval);

/// Requests in flight to report, as upstream name and count.
using load_list = std::vector<std::pair<std::string, std::uint32_t>>;

/// Slow upstreams, as name and slowdown.
using slowdown_list = std::vector<std::pair<std::string, double>>;

/// The feed. Thread-safe.
class registry_feed {
public:
    registry_feed(const std::vector<std::string>& seeds, feed_options options,
                  feed_handlers handlers);

    /// Sets the rate limits that this gateway knows and the permits that it could use; the next
    /// watches send them.
    void set_limits(std::vector<permits::rate_limit> known, std::vector<permits::demand> wanted);

    /// Records what this gateway learned about a content. The next tick sends it to all registries.
    /// \returns whether it was new information
    bool report(const pooled_suspicion& learned);

    /// Records that a run of a content succeeded. If this outweighs a crash report, returns the
    /// record; the next tick sends it to all registries.
    std::optional<pooled_suspicion> report_successful_run(fingerprint content, time_point now);

    /// Sets the suspected contents whose exclusive grant the next watches request. If the list
    /// changed, the next tick sends a watch to every registry.
    void set_wanted_turns(std::vector<fingerprint> wanted);

    /// The order of a crash report for a run that starts now; see quarantine::crash_report.
    [[nodiscard]] std::uint32_t next_order(fingerprint content) const;

    /// Whether a content is suspected.
    [[nodiscard]] bool is_suspected(fingerprint content, time_point now) const;

    /// The number of upstream crashes that count against a content.
    [[nodiscard]] std::size_t deaths_of(fingerprint content, time_point now) const;

    /// When the quarantine of a content or prompt part ends; empty if it isn't quarantined.
    [[nodiscard]] std::optional<time_point> quarantined_until(fingerprint subject,
                                                              time_point now) const;

    /// Sets where this process listens, so that registries can invite it.
    void set_link_address(std::string address);

    /// Replaces the seeds. Registries that are known already stay known.
    void set_seeds(std::vector<std::string> seeds, time_point now);

    /// Watches the registries that an invitation names, unless it is for another process.
    void take_invitation(const wire::Envelope& message, time_point now);

    /// Sends the watches that are due.
    void tick(const load_list& loads, const slowdown_list& paces, time_point now);

    /// Applies the update in a message; requests a newer document if a request is due.
    void take(const link::peer& from, const wire::Envelope& message, time_point now);

    /// Records that the connection to a registry is closed: it counts as unresponsive until it
    /// answers again, and an outstanding document request to it is dropped.
    void lost(const link::peer& disconnected);

    /// Whether enough is known to serve requests: all upstreams of a registry and the newest
    /// revision. Until `lenient_from` a registry with a quorum must confirm the revision;
    /// afterwards any registry suffices, since a partitioned failure domain must serve with what is
    /// known there.
    [[nodiscard]] bool is_settled(time_point lenient_from, time_point now) const;

    /// Whether the drained failure domains were handed on as a registry with a quorum holds them.
    /// A registry that has just started may not know yet which of its log entries are committed.
    [[nodiscard]] bool knows_drains() const;

    /// The number of registries that answered recently.
    [[nodiscard]] std::size_t heard(time_point now) const;

    /// The link addresses of all registries that are watched or tried.
    [[nodiscard]] std::vector<std::string> addresses() const;

    [[nodiscard]] revisions::revision_number revision() const;

    /// The newest revision reported by any registry; its document may not have been received yet.
    [[nodiscard]] revisions::revision_number newest_known_revision() const;

    /// What a quorum of registries confirmed last of the newest revision.
    [[nodiscard]] confirmation last_confirmation() const;

    /// The number of gateways that watch the registries, including this one.
    [[nodiscard]] std::uint32_t gateways() const;

    /// The highest number of gateways that any registry counted lately, as far as it was heard.
    [[nodiscard]] std::uint32_t known_gateways() const;

private:
    struct source {
        std::uint64_t m_registry_incarnation = 0;
        std::uint64_t m_change = 0;
        bool m_has_all_upstreams = false;
        bool m_is_sure = false;
        revisions::revision_number m_newest;
        time_point m_last_watch{};
        time_point m_heard_at{};
        time_point m_named_at{};  ///< by the settings, another registry or an invitation
        std::uint64_t m_suspicion_incarnation =
            0;  ///< incarnation of the registry for the next two
        std::uint64_t m_known_suspicion = 0;
        std::uint64_t m_acknowledged_suspicion = 0;  ///< last own change that it has acknowledged
    };

    bool accepts_log(const std::string& address, log_id reported, time_point now);
    bool is_seed(const std::string& address) const;
    void add_registry(const std::string& address, time_point now);
    void make_room(time_point now);
    bool takes_drains(const wire::WatchNews& news);
    void take_upstreams(source& from, const wire::WatchNews& news, time_point now,
                        std::vector<registry::record>& changed);
    wire::Envelope watch_of(const source& target, bool wants_loads, time_point now) const;
    void put_own_loads(wire::Watch& watch) const;
    void put_limits(wire::Watch& watch, time_point now) const;
    void take_limits(const wire::WatchNews& news, time_point now);
    void put_suspicions(wire::Watch& watch, const source& target, time_point now) const;
    void take_suspicions(source& from, const wire::WatchNews& news, time_point now,
                         std::vector<pooled_suspicion>& changed);
    void schedule_all_watches();
    void request_document(time_point now);
    void take_document(const std::string& from, const wire::Revision& received, time_point now);

    feed_options m_options;
    feed_handlers m_handlers;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_seeds;
    std::string m_link_address;               ///< own
    std::map<std::string, source> m_sources;  ///< by link address
    log_choice m_log;
    registry::table m_table;
    revisions::revision_number m_revision;
    confirmation m_confirmation;
    std::uint64_t m_drain_change = 0;  ///< of the drained domains that were handed on
    bool m_knows_drains = false;
    document_fetch m_document_fetch;
    std::uint32_t m_gateways = 1;  ///< that watch the registries, as reported last
    slow_start::gateway_count m_known_gateways;
    load_list m_loads;
    slowdown_list m_slowdowns;
    std::vector<permits::rate_limit> m_limits;
    std::vector<permits::demand> m_demands;
    permits::limit_table m_reported_limits;  ///< as last reported with the loads
    suspicion_store m_suspicions;
    std::vector<fingerprint> m_wanted_run_grants;
};

}  // namespace dewbeam::registrar
