#include "dewbeam/src/gateway/gateway_server.h"

#include <cmath>
#include <set>
#include <utility>

#include "dewbeam/link"
#include "dewbeam/src/gateway/crash_blame.h"
#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"
#include "dewbeam/src/gateway/intake.h"
#include "dewbeam/src/registrar/addresses.h"
#include "dewbeam/src/registrar/registry_contact.h"

namespace dewbeam::gateway {

namespace {

using json = nlohmann::json;

/// How often deadlines and late attempts are checked: a small part of the shortest objective.
constexpr time_span tick_interval = std::chrono::milliseconds(20);
constexpr time_span slow_interval = std::chrono::milliseconds(500);
/// Minimum time between two documents that a gateway fetches. Each document is sent to every
/// gateway, so this bounds the load on the registries when changes follow in quick succession; it
/// is a small part of the time allowed for a change to take effect.
constexpr time_span document_interval = std::chrono::milliseconds(200);
/// How long startup waits for a registry that is certain to have the newest revision.
constexpr time_span settled_revision_timeout = std::chrono::seconds(4);
/// How long the first configuration waits for a confirmation that is no older than the start. Then
/// any will do: a registry that is cut off tells what a quorum confirmed before the cut.
constexpr time_span fresh_confirmation_timeout = std::chrono::milliseconds(1500);

retry::budget_options retries_of(const json& settings, std::uint32_t gateways)
{
    auto result = retry::part_of({setting_value<double>(settings, "/retries/share"),
                                  setting_value<double>(settings, "/retries/burst")},
                                 gateways);
    result.m_initial = setting_value<double>(settings, "/retries/initial");
    return result;
}

/// No gateway has an upstream to itself, so contents run concurrently with others. Quarantine takes
/// one crash more than where suspects run in isolation, to tell the cause from contents that only
/// ran at the same time.
quarantine::quarantine_options quarantine_of_contents()
{
    quarantine::quarantine_options result;
    result.m_deaths_to_quarantine = 3;
    return result;
}

dispatch::broker_options broker_options_of(const json& settings)
{
    dispatch::broker_options result;
    result.m_failure_domain =
        failure_domain_id(setting_value<std::string>(settings, "/failure_domain"));
    result.m_entry = host_id(setting_value<std::string>(settings, "/host"));
    result.m_sharing_entry_count = setting_value<std::uint32_t>(settings, "/gateways");
    result.m_retries = retries_of(settings, result.m_sharing_entry_count);
    // Streamed answers take about 1.5 s. The counts reported by the other gateways are up to 0.3 s
    // old.
    result.m_choice.m_running_lifetime = std::chrono::milliseconds(1500);
    result.m_choice.m_waiting_lifetime = std::chrono::milliseconds(500);
    result.m_runs_must_fit = false;
    result.m_waits_for_upstreams = true;
    result.m_quarantine = quarantine_of_contents();
    result.m_suspects_run_exclusively = true;
    result.m_queue.m_shortest_return = std::chrono::milliseconds(300);
    auto& ranking = result.m_overload.m_ranking;
    ranking.m_priority_ratio = setting_value<double>(settings, "/overload/priority_ratio");
    ranking.m_late_share = setting_value<double>(settings, "/overload/late_share");
    ranking.m_floor = setting_value<double>(settings, "/overload/floor");
    return result;
}

registrar::feed_options feed_options_of(const json& settings, incarnation own)
{
    registrar::feed_options result;
    result.m_host = setting_value<std::string>(settings, "/host");
    result.m_document_interval = document_interval;
    result.m_preference_seed = own.value();
    result.m_quarantine = quarantine_of_contents();
    return result;
}

time_span silence_limit_of(const json& settings)
{
    return std::chrono::milliseconds(setting_value<std::int64_t>(settings, "/answers/silence_ms"));
}

answer_limits answer_limits_of(const json& settings)
{
    const auto bytes = [&](const char* path) { return setting_value<std::size_t>(settings, path); };
    return {bytes("/answers/most_event_bytes"), silence_limit_of(settings),
            std::make_shared<replies::answer_budget>(bytes("/answers/most_buffered_bytes"))};
}

backoff_limits backoff_limits_of(const json& settings)
{
    const auto span = [&](const char* path) {
        return std::chrono::milliseconds(setting_value<std::int64_t>(settings, path));
    };
    return {span("/backoffs/longest_ms"), span("/backoffs/unreadable_ms")};
}

http::client_options client_options(const json& settings)
{
    http::client_options result;
    result.m_silence_limit = silence_limit_of(settings);
    result.m_most_answer_bytes = setting_value<std::uint64_t>(settings, "/answers/most_bytes");
    result.m_connect_limit = std::chrono::milliseconds(500);
    result.m_most_idle = 16;
    result.m_idle_limit = std::chrono::seconds(4);
    return result;
}

}  // namespace

gateway_state::gateway_state(program::program& frame, const json& settings,
                             const wire_format& format, registrar::feed_handlers handlers)
    : m_frame(frame),
      m_settings(settings),
      m_format(format),
      m_incarnation(program::new_incarnation()),
      m_pools(broker_options_of(settings)),
      m_crashes(frame.context()),
      m_upstreams(frame.context(), client_options(settings),
                  [this](const upstream_incarnation& where) {
                      check_idle_end(*this, where, program::now());
                  }),
      m_answer_limits(answer_limits_of(settings)),
      m_backoff_limits(backoff_limits_of(settings)),
      m_feed(registrar::registry_addresses(settings), feed_options_of(settings, m_incarnation),
             std::move(handlers)),
      m_random(program::seeded_engine())
{
}

std::vector<setting> gateway_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const auto registries = registrar::registry_settings();
    schema.insert(schema.end(), registries.begin(), registries.end());
    constexpr std::int64_t max_gateways = 10'000;
    constexpr std::int64_t max_retries = 1'000'000;
    constexpr std::int64_t mebibyte = 1024L * 1024;
    constexpr std::int64_t max_backoff_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(http::max_retry_after).count();
    constexpr std::int64_t default_backoff_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(notices::default_backoff).count();
    constexpr std::int64_t max_answer_bytes = 1024 * mebibyte;
    const std::vector<setting> own{
        {"/readiness_listen", setting_kind::address, "127.0.0.1:0",
         "Address for questions on readiness, metrics and status."},
        {"/gateways", setting_kind::integer, 8,
         "Gateways of the deployment, until a registry has told how many there are.", 1,
         max_gateways},
        {"/retries/share", setting_kind::number, 0.1,
         "Retries for each first try that all gateways may send.", 0, 1},
        {"/retries/burst", setting_kind::number, 40.0,
         "Retries beyond that share that all gateways together may send at once.", 0, max_retries},
        {"/retries/initial", setting_kind::number, 0.0,
         "Retries that a gateway may send before it has earned any. Each start of the process "
         "grants them again: with more than 0, restarts can exceed the budget.",
         0, max_retries},
        {"/retries/first_start", setting_kind::boolean, false,
         "Without effect; read so that settings of earlier versions are taken."},
        {"/overload/control", setting_kind::boolean, true,
         "Overload control in pools of streams whose routes have different priorities."},
        {"/overload/priority_ratio", setting_kind::number, 2.0,
         "Value of an answer relative to one of the next lower priority.", 1, 100},
        {"/overload/late_share", setting_kind::number, 0.6,
         "Value of a late answer relative to one in time.", 0, 1},
        {"/overload/floor", setting_kind::number, 0.05,
         "Least share of a pool's work that lower priorities get together while they wait.", 0, 1},
        {"/backoffs/longest_ms", setting_kind::integer, max_backoff_ms,
         "Longest backoff that an upstream may ask for by Retry-After; longer ones are cut (ms).",
         1, max_backoff_ms},
        {"/backoffs/unreadable_ms", setting_kind::integer, default_backoff_ms,
         "Backoff for an upstream whose Retry-After can't be read (ms).", 0, max_backoff_ms},
        {"/drains/wait_at_start", setting_kind::boolean, false,
         "Send nothing after a start until a registry with a quorum has told which failure domains "
         "are drained; 4 s at most."},
        {"/answers/most_bytes", setting_kind::integer, 16 * mebibyte,
         "Largest answer of an upstream, plain or streamed (bytes).", 1024, max_answer_bytes},
        {"/answers/most_event_bytes", setting_kind::integer, mebibyte / 4,
         "Most bytes of a stream without a complete event (bytes).", 1024, max_answer_bytes},
        {"/answers/most_buffered_bytes", setting_kind::integer, 32 * mebibyte,
         "Memory of all unfinished answers together; small ones don't count (bytes).", 0,
         max_answer_bytes},
        {"/answers/silence_ms", setting_kind::integer, 30'000,
         "How long an upstream may send nothing, or a stream no event (ms).", 10, 3'600'000},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class gateway_server::implementation {
public:
    implementation(program::program& frame, const json& settings, const wire_format& format)
        : m_state(frame, settings, format, feed_handlers_of())
    {
    }

    absl::Status start()
    {
        auto node = program::start_node(
            m_state.m_settings, m_state.m_incarnation,
            {[this](const link::peer& from, wire::Envelope&& message) {
                 on_message(from, message);
             },
             [this](const std::vector<link::peer>& lost_peers) {
                 for (const auto& item : lost_peers) {
                     log_event(log_level::warning, "registry_lost", {{"address", item.m_address}});
                     m_state.m_feed.lost(item);
                 }
             }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        m_state.m_feed.set_link_address(m_node->address());
        m_memory = program::make_memory_budget(m_state.m_settings);
        auto server = program::start_http(
            m_state.m_frame.context(), m_state.m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                handle(std::move(request), answer);
            },
            m_memory);
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        auto pages = program::start_http_at(
            m_state.m_frame.context(), m_state.m_settings, "/readiness_listen",
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                answer->respond(page(request));
            },
            m_memory);
        if (!pages.ok()) {
            return pages.status();
        }
        m_pages = *std::move(pages);
        m_started_at = program::now();
        m_is_started = true;
        program::write_address_file(m_state.m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [this] {
            return m_state.m_book.current() != nullptr &&
                   m_state.m_feed.is_settled(m_started_at + settled_revision_timeout,
                                             program::now());
        };
        result.m_in_flight = [this] {
            return std::max(m_state.m_requests.size(), m_server->unanswered());
        };
        result.m_announce_leave = [this] { m_server->wind_down(); };
        result.m_stop_accepting = [this] { m_server->stop_accepting(); };
        result.m_give_up = [this] { fail_all_requests(m_state, program::now()); };
        result.m_tick = [this](time_point now) { tick(now); };
        result.m_tick_interval = tick_interval;
        result.m_on_settings = [this](const json& settings) {
            m_state.m_feed.set_seeds(registrar::registry_addresses(settings), program::now());
        };
        return result;
    }

    ~implementation()
    {
        if (m_node) {
            m_node->stop();  // its thread uses members that are destroyed before `m_node`
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

private:
    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!m_is_started) {
            return;
        }
        if (message.has_watch_news()) {
            m_state.m_feed.take(from, message, program::now());
        }
        else if (message.has_watch_invitation()) {
            m_state.m_feed.take_invitation(message, program::now());
        }
    }

    void handle(http::request&& request, const std::shared_ptr<http::exchange>& answer)
    {
        if (m_state.m_format.m_is_readiness_call(request)) {
            answer->respond(readiness());
            return;
        }
        receive_call(m_state, std::move(request), answer);
    }

    http::response readiness() const
    {
        const auto phase = m_state.m_frame.phase();
        return http::json_response(phase == lifecycle::phase::serving ? 200 : 503,
                                   write_json({{"phase", lifecycle::to_string(phase)}}));
    }

    http::response page(const http::request& request) const
    {
        const auto path = http::path_of(request.m_target);
        if (path == "/healthz") {
            return http::json_response(200, R"({"status":"ok"})");
        }
        if (path == "/metrics") {
            return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_state.m_metrics.text()};
        }
        if (path == "/v1/status") {
            return status();
        }
        if (path == "/readyz" || m_state.m_format.m_is_readiness_call(request)) {
            return readiness();
        }
        return to_response({404, "unknown_path", "there is no such path", time_span::zero()}, "");
    }

    /// How long ago a quorum of registries confirmed the newest revision held; empty if none did.
    std::optional<time_span> confirmed_age(time_point now) const
    {
        const auto known = m_state.m_feed.last_confirmation();
        if (!is_confirmed(known, m_state.m_feed.revision())) {
            return std::nullopt;
        }
        return now - known.m_at;
    }

    http::response status() const
    {
        const auto now = program::now();
        const auto confirmed = confirmed_age(now);
        json page{{"host", setting_value<std::string>(m_state.m_settings, "/host")},
                  {"role", "gateway"},
                  {"phase", lifecycle::to_string(m_state.m_frame.phase())},
                  {"revision", m_state.m_feed.revision().value()},
                  {"confirmed_ms", confirmed ? to_milliseconds(*confirmed) : -1.0},
                  {"registries", m_state.m_feed.heard(now)},
                  {"registry_addresses", m_state.m_feed.addresses()},
                  {"in_flight", m_state.m_requests.size()},
                  {"attempts", m_state.m_pools.in_flight()},
                  {"upstreams", json::array()}};
        for (const auto& load : m_state.m_upstreams.loads()) {
            page["upstreams"].push_back({{"name", load.m_name.value()},
                                         {"pool", load.m_pool},
                                         {"in_flight", load.m_in_flight}});
        }
        page["closed_by_notices"] = json::array();
        for (const auto& closed : m_state.m_upstreams.closed_by_notices(now)) {
            const auto left = std::max(time_span::zero(), closed.m_backoff_until - now);
            page["closed_by_notices"].push_back({{"name", closed.m_name.value()},
                                                 {"pool", closed.m_pool},
                                                 {"backoff_s", to_seconds(left)},
                                                 {"leaving", closed.m_is_leaving}});
        }
        return http::json_response(200, write_json(page));
    }

    registrar::feed_handlers feed_handlers_of()
    {
        registrar::feed_handlers result;
        result.m_send = [this](const std::string& address, wire::Envelope&& message) {
            m_node->send(address, std::move(message));
        };
        result.m_follow_log = [this](log_id log) { m_node->follow_log(log); };
        result.m_on_upstream = [this](const registry::record& changed) { on_upstream(changed); };
        result.m_on_revision = [this](const revisions::revision& newer,
                                      const std::string& registry) {
            return on_revision(newer, registry);
        };
        result.m_on_confirmation = [this] {
            adopt_first_book(program::now());
            release_held_calls(m_state);
        };
        result.m_on_drains = [this](const std::set<failure_domain_id>& drained) {
            on_drains(drained);
        };
        result.m_on_load = [this](const std::string& upstream, std::uint32_t in_flight) {
            m_other_gateways_load[upstream_id(upstream)] = in_flight;
        };
        result.m_on_slowdown = [this](const std::string& upstream, double pace) {
            m_slowdowns[upstream_id(upstream)] = pace;
        };
        result.m_on_loads_end = [this] { on_loads(); };
        result.m_on_gateways = [this](std::uint32_t gateways) { on_gateways(gateways); };
        result.m_on_limit = [this](const permits::rate_limit& reported) {
            if (m_state.m_upstreams.note_limit(reported)) {
                apply_rate_limit(m_state, reported.m_upstream, reported.m_per_second,
                                 program::now());
            }
        };
        result.m_on_suspicion = [this](const registrar::pooled_suspicion& received) {
            apply_suspicion(m_state, received, program::now());
        };
        result.m_on_exclusive_grants = [this](const std::vector<fingerprint>& granted) {
            apply_exclusive_grants(m_state, granted, program::now());
        };
        result.m_on_permits = [this](const upstream_id& upstream, std::uint32_t count) {
            const auto now = program::now();
            if (!m_state.m_upstreams.is_cold(upstream, now)) {
                add_permits(upstream, count, now + permits::permit_lifetime, now);
            }
        };
        return result;
    }

    void on_upstream(const registry::record& changed)
    {
        const auto now = program::now();
        const auto& known = changed.m_announced;
        log_event(log_level::info, "upstream_changed",
                  {{"upstream", known.m_name.value()},
                   {"service", known.m_service},
                   {"state", registry::to_string(known.m_state)},
                   {"silent", changed.m_is_unresponsive},
                   {"group_epoch", known.m_group ? known.m_group->m_epoch : 0},
                   {"group_broken", known.m_group && known.m_group->m_is_broken},
                   {"incarnation", known.m_incarnation.value()},
                   {"number", known.m_number.value()}});
        handle_upstream_change(m_state, changed, now);
        if (known.m_state == registry::upstream_state::gone) {
            remove_upstream(m_state, known.m_name, now);
            return;
        }
        for (const auto& member : m_state.m_upstreams.put(known, changed.m_is_unresponsive, now)) {
            update_broker(m_state, member, now);
        }
        update_broker(m_state, known.m_name, now);
    }

    void on_drains(const std::set<failure_domain_id>& drained)
    {
        const auto now = program::now();
        std::string names;
        for (const auto& domain : drained) {
            names += (names.empty() ? "" : ",") + domain.value();
        }
        log_event(log_level::info, "drains_in_force", {{"domains", names}});
        for (const auto& name : m_state.m_upstreams.set_drained_domains(drained, now)) {
            update_broker(m_state, name, now);
        }
        m_state.m_metrics.set_drained_domains(drained.size());
    }

    bool on_revision(const revisions::revision& newer, const std::string& registry)
    {
        auto read = m_state.m_format.m_read_book(newer.m_content);
        if (!read.ok()) {
            log_event(log_level::error, "revision_unreadable",
                      {{"revision", newer.m_number.value()},
                       {"reason", std::string(read.status().message())}});
            return false;
        }
        auto fresh = std::make_shared<routes::book>(*std::move(read));
        routes::index(*fresh);
        log_event(log_level::info, "revision_received",
                  {{"revision", newer.m_number.value()}, {"registry", registry}});
        if (must_wait(*fresh, program::now())) {
            const std::lock_guard lock(m_first_book_mutex);
            m_first_book = std::move(fresh);
            return true;
        }
        adopt(std::move(fresh));
        return true;
    }

    /// Called on the link's thread and on the frame's.
    void adopt(std::shared_ptr<const routes::book> fresh)
    {
        const std::lock_guard lock(m_adopt_mutex);
        const auto current = m_state.m_book.current();
        if (current && current->m_revision >= fresh->m_revision) {
            return;
        }
        const auto revision = fresh->m_revision;
        const auto routes = fresh->m_routes.size();
        control_overload(*fresh);
        set_cold_services(*fresh);
        m_state.m_book.adopt(std::move(fresh));
        const auto known = m_state.m_feed.last_confirmation();
        log_event(log_level::info, "revision_in_force",
                  {{"revision", revision.value()},
                   {"routes", routes},
                   {"confirmed_revision", known.m_newest.value()},
                   {"confirmed_by", known.m_registry}});
        release_held_calls(m_state);
    }

    /// Whether a configuration must not take effect yet, as the first one since the start. After a
    /// loss of all processes, registries tell revisions before they know whether newer ones were
    /// acknowledged, and which drains were. Not longer than the wait for the newest revision, since
    /// a gateway that is cut off must serve with what it knows.
    bool must_wait(const routes::book& fresh, time_point now) const
    {
        if (m_state.m_book.current() || now >= m_started_at + settled_revision_timeout) {
            return false;
        }
        const bool needs_drains = setting_value<bool>(m_state.m_settings, "/drains/wait_at_start");
        const auto since = now < m_started_at + fresh_confirmation_timeout
                               ? m_started_at - registrar::sure_limit
                               : time_point{};
        return !is_confirmed(m_state.m_feed.last_confirmation(), fresh.m_revision, since) ||
               (needs_drains && !m_state.m_feed.knows_drains());
    }

    /// Puts the configuration in force that waited for its confirmation or for the drains.
    void adopt_first_book(time_point now)
    {
        std::shared_ptr<const routes::book> fresh;
        {
            const std::lock_guard lock(m_first_book_mutex);
            if (m_first_book && !must_wait(*m_first_book, now)) {
                fresh = std::exchange(m_first_book, nullptr);
            }
        }
        if (fresh) {
            adopt(std::move(fresh));
        }
    }

    /// Switches overload control on in the pools of services whose routes have different
    /// priorities.
    void control_overload(const routes::book& rules)
    {
        const auto services = routes::streaming_services_with_priorities(rules);
        std::set<std::string> pools;
        if (setting_value<bool>(m_state.m_settings, "/overload/control")) {
            for (const auto& service : services) {
                pools.insert(pool_name(service));
            }
        }
        for (const auto& pool : pools) {
            log_event(log_level::info, "overload_control_on", {{"pool", pool}});
        }
        m_state.m_pools.set_overload_controlled(std::move(pools), program::now());
    }

    void on_loads()
    {
        const auto now = program::now();
        m_state.m_upstreams.set_slowdowns(m_slowdowns);
        m_slowdowns.clear();
        for (const auto& load : m_state.m_upstreams.loads()) {
            const auto place = m_other_gateways_load.find(load.m_name);
            m_state.m_upstreams.set_other_gateways_load(
                load.m_name, place == m_other_gateways_load.end() ? 0 : place->second, now);
            update_broker(m_state, load.m_name, now);
        }
        m_other_gateways_load.clear();
    }

    void add_permits(const upstream_id& upstream, std::uint32_t count, time_point deadline,
                     time_point now)
    {
        const auto pool = m_state.m_upstreams.pool_of(upstream);
        perform(m_state, m_state.m_pools.add_permits(pool, upstream, count, deadline, now), now);
    }

    /// While no registry is reachable, issues this gateway's equal share of each limit.
    void issue_own_shares(const std::vector<permits::rate_limit>& limits, time_point now)
    {
        if (limits.empty() || m_state.m_feed.heard(now) > 0) {
            m_own_shares.clear();
            return;
        }
        for (const auto& limit : limits) {
            if (limit.m_per_second && !m_state.m_upstreams.is_cold(limit.m_upstream, now) &&
                take_own_share(m_own_shares[limit.m_upstream], *limit.m_per_second,
                               m_state.m_feed.gateways(), now)) {
                add_permits(limit.m_upstream, 1, now + permits::permit_lifetime, now);
            }
        }
    }

    bool take_own_share(permits::own_share& share, double per_second, std::uint32_t gateways,
                        time_point now)
    {
        const std::lock_guard lock(m_state.m_random_mutex);
        return permits::take_own_share(share, per_second, gateways, now, m_state.m_random);
    }

    /// Issues this gateway's permits for cold upstreams. They come without a registry, since the
    /// limit also applies while gateways are cut off from each other.
    void issue_cold_permits(time_point now)
    {
        std::set<upstream_id> cold;
        const auto least = setting_value<std::uint32_t>(m_state.m_settings, "/gateways");
        slow_start::note_count(m_sharing, std::max(least, m_state.m_feed.gateways()), now);
        if (m_first_heard_at == time_point{} && m_state.m_feed.heard(now) > 0) {
            m_first_heard_at = now;
        }
        const auto heard_since = m_first_heard_at == time_point{} ? now : m_first_heard_at;
        const auto gateways = slow_start::sharing_gateways(m_sharing, heard_since, now);
        for (const auto& item : m_state.m_upstreams.cold_upstreams(now)) {
            cold.insert(item.m_name);
            const auto [place, is_new] = m_cold_shares.try_emplace(item.m_name);
            if (is_new) {
                log_event(log_level::info, "upstream_cold",
                          {{"upstream", item.m_name.value()}, {"per_second", item.m_per_second}});
                update_broker(m_state, item.m_name, now);
            }
            if (take_own_share(place->second, item.m_per_second, gateways, now)) {
                add_permits(item.m_name, 1, now + slow_start::permit_lifetime, now);
            }
        }
        for (auto place = m_cold_shares.begin(); place != m_cold_shares.end();) {
            if (cold.contains(place->first)) {
                ++place;
                continue;
            }
            log_event(log_level::info, "upstream_warm", {{"upstream", place->first.value()}});
            update_broker(m_state, place->first, now);
            place = m_cold_shares.erase(place);
        }
        m_state.m_metrics.set_cold_upstreams(cold.size());
    }

    /// Makes the brokers treat upstreams as cold, or as warm again, by a configuration.
    void set_cold_services(const routes::book& rules)
    {
        std::map<std::string, routes::service> services;
        for (const auto& service : rules.m_services) {
            if (service.m_cold_requests_per_second > 0.0) {
                services.emplace(service.m_name, service);
            }
        }
        m_state.m_upstreams.set_cold_services(std::move(services));
        // The brokers must know what is cold before the held calls are sent.
        const auto now = program::now();
        for (const auto& item : m_state.m_upstreams.cold_upstreams(now)) {
            update_broker(m_state, item.m_name, now);
        }
    }

    void on_gateways(std::uint32_t gateways)
    {
        if (gateways == 0) {
            return;
        }
        const auto sharing = m_state.m_feed.known_gateways();
        if (gateways == m_gateways && sharing == m_sharing_gateways) {
            return;
        }
        const auto retries = retries_of(m_state.m_settings, sharing);
        if (sharing != m_sharing_gateways) {
            log_event(
                log_level::info, "retry_budget_shared",
                {{"gateways", sharing}, {"share", retries.m_share}, {"burst", retries.m_burst}});
        }
        m_gateways = gateways;
        m_sharing_gateways = sharing;
        m_state.m_pools.set_sharing(gateways, retries);
    }

    void tick(time_point now)
    {
        registrar::load_list loads;
        for (const auto& load : m_state.m_upstreams.loads()) {
            loads.emplace_back(load.m_name.value(), load.m_in_flight);
        }
        const auto limits = m_state.m_upstreams.limits(now);
        m_state.m_feed.set_limits(limits, limits.empty() ? std::vector<permits::demand>{}
                                                         : m_state.m_pools.wanted_permits(now));
        request_exclusive_grants(m_state, now);
        m_state.m_feed.tick(loads, {}, now);
        issue_own_shares(limits, now);
        issue_cold_permits(now);
        perform(m_state, m_state.m_pools.tick(now), now);
        for (const auto& group : m_state.m_pools.take_stalled_groups()) {
            log_event(log_level::warning, "group_closed",
                      {{"group", group}, {"reason", "its streams had no events"}});
        }
        adopt_first_book(now);
        refuse_expired_calls(m_state, now);
        for (const auto& request : m_state.m_requests.all()) {
            watch_request(m_state, request, now);
        }
        if (now >= m_next_slow) {
            m_next_slow = now + slow_interval;
            slow_tick(now);
        }
    }

    /// Work that is due less often than each tick.
    void slow_tick(time_point now)
    {
        report_contact(m_contact, m_state.m_feed, now);
        m_state.m_metrics.set_registry_silence(silence_of(m_contact, now));
        report_unresponsive_upstreams(m_state, now);
        for (const auto& name : m_state.m_upstreams.silent()) {
            update_broker(m_state, name, now);
        }
        report_group_limits(now);
        m_state.m_upstreams.forget_old_notices(now);
        m_state.m_metrics.set_closed_by_notices(m_state.m_upstreams.closed_by_notices(now).size());
        m_state.m_metrics.set_in_flight(m_state.m_requests.size());
        m_state.m_metrics.set_attempts(m_state.m_pools.in_flight());
        m_state.m_metrics.set_upstreams(m_state.m_upstreams.size());
        m_state.m_metrics.set_registries(m_state.m_feed.heard(now));
        m_state.m_metrics.set_revision(m_state.m_feed.revision().value());
        m_state.m_metrics.set_confirmed_age(confirmed_age(now));
        m_state.m_metrics.set_unreadable_messages(m_node->unreadable_messages());
        const auto retries = m_state.m_pools.retries();
        m_state.m_metrics.set_retries_sent(retries.m_sent);
        m_state.m_metrics.set_retries_left(retries.m_left);
        m_state.m_metrics.set_retries_arriving(retries.m_arriving);
        m_state.m_metrics.set_sharing_gateways(m_sharing_gateways);
        m_state.m_metrics.set_caller_bytes(m_memory->held_bytes());
    }

    /// Logs a group's limits when its concurrency limit has moved by a tenth of the slots, or when
    /// pacing of its prompts begins or ends.
    void report_group_limits(time_point now)
    {
        constexpr double logged_difference = 0.1;
        std::size_t paced = 0;
        for (const auto& [group, limits] : m_state.m_pools.limits_of_groups(now)) {
            paced += limits.m_prompt_pace ? 1 : 0;
            auto& logged = m_logged_limits[group];
            const double difference = std::abs(logged.m_share_of_slots - limits.m_share_of_slots);
            if (difference < logged_difference &&
                logged.m_prompt_pace.has_value() == limits.m_prompt_pace.has_value()) {
                continue;
            }
            logged = limits;
            log_event(log_level::info, "group_limits",
                      {{"group", group},
                       {"share_of_slots", limits.m_share_of_slots},
                       {"is_paced", limits.m_prompt_pace.has_value()},
                       {"prompts_per_second", limits.m_prompt_pace.value_or(0.0)}});
        }
        m_state.m_metrics.set_paced_groups(paced);
    }

    gateway_state m_state;
    std::atomic<bool> m_is_started = false;  ///< all members below are initialised
    std::map<upstream_id, std::uint32_t> m_other_gateways_load;  ///< used only on the link's thread
    std::map<upstream_id, double> m_slowdowns;                   ///< the same
    std::uint32_t m_gateways = 0;                                ///< the same
    std::atomic<std::uint32_t> m_sharing_gateways = 0;           ///< among which retries are shared
    time_point m_next_slow{};                                 ///< used only on the frame's thread
    std::map<upstream_id, permits::own_share> m_own_shares;   ///< the same
    std::map<upstream_id, permits::own_share> m_cold_shares;  ///< the same; of cold upstreams
    slow_start::gateway_count m_sharing;                      ///< the same
    time_point m_first_heard_at{};          ///< the same; when a registry first answered
    registrar::registry_contact m_contact;  ///< the same
    std::map<std::string, entry::group_limits> m_logged_limits;  ///< the same; by group
    time_point m_started_at{};
    std::mutex m_adopt_mutex;
    std::mutex m_first_book_mutex;
    std::shared_ptr<const routes::book> m_first_book;  ///< guarded; waits for the drains
    std::unique_ptr<link::node> m_node;
    std::shared_ptr<http::memory_budget> m_memory;  ///< of both servers
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<http::server> m_pages;
};

gateway_server::gateway_server(program::program& frame, const json& settings,
                               const wire_format& format)
    : m_implementation(std::make_unique<implementation>(frame, settings, format))
{
}

gateway_server::~gateway_server() = default;

absl::Status gateway_server::start()
{
    return m_implementation->start();
}

program::program_hooks gateway_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::gateway
