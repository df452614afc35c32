/// \file
/// Follows the registries: announced upstreams, the newest revision, the other gateways' loads.
///
/// A gateway watches every registry that it knows, since a change is told to it by the one that
/// took it in, and any of them may be cut off. What several of them say is merged, so that nothing
/// goes back. Seeds are only where it begins: registries name each other.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "dewbeam/link"
#include "dewbeam/permits"
#include "dewbeam/registry"
#include "dewbeam/revisions"
#include "dewbeam/src/registrar/document_fetch.h"
#include "dewbeam/src/registrar/log_choice.h"
#include "dewbeam/src/registrar/suspicion_board.h"

namespace dewbeam::registrar {

/// What the feed calls; outside its lock, on the link's thread.
struct feed_handlers {
    std::function<void(const std::string& address, wire::Envelope&& message)> m_send;
    /// The log of the registries, once it is chosen.
    std::function<void(log_id log)> m_follow_log;
    std::function<void(const registry::record& changed)> m_on_upstream;
    /// A document that is newer than the one held; true where it is taken.
    std::function<bool(const revisions::revision& newer)> m_on_revision;
    std::function<void(const std::string& upstream, std::uint32_t in_flight)> m_on_load;
    std::function<void(const std::string& upstream, double pace)> m_on_pace;
    std::function<void()> m_on_loads_end;
    std::function<void(std::uint32_t gateways)> m_on_gateways;
    /// Gateways only: a registry reported a limit or its end.
    std::function<void(const permits::rate_limit& told)> m_on_limit;
    /// Gateways only: `count` permits were issued for a limited upstream.
    std::function<void(const upstream_id& upstream, std::uint32_t count)> m_on_permits;
    /// Gateways only: something new of a content that may end its upstreams.
    std::function<void(const noted_suspicion& heard)> m_on_suspicion = [](const noted_suspicion&) {
    };
    /// Gateways only: the suspected contents that this gateway may run now.
    std::function<void(const std::vector<fingerprint>& granted)> m_on_turns =
        [](const std::vector<fingerprint>&) {};
};

/// Who follows, and how closely.
struct feed_options {
    bool m_is_gateway = true;  ///< sends requests to upstreams
    time_span m_interval = std::chrono::milliseconds(250);
    /// Once a document is held, a newer one is asked for after this at the earliest.
    time_span m_document_interval = time_span::zero();
    /// Determines the order in which registries are preferred for documents. Different for each
    /// process, so that the requests of all followers are distributed over the registries.
    std::uint64_t m_preference_seed = 0;
    quarantine::quarantine_options m_quarantine = {};
};

/// How often the registry that tells the other gateways' loads is asked, never less often than
/// `longest`. Choices between upstreams rest on these loads: two gateways that don't know of each
/// other's last requests send theirs to the same rank, which then lets one wait for a whole run of
/// another. A registry answers every gateway with all loads, so that many gateways ask less often.
time_span loads_interval(std::uint32_t gateways, time_span longest);

/// How often a registry that tells no loads is asked, never more often than `shortest`.
time_span news_interval(std::uint32_t gateways, time_span shortest);

/// Loads to tell, as name and count.
using load_list = std::vector<std::pair<std::string, std::uint32_t>>;

/// Upstreams that are slow, as name and pace.
using pace_list = std::vector<std::pair<std::string, double>>;

/// The feed. Thread-safe.
class registry_feed {
public:
    registry_feed(const std::vector<std::string>& seeds, feed_options options,
                  feed_handlers handlers);

    /// Sets what the next watches send: the limits that this gateway knows and the permits that it
    /// could use.
    void set_limits(std::vector<permits::rate_limit> known, std::vector<permits::demand> wanted);

    /// Takes in what this gateway learned of a content, and tells it to all registries at once.
    /// \returns whether it was news
    bool report(const noted_suspicion& learned);

    /// A run of a content ended well; gives the record where that speaks against a death, and tells
    /// all registries.
    std::optional<noted_suspicion> report_good_run(fingerprint content, time_point now);

    /// Sets the suspected contents that the next watches ask to run. Asks at once where one is new.
    void set_wanted_turns(std::vector<fingerprint> wanted);

    /// The order of an upstream's death under a run that begins now; see quarantine::death.
    [[nodiscard]] std::uint32_t next_order(fingerprint content) const;

    /// Whether something speaks against a content.
    [[nodiscard]] bool is_suspected(fingerprint content, time_point now) const;

    /// Deaths of upstreams that speak against a content.
    [[nodiscard]] std::size_t deaths_of(fingerprint content, time_point now) const;

    /// Watches where it is time to.
    void tick(const load_list& loads, const pace_list& paces, time_point now);

    /// Takes the news in a message; asks at once for a revision that is newer.
    void take(const link::peer& from, const wire::Envelope& message, time_point now);

    /// A registry's connection is over: what it knew last is asked anew.
    void lost(const link::peer& gone);

    /// Whether enough was learned to serve: all upstreams of a registry and the newest revision.
    /// Until `lenient_from` a registry must be sure of the revision; after it any will do, since a
    /// cut-off domain must go on with what is known there.
    [[nodiscard]] bool is_settled(time_point lenient_from, time_point now) const;

    /// Registries that answered lately.
    [[nodiscard]] std::size_t heard(time_point now) const;

    [[nodiscard]] revisions::revision_number revision() const;

    /// The newest revision reported by any registry; its document may not have been received yet.
    [[nodiscard]] revisions::revision_number newest_known_revision() const;

    /// The number of gateways that watch the registries, including this one.
    [[nodiscard]] std::uint32_t gateways() const;

private:
    struct source {
        std::uint64_t m_life = 0;
        std::uint64_t m_change = 0;
        bool m_has_whole = false;
        bool m_is_sure = false;
        revisions::revision_number m_newest;
        time_point m_asked_at{};
        time_point m_heard_at{};
        std::uint64_t m_suspicion_life = 0;  ///< the registry process that the next two are of
        std::uint64_t m_known_suspicion = 0;
        std::uint64_t m_told_suspicion = 0;  ///< own changes that it has confirmed
    };

    bool is_of_own_log(const std::string& address, log_id told, time_point now);
    void learn_registries(const wire::WatchNews& news);
    void take_upstreams(source& from, const wire::WatchNews& news, time_point now,
                        std::vector<registry::record>& changed);
    wire::Envelope watch_of(const source& target, bool wants_loads, time_point now) const;
    void put_own_loads(wire::Watch& watch) const;
    void put_limits(wire::Watch& watch, time_point now) const;
    void take_limits(const wire::WatchNews& news, time_point now);
    void put_suspicions(wire::Watch& watch, const source& target, time_point now) const;
    void take_suspicions(source& from, const wire::WatchNews& news, time_point now,
                         std::vector<noted_suspicion>& changed);
    void ask_all_at_once();
    void request_document(time_point now);
    void take_document(const std::string& from, const wire::Revision& received, time_point now);

    feed_options m_options;
    feed_handlers m_handlers;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_seeds;
    std::map<std::string, source> m_sources;  ///< by link address
    log_choice m_log;
    registry::table m_table;
    revisions::revision_number m_revision;
    document_fetch m_document_fetch;
    std::uint32_t m_gateways = 1;  ///< that watch the registries, as one told last
    load_list m_loads;
    pace_list m_paces;
    std::vector<permits::rate_limit> m_limits;
    std::vector<permits::demand> m_demands;
    permits::limit_table m_told_limits;  ///< as last reported with the loads
    suspicion_board m_suspicions;
    std::vector<fingerprint> m_wanted_turns;
};

}  // namespace dewbeam::registrar
