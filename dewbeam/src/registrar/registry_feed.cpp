#include "dewbeam/src/registrar/registry_feed.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/registrar/announcement_wire.h"
#include "dewbeam/src/registrar/limit_wire.h"
#include "dewbeam/src/registrar/watchers.h"

namespace dewbeam::registrar {

namespace {

/// Larger than any request body that an operator may send.
constexpr std::size_t longest_document = 64UL << 20U;
/// A registry that didn't answer for so long is not counted as heard.
constexpr time_span heard_span = std::chrono::milliseconds(2500);
/// Registries that a gateway remembers at most: seven may exist, and some were replaced.
constexpr std::size_t most_registries = 16;

/// A limit that upstreams keep repeating is sent again at this interval, so that the registry
/// doesn't expire it.
constexpr time_span limit_refresh = std::chrono::seconds(5);

/// What a registry bears of such questions grows with the gateways.
constexpr time_span loads_interval_of_gateway = std::chrono::milliseconds(6);
constexpr time_span shortest_loads_interval = std::chrono::milliseconds(100);

/// A registry tells every follower of a change at once; a watch brings what was lost on the way and
/// keeps the lease. With 150 gateways each registry is asked twice a second by each.
constexpr time_span news_interval_of_gateway = std::chrono::milliseconds(4);
constexpr time_span longest_news_interval = std::chrono::milliseconds(500);

/// The document as the operator sent it, decompressed if necessary.
absl::StatusOr<std::string> content_of(const wire::Revision& received)
{
    if (received.packed_content().empty()) {
        return received.content();
    }
    return inflate_text(received.packed_content(), longest_document);
}

}  // namespace

time_span news_interval(std::uint32_t gateways, time_span shortest)
{
    const time_span wanted = news_interval_of_gateway * gateways;
    return std::max(shortest, std::min(wanted, longest_news_interval));
}

time_span loads_interval(std::uint32_t gateways, time_span longest)
{
    const auto wanted = std::max(shortest_loads_interval, loads_interval_of_gateway * gateways);
    return std::min<time_span>(wanted, longest);
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

/// The registry that tells the loads adds them up; the others need none.
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
    watch.set_registry_life(target.m_life);
    watch.set_known_change(target.m_change);
    watch.set_known_revision(m_revision.value());
    watch.set_wants_loads(wants_loads && m_options.m_is_gateway);
    watch.set_is_gateway(m_options.m_is_gateway);
    put_own_loads(watch);
    put_limits(watch, now);
    put_suspicions(watch, target, now);
    for (const auto& [name, pace] : m_paces) {
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
        const auto told = m_told_limits.m_limits.find(limit.m_upstream);
        const bool is_told = told != m_told_limits.m_limits.end() &&
                             told->second.m_incarnation == limit.m_incarnation &&
                             told->second.m_per_second == limit.m_per_second &&
                             limit.m_heard_at <= told->second.m_heard_at + limit_refresh;
        if (!is_told) {
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
    const auto told = target.m_suspicion_life == target.m_life ? target.m_told_suspicion : 0;
    watch.set_suspicion_change(put_changes(m_suspicions, told, now, *watch.mutable_suspicions()));
    watch.set_known_suspicion_change(
        target.m_suspicion_life == target.m_life ? target.m_known_suspicion : 0);
    if (watch.wants_loads()) {
        for (const auto content : m_wanted_turns) {
            watch.add_wanted_turns(content.value());
        }
    }
}

void registry_feed::take_suspicions(source& from, const wire::WatchNews& news, time_point now,
                                    std::vector<noted_suspicion>& changed)
{
    if (from.m_suspicion_life != news.registry_life()) {
        from.m_suspicion_life = news.registry_life();
        from.m_known_suspicion = 0;
        from.m_told_suspicion = 0;
    }
    for (const auto& item : news.suspicions()) {
        const auto heard = from_wire(item, now);
        if (auto record = registrar::take(m_suspicions, heard)) {
            changed.push_back({heard.m_pool, *std::move(record)});
        }
    }
    from.m_known_suspicion = std::max(from.m_known_suspicion, news.suspicion_change());
    from.m_told_suspicion = std::max(from.m_told_suspicion, news.taken_suspicion_change());
}

/// The next tick sends a watch to every registry.
void registry_feed::ask_all_at_once()
{
    for (auto& [address, target] : m_sources) {
        target.m_asked_at = {};
    }
}

bool registry_feed::report(const noted_suspicion& learned)
{
    const std::lock_guard lock(m_mutex);
    if (!registrar::take(m_suspicions, learned)) {
        return false;
    }
    ask_all_at_once();
    return true;
}

std::optional<noted_suspicion> registry_feed::report_good_run(fingerprint content, time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto record = outweigh(m_suspicions, content, now);
    if (record) {
        ask_all_at_once();
    }
    return record;
}

void registry_feed::set_wanted_turns(std::vector<fingerprint> wanted)
{
    const std::lock_guard lock(m_mutex);
    if (wanted != m_wanted_turns) {
        m_wanted_turns = std::move(wanted);
        ask_all_at_once();
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
        permits::limit_table told;
        for (const auto& item : news.limits()) {
            const auto limit = from_wire(item, now);
            told.m_limits.insert_or_assign(limit.m_upstream, limit);
        }
        const std::lock_guard lock(m_mutex);
        m_told_limits = std::move(told);
    }
    for (const auto& item : news.limits()) {
        m_handlers.m_on_limit(from_wire(item, now));
    }
    for (const auto& item : news.issued_permits()) {
        m_handlers.m_on_permits(upstream_id(item.upstream()), item.count());
    }
}

void registry_feed::tick(const load_list& loads, const pace_list& paces, time_point now)
{
    std::vector<std::pair<std::string, wire::Envelope>> due;
    {
        const std::lock_guard lock(m_mutex);
        expire(m_suspicions, now);
        m_loads = loads;
        m_paces = paces;
        // The loads come from one registry, the first that is heard.
        bool wants_loads = true;
        for (auto& [address, target] : m_sources) {
            const bool is_heard = target.m_heard_at + heard_span > now;
            const bool tells_loads = wants_loads && is_heard && m_options.m_is_gateway;
            const auto interval = tells_loads ? loads_interval(m_gateways, m_options.m_interval)
                                              : news_interval(m_gateways, m_options.m_interval);
            if (target.m_asked_at + interval > now) {
                wants_loads = wants_loads && !is_heard;
                continue;
            }
            target.m_asked_at = now;
            due.emplace_back(address, watch_of(target, wants_loads && is_heard, now));
            wants_loads = wants_loads && !is_heard;
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
            if (known.m_heard_at + heard_span > now) {
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
        if (!m_handlers.m_on_revision({number, *std::move(content)})) {
            return;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_revision = std::max(m_revision, number);
    note_answer(m_document_fetch, from, now + m_options.m_document_interval);
}

void registry_feed::learn_registries(const wire::WatchNews& news)
{
    for (const auto& address : news.registries()) {
        if (m_sources.size() < most_registries) {
            m_sources.try_emplace(address);
        }
    }
}

void registry_feed::take_upstreams(source& from, const wire::WatchNews& news, time_point now,
                                   std::vector<registry::record>& changed)
{
    if (news.registry_life() != from.m_life) {
        if (!news.whole()) {
            return;  // a part of what a new process knows: the next watch brings all
        }
        from.m_life = news.registry_life();
        from.m_change = 0;
    }
    for (const auto& item : news.upstreams()) {
        const auto before = m_table.m_last_change;
        if (merge(m_table, item, now) == registry::merge_result::changed &&
            m_table.m_last_change != before) {
            changed.push_back(m_table.m_records.at(upstream_id(item.name())));
        }
    }
    from.m_has_whole = from.m_has_whole || news.whole();
    from.m_change = std::max(from.m_change, news.change());
}

/// Whether news of a registry may be taken in. What waited for the choice of the log is asked for
/// again at once.
bool registry_feed::is_of_own_log(const std::string& address, log_id told, time_point now)
{
    const bool was_chosen = m_log.m_chosen != log_id{};
    note_log(m_log, address, told, m_seeds.size(), now);
    if (!was_chosen && m_log.m_chosen != log_id{}) {
        m_handlers.m_follow_log(m_log.m_chosen);
        for (auto& [other, target] : m_sources) {
            target.m_asked_at = {};
        }
    }
    return may_take(m_log, told);
}

void registry_feed::take(const link::peer& from, const wire::Envelope& message, time_point now)
{
    const auto& news = message.watch_news();
    std::vector<registry::record> changed;
    std::vector<noted_suspicion> suspicions;
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_sources.find(from.m_address);
        if (place == m_sources.end()) {
            return;
        }
        if (!is_of_own_log(from.m_address, log_id(message.log()), now)) {
            return;
        }
        auto& subject = place->second;
        subject.m_heard_at = now;
        subject.m_is_sure = news.is_sure();
        subject.m_newest = revisions::revision_number(news.newest_revision());
        learn_registries(news);
        m_gateways = news.has_loads() ? news.gateways() : m_gateways;
        take_upstreams(subject, news, now, changed);
        take_suspicions(subject, news, now, suspicions);
    }
    for (const auto& item : changed) {
        m_handlers.m_on_upstream(item);
    }
    if (news.has_revision()) {
        take_document(from.m_address, news.revision(), now);
    }
    request_document(now);
    if (m_options.m_is_gateway) {
        for (const auto& item : suspicions) {
            m_handlers.m_on_suspicion(item);
        }
        take_limits(news, now);
    }
    if (news.has_loads()) {
        if (m_options.m_is_gateway) {
            m_handlers.m_on_turns({news.granted_turns().begin(), news.granted_turns().end()});
        }
        for (const auto& [upstream, in_flight] : loads_of_others(news)) {
            m_handlers.m_on_load(upstream, in_flight);
        }
        for (const auto& item : news.paces()) {
            m_handlers.m_on_pace(item.upstream(), item.pace());
        }
        m_handlers.m_on_loads_end();
        m_handlers.m_on_gateways(news.gateways());
    }
}

void registry_feed::lost(const link::peer& gone)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_sources.find(gone.m_address);
    if (place == m_sources.end()) {
        return;
    }
    place->second.m_heard_at = {};
    note_lost(m_document_fetch, gone.m_address);
    const bool is_seed = std::find(m_seeds.begin(), m_seeds.end(), gone.m_address) != m_seeds.end();
    if (!is_seed && m_sources.size() >= most_registries) {
        m_sources.erase(place);  // room for one that took its place
    }
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
        return subject.m_has_whole && is_sure && subject.m_newest <= m_revision &&
               subject.m_heard_at + heard_span > now;
    });
}

std::size_t registry_feed::heard(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_sources.begin(), m_sources.end(),
                      [&](const auto& item) { return item.second.m_heard_at + heard_span > now; }));
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

std::uint32_t registry_feed::gateways() const
{
    const std::lock_guard lock(m_mutex);
    return m_gateways;
}

revisions::revision_number registry_feed::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

}  // namespace dewbeam::registrar
