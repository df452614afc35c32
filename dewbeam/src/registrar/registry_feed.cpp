#include "dewbeam/src/registrar/registry_feed.h"

#include <algorithm>
#include <utility>

#include "dewbeam/retry"
#include "dewbeam/src/registrar/announcement_wire.h"
#include "dewbeam/src/registrar/drain_calls.h"
#include "dewbeam/src/registrar/follower_table.h"
#include "dewbeam/src/registrar/limit_wire.h"
#include "dewbeam/src/registrar/watchers.h"

namespace dewbeam::registrar {

namespace {

/// Larger than any request body that an operator may submit.
constexpr std::size_t max_document = 64UL << 20U;
/// A registry that didn't answer for this long counts as unresponsive.
constexpr time_span response_timeout = std::chrono::milliseconds(2500);
/// Maximum number of registries that a gateway remembers: seven may exist, and replaced ones may
/// still be listed.
constexpr std::size_t max_registries = 16;

/// A limit that upstreams keep repeating is sent again at this interval, so that the registry
/// doesn't expire it.
constexpr time_span limit_refresh = std::chrono::seconds(5);

/// The interval grows with the number of gateways, since each registry answers all of them.
constexpr time_span loads_interval_per_gateway = std::chrono::milliseconds(6);
constexpr time_span min_loads_interval = std::chrono::milliseconds(100);

/// A registry pushes a change to every follower at once. A watch recovers updates that were lost
/// and renews the lease. With 150 gateways, each sends every registry two watches a second.
constexpr time_span update_interval_per_gateway = std::chrono::milliseconds(4);
constexpr time_span max_news_interval = std::chrono::milliseconds(500);

/// The document as the operator sent it, decompressed if necessary.
absl::StatusOr<std::string> content_of(const wire::Revision& received)
{
    if (received.packed_content().empty()) {
        return received.content();
    }
    return inflate_text(received.packed_content(), max_document);
}

}  // namespace

time_span update_interval(std::uint32_t gateways, time_span min_interval)
{
    const time_span wanted = update_interval_per_gateway * gateways;
    return std::max(min_interval, std::min(wanted, max_news_interval));
}

time_span loads_interval(std::uint32_t gateways, time_span max_interval)
{
    const auto wanted = std::max(min_loads_interval, loads_interval_per_gateway * gateways);
    return std::min<time_span>(wanted, max_interval);
}

registry_feed::registry_feed(const std::vector<std::string>& seeds, feed_options options,
                             feed_handlers handlers)
    : m_options(options), m_handlers(std::move(handlers)), m_seeds(seeds)
{
    m_suspicions.m_table.m_options = options.m_quarantine;
    for (const auto& address : seeds) {
        m_sources.try_emplace(address);
    }
}

/// Loads are sent only to the registry that reports the sums; the others don't need them.
void registry_feed::put_own_loads(wire::Watch& watch) const
{
    if (!watch.wants_loads()) {
        return;
    }
    for (const auto& [name, count] : m_loads) {
        if (count > 0) {
            auto& load = *watch.add_loads();
            load.set_upstream(name);
            load.set_in_flight(count);
        }
    }
}

wire::Envelope registry_feed::watch_of(const source& target, bool wants_loads, time_point now) const
{
    wire::Envelope result;
    auto& watch = *result.mutable_watch();
    watch.set_registry_life(target.m_registry_incarnation);
    watch.set_known_change(target.m_change);
    watch.set_known_revision(m_revision.value());
    watch.set_sent_at(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    watch.set_wants_loads(wants_loads && m_options.m_is_gateway);
    watch.set_is_gateway(m_options.m_is_gateway);
    watch.set_link_address(m_link_address);
    if (m_options.m_is_gateway) {
        put_known_gateways(m_known_gateways, now, *watch.mutable_known_gateways());
    }
    put_own_loads(watch);
    put_limits(watch, now);
    put_suspicions(watch, target, now);
    for (const auto& [name, pace] : m_slowdowns) {
        auto& item = *watch.add_paces();
        item.set_upstream(name);
        item.set_pace(pace);
    }
    return result;
}

/// Sends each limit until the registry reports it back, so that a restarted registry learns it.
void registry_feed::put_limits(wire::Watch& watch, time_point now) const
{
    if (!watch.wants_loads()) {
        return;
    }
    for (const auto& limit : m_limits) {
        const auto reported = m_reported_limits.m_limits.find(limit.m_upstream);
        const bool is_reported = reported != m_reported_limits.m_limits.end() &&
                                 reported->second.m_incarnation == limit.m_incarnation &&
                                 reported->second.m_per_second == limit.m_per_second &&
                                 limit.m_heard_at <= reported->second.m_heard_at + limit_refresh;
        if (!is_reported) {
            to_wire(limit, now, *watch.add_limits());
        }
    }
    for (const auto& demand : m_demands) {
        auto& item = *watch.add_wanted_permits();
        item.set_upstream(demand.m_upstream.value());
        item.set_count(demand.m_count);
    }
}

void registry_feed::put_suspicions(wire::Watch& watch, const source& target, time_point now) const
{
    if (!m_options.m_is_gateway) {
        return;
    }
    const auto reported = target.m_suspicion_incarnation == target.m_registry_incarnation
                              ? target.m_acknowledged_suspicion
                              : 0;
    watch.set_suspicion_change(
        put_changes(m_suspicions, reported, now, *watch.mutable_suspicions()));
    watch.set_known_suspicion_change(target.m_suspicion_incarnation == target.m_registry_incarnation
                                         ? target.m_known_suspicion
                                         : 0);
    if (watch.wants_loads()) {
        for (const auto content : m_wanted_run_grants) {
            watch.add_wanted_turns(content.value());
        }
    }
}

void registry_feed::take_suspicions(source& from, const wire::WatchNews& news, time_point now,
                                    std::vector<pooled_suspicion>& changed)
{
    if (from.m_suspicion_incarnation != news.registry_life()) {
        from.m_suspicion_incarnation = news.registry_life();
        from.m_known_suspicion = 0;
        from.m_acknowledged_suspicion = 0;
    }
    for (const auto& item : news.suspicions()) {
        const auto incoming = from_wire(item, now);
        if (auto record = registrar::take(m_suspicions, incoming)) {
            changed.push_back({incoming.m_pool, *std::move(record)});
        }
    }
    from.m_known_suspicion = std::max(from.m_known_suspicion, news.suspicion_change());
    from.m_acknowledged_suspicion =
        std::max(from.m_acknowledged_suspicion, news.taken_suspicion_change());
}

/// The next tick sends a watch to every registry.
void registry_feed::schedule_all_watches()
{
    for (auto& [address, target] : m_sources) {
        target.m_last_watch = {};
    }
}

bool registry_feed::report(const pooled_suspicion& learned)
{
    const std::lock_guard lock(m_mutex);
    if (!registrar::take(m_suspicions, learned)) {
        return false;
    }
    schedule_all_watches();
    return true;
}

std::optional<pooled_suspicion> registry_feed::report_successful_run(fingerprint content,
                                                                     time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto record = outweigh(m_suspicions, content, now);
    if (record) {
        schedule_all_watches();
    }
    return record;
}

void registry_feed::set_wanted_turns(std::vector<fingerprint> wanted)
{
    const std::lock_guard lock(m_mutex);
    if (wanted != m_wanted_run_grants) {
        m_wanted_run_grants = std::move(wanted);
        schedule_all_watches();
    }
}

std::uint32_t registry_feed::next_order(fingerprint content) const
{
    const std::lock_guard lock(m_mutex);
    return quarantine::next_order(m_suspicions.m_table, content);
}

bool registry_feed::is_suspected(fingerprint content, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return quarantine::standing_of(m_suspicions.m_table, content, now) !=
           quarantine::standing::clear;
}

std::size_t registry_feed::deaths_of(fingerprint content, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return quarantine::deaths_of(m_suspicions.m_table, content, now);
}

std::optional<time_point> registry_feed::quarantined_until(fingerprint subject,
                                                           time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto& table = m_suspicions.m_table;
    const bool is_quarantined =
        quarantine::standing_of(table, subject, now) == quarantine::standing::quarantined;
    return is_quarantined ? std::optional(quarantine::ends_at(table, subject, now)) : std::nullopt;
}

void registry_feed::set_limits(std::vector<permits::rate_limit> known,
                               std::vector<permits::demand> wanted)
{
    const std::lock_guard lock(m_mutex);
    m_limits = std::move(known);
    m_demands = std::move(wanted);
}

void registry_feed::take_limits(const wire::WatchNews& news, time_point now)
{
    if (news.has_loads()) {
        permits::limit_table reported;
        for (const auto& item : news.limits()) {
            const auto limit = from_wire(item, now);
            reported.m_limits.insert_or_assign(limit.m_upstream, limit);
        }
        const std::lock_guard lock(m_mutex);
        m_reported_limits = std::move(reported);
    }
    for (const auto& item : news.limits()) {
        m_handlers.m_on_limit(from_wire(item, now));
    }
    for (const auto& item : news.issued_permits()) {
        m_handlers.m_on_permits(upstream_id(item.upstream()), item.count());
    }
}

void registry_feed::tick(const load_list& loads, const slowdown_list& paces, time_point now)
{
    std::vector<std::pair<std::string, wire::Envelope>> due;
    {
        const std::lock_guard lock(m_mutex);
        expire(m_suspicions, now);
        m_loads = loads;
        m_slowdowns = paces;
        // The loads are requested from one registry, the first that is responsive.
        bool wants_loads = true;
        for (auto& [address, target] : m_sources) {
            const bool is_responsive = target.m_heard_at + response_timeout > now;
            const bool reports_loads = wants_loads && is_responsive && m_options.m_is_gateway;
            const auto interval = reports_loads ? loads_interval(m_gateways, m_options.m_interval)
                                                : update_interval(m_gateways, m_options.m_interval);
            if (target.m_last_watch + interval > now) {
                wants_loads = wants_loads && !is_responsive;
                continue;
            }
            target.m_last_watch = now;
            due.emplace_back(address, watch_of(target, wants_loads && is_responsive, now));
            wants_loads = wants_loads && !is_responsive;
        }
    }
    for (auto& [address, message] : due) {
        m_handlers.m_send(address, std::move(message));
    }
    request_document(now);
}

/// Requests the newest document from one registry, if a request is due.
void registry_feed::request_document(time_point now)
{
    std::string address;
    wire::Envelope request;
    {
        const std::lock_guard lock(m_mutex);
        std::vector<document_source> sources;
        for (const auto& [source_address, known] : m_sources) {
            if (known.m_heard_at + response_timeout > now) {
                sources.push_back({source_address, known.m_newest > m_revision});
            }
        }
        const bool has_no_document = m_revision == revisions::revision_number{};
        address = next_request(m_document_fetch, sources, m_options.m_preference_seed,
                               has_no_document, now);
        if (address.empty()) {
            return;
        }
        request = watch_of(m_sources.at(address), false, now);
        request.mutable_watch()->set_wants_revision(true);
        request.mutable_watch()->set_takes_packed_revision(true);
    }
    m_handlers.m_send(address, std::move(request));
}

void registry_feed::take_document(const std::string& from, const wire::Revision& received,
                                  time_point now)
{
    const revisions::revision_number number(received.number());
    if (number > revision()) {
        auto content = content_of(received);
        if (!content.ok()) {
            log_event(log_level::warning, "revision_not_unpacked",
                      {{"revision", received.number()},
                       {"registry", from},
                       {"reason", std::string(content.status().message())}});
            return;  // requested again after the answer deadline
        }
        if (!m_handlers.m_on_revision({number, *std::move(content)}, from)) {
            return;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_revision = std::max(m_revision, number);
    note_answer(m_document_fetch, from, now + m_options.m_document_interval);
}

void registry_feed::set_link_address(std::string address)
{
    const std::lock_guard lock(m_mutex);
    m_link_address = std::move(address);
}

void registry_feed::set_seeds(std::vector<std::string> seeds, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_seeds = std::move(seeds);
    for (const auto& address : m_seeds) {
        add_registry(address, now);
    }
}

void registry_feed::take_invitation(const wire::Envelope& message, time_point now)
{
    const auto& invitation = message.watch_invitation();
    if (!is_for(invitation, message.log(), m_options.m_host)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& address : invitation.registries()) {
        add_registry(address, now);
    }
}

bool registry_feed::is_seed(const std::string& address) const
{
    return std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end();
}

/// A registry that is new is watched with the next tick.
void registry_feed::add_registry(const std::string& address, time_point now)
{
    const auto known = m_sources.find(address);
    if (known != m_sources.end()) {
        known->second.m_named_at = now;
        return;
    }
    if (m_sources.size() >= max_registries) {
        make_room(now);
    }
    if (m_sources.size() < max_registries) {
        m_sources[address].m_named_at = now;
    }
}

/// Forgets the unresponsive registry that was named longest ago, unless it is a seed.
void registry_feed::make_room(time_point now)
{
    auto oldest = m_sources.end();
    for (auto place = m_sources.begin(); place != m_sources.end(); ++place) {
        const bool is_responsive = place->second.m_heard_at + response_timeout > now;
        if (is_responsive || is_seed(place->first)) {
            continue;
        }
        if (oldest == m_sources.end() || place->second.m_named_at < oldest->second.m_named_at) {
            oldest = place;
        }
    }
    if (oldest != m_sources.end()) {
        m_sources.erase(oldest);
    }
}

/// Whether news has drains that are newer than the known ones. A registry that lags never takes
/// them back.
bool registry_feed::takes_drains(const wire::WatchNews& news)
{
    if (!news.has_drains() || news.drain_change() <= m_drain_change) {
        return false;
    }
    m_drain_change = news.drain_change();
    return true;
}

void registry_feed::take_upstreams(source& from, const wire::WatchNews& news, time_point now,
                                   std::vector<registry::record>& changed)
{
    if (news.registry_life() != from.m_registry_incarnation) {
        if (!news.whole()) {
            return;  // partial state of a restarted registry; the next watch brings all of it
        }
        from.m_registry_incarnation = news.registry_life();
        from.m_change = 0;
    }
    for (const auto& item : news.upstreams()) {
        const auto before = m_table.m_last_change;
        if (merge(m_table, item, now) == registry::merge_result::changed &&
            m_table.m_last_change != before) {
            changed.push_back(m_table.m_records.at(upstream_id(item.name())));
        }
    }
    from.m_has_all_upstreams = from.m_has_all_upstreams || news.whole();
    from.m_change = std::max(from.m_change, news.change());
}

/// Whether updates of a registry may be applied. Once the log is chosen, the next tick sends a
/// watch to every registry, since earlier updates were ignored.
bool registry_feed::accepts_log(const std::string& address, log_id reported, time_point now)
{
    const bool was_chosen = m_log.m_chosen != log_id{};
    record_log(m_log, address, reported, m_seeds.size(), now);
    if (!was_chosen && m_log.m_chosen != log_id{}) {
        m_handlers.m_follow_log(m_log.m_chosen);
        for (auto& [other, target] : m_sources) {
            target.m_last_watch = {};
        }
    }
    return may_apply_update(m_log, reported);
}

void registry_feed::take(const link::peer& from, const wire::Envelope& message, time_point now)
{
    const auto& news = message.watch_news();
    std::vector<registry::record> changed;
    std::vector<pooled_suspicion> suspicions;
    bool has_new_drains = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_sources.find(from.m_address);
        if (place == m_sources.end()) {
            return;
        }
        if (!accepts_log(from.m_address, log_id(message.log()), now)) {
            return;
        }
        auto& subject = place->second;
        subject.m_heard_at = now;
        subject.m_is_sure = news.is_sure();
        subject.m_newest = revisions::revision_number(news.newest_revision());
        take_confirmation(m_confirmation, from.m_address, news, now);
        for (const auto& address : news.registries()) {
            add_registry(address, now);
        }
        has_new_drains = takes_drains(news);
        m_gateways = news.has_loads() ? news.gateways() : m_gateways;
        if (news.has_loads()) {
            slow_start::note_count(m_known_gateways, news.gateways(), now, retry::count_retention);
        }
        take_known_gateways(m_known_gateways, news.known_gateways(), now);
        take_upstreams(subject, news, now, changed);
        take_suspicions(subject, news, now, suspicions);
    }
    if (has_new_drains) {
        m_handlers.m_on_drains(drained_domains(news));
    }
    if (news.is_sure() && news.has_drains()) {
        const std::lock_guard lock(m_mutex);
        m_knows_drains = true;
    }
    for (const auto& item : changed) {
        m_handlers.m_on_upstream(item);
    }
    if (news.has_revision()) {
        take_document(from.m_address, news.revision(), now);
    }
    m_handlers.m_on_confirmation();
    request_document(now);
    if (m_options.m_is_gateway) {
        for (const auto& item : suspicions) {
            m_handlers.m_on_suspicion(item);
        }
        take_limits(news, now);
    }
    if (news.has_loads()) {
        if (m_options.m_is_gateway) {
            m_handlers.m_on_exclusive_grants(
                {news.granted_turns().begin(), news.granted_turns().end()});
        }
        for (const auto& [upstream, in_flight] : loads_of_others(news)) {
            m_handlers.m_on_load(upstream, in_flight);
        }
        for (const auto& item : news.paces()) {
            m_handlers.m_on_slowdown(item.upstream(), item.pace());
        }
        m_handlers.m_on_loads_end();
        m_handlers.m_on_gateways(news.gateways());
    }
}

void registry_feed::lost(const link::peer& disconnected)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_sources.find(disconnected.m_address);
    if (place == m_sources.end()) {
        return;
    }
    place->second.m_heard_at = {};
    record_disconnect(m_document_fetch, disconnected.m_address);
}

bool registry_feed::is_settled(time_point lenient_from, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_revision == revisions::revision_number{}) {
        return false;
    }
    return std::any_of(m_sources.begin(), m_sources.end(), [&](const auto& item) {
        const auto& subject = item.second;
        const bool is_sure = subject.m_is_sure || now >= lenient_from;
        return subject.m_has_all_upstreams && is_sure && subject.m_newest <= m_revision &&
               subject.m_heard_at + response_timeout > now;
    });
}

bool registry_feed::knows_drains() const
{
    const std::lock_guard lock(m_mutex);
    return m_knows_drains;
}

std::size_t registry_feed::heard(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_sources.begin(), m_sources.end(),
        [&](const auto& item) { return item.second.m_heard_at + response_timeout > now; }));
}

std::vector<std::string> registry_feed::addresses() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto& [address, known] : m_sources) {
        result.push_back(address);
    }
    return result;
}

revisions::revision_number registry_feed::newest_known_revision() const
{
    const std::lock_guard lock(m_mutex);
    auto result = m_revision;
    for (const auto& [address, known] : m_sources) {
        result = std::max(result, known.m_newest);
    }
    return result;
}

confirmation registry_feed::last_confirmation() const
{
    const std::lock_guard lock(m_mutex);
    return m_confirmation;
}

std::uint32_t registry_feed::gateways() const
{
    const std::lock_guard lock(m_mutex);
    return m_gateways;
}

std::uint32_t registry_feed::known_gateways() const
{
    const std::lock_guard lock(m_mutex);
    return std::max(m_gateways, m_known_gateways.m_highest);
}

revisions::revision_number registry_feed::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

}  // namespace dewbeam::registrar
