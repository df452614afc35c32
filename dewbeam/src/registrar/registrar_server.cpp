#include "dewbeam/src/registrar/registrar_server.h"

#include <atomic>
#include <mutex>
#include <set>
#include <utility>

#include "dewbeam/control"
#include "dewbeam/link"
#include "dewbeam/src/registrar/addresses.h"
#include "dewbeam/src/registrar/announcement_wire.h"
#include "dewbeam/src/registrar/drain_calls.h"
#include "dewbeam/src/registrar/error_response.h"
#include "dewbeam/src/registrar/follower_file.h"
#include "dewbeam/src/registrar/follower_table.h"
#include "dewbeam/src/registrar/limit_wire.h"
#include "dewbeam/src/registrar/quorum_waits.h"
#include "dewbeam/src/registrar/revision_update.h"
#include "dewbeam/src/registrar/suspicion_store.h"
#include "dewbeam/src/registrar/watchers.h"
#include "dewbeam/turns"

namespace dewbeam::registrar {

namespace {

using json = nlohmann::json;

constexpr time_span tick_interval = std::chrono::milliseconds(25);
constexpr time_span sync_interval = std::chrono::milliseconds(500);
/// The request of an upstream times out after one second; a failure is answered before that.
constexpr time_span quorum_wait_timeout = std::chrono::milliseconds(800);
/// After this long with a quorum and without a pause, missing announcements are attributed to the
/// upstream. Before that, a network partition or a pause of this process may be the cause.
constexpr time_span stable_period = std::chrono::seconds(5);
constexpr time_span max_tick_gap = std::chrono::milliseconds(700);
/// A registry from which no sync arrived for this long is no longer advertised to watchers.
constexpr time_span advertise_timeout = std::chrono::seconds(10);
/// Interval at which the other registries are told all followers; new ones are told at once.
constexpr time_span followers_interval = std::chrono::seconds(10);
/// Minimum time between two writes of the followers to the data folder.
constexpr time_span save_interval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds election_span{500};
constexpr std::chrono::milliseconds heartbeat_span{100};
constexpr std::chrono::milliseconds replica_tick{20};

/// Size of the log that triggers a snapshot, and of the entries kept after one. Each entry holds a
/// complete configuration, 0.2 MB with 500 routes: with 1,024 entries kept, a registry grew to 57
/// MB in a day of two large configurations and 100 changes.
constexpr byte_count max_log_bytes{1024L * 1024};

/// A registry's view of the replicated log; logged when it changes.
struct replica_view {
    std::uint64_t m_leader = 0;
    std::uint64_t m_term = 0;
    bool m_has_quorum = false;
    bool m_is_voter = false;
    std::size_t m_members = 0;

    friend bool operator==(const replica_view&, const replica_view&) = default;
};

}  // namespace

std::vector<setting> registrar_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const auto registries = registry_settings();
    schema.insert(schema.end(), registries.begin(), registries.end());
    constexpr std::int64_t max_losses = 3;
    const std::vector<setting> own{
        {"/data_folder", setting_kind::text, nullptr, "Folder for the durable state."},
        {"/found", setting_kind::boolean, false,
         "The deployment starts for the first time: the seeds found the log. Otherwise an empty "
         "folder joins the log of the others."},
        {"/tolerated_losses", setting_kind::integer, 1,
         "Registries that may be lost at once; twice as many and one vote, where they are there.",
         0, max_losses},
        {"/failure_domains", setting_kind::names, json::array(),
         "Failure domains that an operator may drain; where there are none, those that upstreams "
         "announced."},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class registrar_server::implementation {
public:
    implementation(program::program& frame, const json& settings, const control_format& format)
        : m_frame(frame),
          m_settings(settings),
          m_format(format),
          m_own_incarnation(program::new_incarnation()),
          m_seeds(registry_addresses(settings))
    {
    }

    absl::Status start()
    {
        auto node = program::start_node(
            m_settings, m_own_incarnation,
            {[this](const link::peer& from, wire::Envelope&& message) {
                 on_message(from, message);
             },
             [this](const std::vector<link::peer>& disconnected) { on_lost(disconnected); }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        auto runner = control::replica_runner::start(runner_options_of(), runner_hooks_of());
        if (!runner.ok()) {
            return runner.status();
        }
        m_runner = *std::move(runner);
        auto server = program::start_dated_http(
            m_frame.context(), m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                handle(request, answer);
            });
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        load_followers();
        m_stable_since = program::now();
        m_is_started = true;
        program::write_address_file(m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [this] { return m_runner->status().m_is_caught_up; };
        result.m_in_flight = [this] { return m_server->unanswered(); };
        result.m_announce_leave = [this] { m_server->wind_down(); };
        result.m_stop_accepting = [this] { m_server->stop_accepting(); };
        result.m_tick = [this](time_point now) { tick(now); };
        result.m_tick_interval = tick_interval;
        result.m_on_settings = [this](const json& settings) {
            m_seeds = registry_addresses(settings);  // read by `tick`, on the same thread
        };
        return result;
    }

    ~implementation()
    {
        if (m_runner) {
            m_runner->stop();
        }
        if (m_node) {
            m_node->stop();  // its thread uses members that are destroyed before it
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

private:
    control::runner_options runner_options_of() const
    {
        control::runner_options options;
        options.m_data_folder = setting_value<std::string>(m_settings, "/data_folder");
        options.m_replica = id_of(m_node->address()).value();
        options.m_life = m_own_incarnation;
        options.m_tick_span = replica_tick;
        options.m_address_of = [](consensus::replica_id id) { return address_of(id); };
        for (const auto& seed : m_seeds) {
            options.m_seeds.push_back(id_of(seed));
        }
        options.m_snapshot_bytes = max_log_bytes;
        auto& log = options.m_consensus;
        log.m_kept.m_bytes = max_log_bytes;
        log.m_election_span = election_span;
        log.m_heartbeat_span = heartbeat_span;
        log.m_may_found = setting_value<bool>(m_settings, "/found");
        log.m_wanted_voters = 2 * setting_value<std::size_t>(m_settings, "/tolerated_losses") + 1;
        return options;
    }

    control::runner_hooks runner_hooks_of()
    {
        control::runner_hooks hooks;
        hooks.m_send = [this](const std::string& address, wire::ConsensusMessage&& message) {
            wire::Envelope envelope;
            *envelope.mutable_consensus() = std::move(message);
            m_node->send(address, std::move(envelope));
        };
        hooks.m_on_configuration = [this] { m_has_revision_news = true; };
        hooks.m_on_failed = [](const std::string& reason) {
            log_event(log_level::error, "replica_failed", {{"reason", reason}});
        };
        return hooks;
    }

    /// After the runner has taken the data folder.
    void load_followers()
    {
        m_follower_file =
            std::make_unique<follower_file>(setting_value<std::string>(m_settings, "/data_folder"));
        const std::lock_guard lock(m_mutex);
        for (const auto& place : m_follower_file->load()) {
            note_follower(m_followers, place, time_span::zero(), program::now());
        }
        m_saved_places = m_followers.m_places_changed;
    }

    // Requests of upstreams and operators.

    void handle(const http::request& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto call = m_format.m_classify(request);
        if (!call.m_fault.ok()) {
            return refuse_name(call.m_fault, answer);
        }
        switch (call.m_kind) {
            case call_kind::announce:
                return announce(call.m_upstream, request, answer);
            case call_kind::withdraw:
                return withdraw(call.m_upstream, request, answer);
            case call_kind::put_revision:
                return put_revision(request, answer);
            case call_kind::read_revision:
                return read_revision(answer);
            case call_kind::drain:
                return order(call.m_domain, true, request, answer);
            case call_kind::end_drain:
                return order(call.m_domain, false, request, answer);
            case call_kind::unknown:
                break;
        }
        const auto path = http::path_of(request.m_target);
        if (const auto domain = drain_target(path)) {
            return handle_drain(request, *domain, answer);
        }
        if (path == "/healthz") {
            answer->respond(http::json_response(200, R"({"status":"ok"})"));
        }
        else if (path == "/v1/failure-domains") {
            list_domains(*m_runner, known_domains(), answer);
        }
        else if (path == "/v1/status") {
            answer->respond(status_response());
        }
        else {
            answer->respond(error_response(404, "unknown_path", "there is no such path"));
        }
    }

    /// Answers a call whose path names something that can't be kept or passed on.
    static void refuse_name(const absl::Status& fault,
                            const std::shared_ptr<http::exchange>& answer)
    {
        const std::string reason(fault.message());
        log_event(log_level::warning, "call_refused", {{"reason", reason}});
        answer->respond(error_response(400, "invalid_name", reason));
    }

    /// The failure domain in `/v1/failure-domains/NAME/drain`.
    static std::optional<failure_domain_id> drain_target(std::string_view path)
    {
        constexpr std::string_view before = "/v1/failure-domains/";
        constexpr std::string_view behind = "/drain";
        if (!path.starts_with(before) || !path.ends_with(behind) ||
            path.size() <= before.size() + behind.size()) {
            return std::nullopt;
        }
        path.remove_prefix(before.size());
        path.remove_suffix(behind.size());
        return failure_domain_id(std::string(path));
    }

    void handle_drain(const http::request& request, const failure_domain_id& domain,
                      const std::shared_ptr<http::exchange>& answer)
    {
        const auto& method = request.m_method;
        if (method != "POST" && method != "DELETE") {
            answer->respond(error_response(405, "unknown_method", "POST drains, DELETE ends it"));
            return;
        }
        order(domain, method == "POST", request, answer);
    }

    void order(const failure_domain_id& domain, bool is_drained, const http::request& request,
               const std::shared_ptr<http::exchange>& answer)
    {
        order_drain(*m_runner, {domain, is_drained, order_deadline(request.m_sent_after)},
                    known_domains(), &program::now, answer);
    }

    std::set<failure_domain_id> known_domains()
    {
        std::set<failure_domain_id> result;
        for (const auto& name :
             setting_value<std::vector<std::string>>(m_settings, "/failure_domains")) {
            result.insert(failure_domain_id(name));
        }
        if (result.empty()) {
            const std::lock_guard lock(m_mutex);
            for (const auto& [name, known] : m_registry.m_records) {
                result.insert(known.m_announced.m_failure_domain);
            }
        }
        // A drain can be withdrawn while no upstream of its domain announces itself.
        for (const auto& [domain, known] : m_runner->drains().m_domains) {
            result.insert(domain);
        }
        result.erase(failure_domain_id{});
        return result;
    }

    void announce(const upstream_id& name, const http::request& request,
                  const std::shared_ptr<http::exchange>& answer)
    {
        const auto received = m_format.m_read_announcement(name, request.m_body);
        if (!received.ok()) {
            refuse_announcement(name, received.status(), answer);
            return;
        }
        const auto now = program::now();
        {
            const std::lock_guard lock(m_mutex);
            const auto result = registry::merge(m_registry, *received, now);
            m_renewed.insert(name);
            log_merge(*received, result);
        }
        push_upstreams();
        if (received->m_state == registry::upstream_state::ready) {
            answer->respond(http::json_response(200, "{}"));
            return;
        }
        acknowledge_after_quorum(name, answer, now);
    }

    /// Answers an invalid announcement; the record of the upstream stays unchanged.
    static void refuse_announcement(const upstream_id& name, const absl::Status& fault,
                                    const std::shared_ptr<http::exchange>& answer)
    {
        const std::string reason(fault.message());
        log_event(log_level::warning, "announcement_refused",
                  {{"upstream", name.value()}, {"reason", reason}});
        answer->respond(error_response(400, "invalid_announcement", reason));
    }

    void withdraw(const upstream_id& name, const http::request& request,
                  const std::shared_ptr<http::exchange>& answer)
    {
        const auto ended = m_format.m_read_withdrawal(request.m_body);
        if (!ended.ok()) {
            refuse_announcement(name, ended.status(), answer);
            return;
        }
        const auto now = program::now();
        if (*ended == incarnation{} && is_outdated(order_deadline(request.m_sent_after), now)) {
            // The upstream may have started again under its name since.
            answer->respond(error_response(
                503, "order_too_old", "the withdrawal names no incarnation and waited too long"));
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            const auto result = registry::end_upstream(m_registry, name, *ended, now);
            m_renewed.insert(name);
            log_merge(m_registry.m_records.at(name).m_announced, result);
        }
        push_upstreams();
        acknowledge_after_quorum(name, answer, now);
    }

    static void log_merge(const registry::announcement& received, registry::merge_result result)
    {
        if (result == registry::merge_result::changed) {
            log_event(log_level::info, "upstream_changed",
                      {{"upstream", received.m_name.value()},
                       {"service", received.m_service},
                       {"state", registry::to_string(received.m_state)},
                       {"incarnation", received.m_incarnation.value()},
                       {"number", received.m_number.value()}});
        }
    }

    /// Acknowledges that an upstream leaves once a majority of registries has recorded it.
    void acknowledge_after_quorum(const upstream_id& name,
                                  const std::shared_ptr<http::exchange>& answer, time_point now)
    {
        const auto status = m_runner->status();
        quorum_wait waiting;
        std::size_t voters = 0;
        for (const auto& member : status.m_members) {
            voters += member.m_votes ? 1 : 0;
            const bool is_self = member.m_identity.m_id.value() == status.m_replica;
            if (member.m_votes && !is_self) {
                waiting.m_counted.insert(address_of(member.m_identity.m_id));
            }
        }
        const std::size_t own = status.m_is_voter ? 1 : 0;
        waiting.m_needed = voters / 2 + 1 - own;
        waiting.m_deadline = now + quorum_wait_timeout;
        waiting.m_done = [answer, name](bool is_recorded) {
            log_event(log_level::info, "upstream_end_held",
                      {{"upstream", name.value()}, {"held", is_recorded}});
            answer->respond(is_recorded ? http::json_response(200, "{}")
                                        : error_response(503, "no_quorum",
                                                         "no majority of registries answered"));
        };
        if (voters > 0 && waiting.m_needed == 0) {
            waiting.m_done(true);
            return;
        }
        if (voters == 0) {
            waiting.m_done(false);
            return;
        }
        wire::Envelope message;
        auto& sync = *message.mutable_registry_sync();
        const auto targets = waiting.m_counted;
        {
            const std::lock_guard lock(m_mutex);
            const auto token = ++m_quorum_waits.m_last_token;
            sync.set_token(token);
            to_wire(m_registry.m_records.at(name), *sync.add_upstreams());
            m_quorum_waits.m_quorum_waits.emplace(token, std::move(waiting));
        }
        for (const auto& address : targets) {
            m_node->send(address, message);
        }
    }

    void put_revision(const http::request& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto book = m_format.m_read_book(request.m_body);
        if (!book.ok()) {
            log_event(log_level::info, "revision_refused",
                      {{"reason", std::string(book.status().message())}});
            answer->respond(
                error_response(400, "invalid_revision", std::string(book.status().message())));
            return;
        }
        const auto number = book->m_revision;
        if (number <= m_runner->revision().m_number) {
            // Applied revisions are committed, so this number is permanently overtaken.
            answer_revision(number, revisions::revision_result::overtaken, answer);
            return;
        }
        m_runner->propose_revision(
            {number, request.m_body}, [number, answer](const control::revision_answer& ended) {
                if (const auto* result = std::get_if<revisions::revision_result>(&ended)) {
                    answer_revision(number, *result, answer);
                    return;
                }
                log_event(log_level::warning, "revision_undecided", {{"revision", number.value()}});
                answer->respond(error_response(
                    503, "no_quorum", "no majority answered; the revision may still be adopted"));
            });
    }

    static void answer_revision(revisions::revision_number number,
                                revisions::revision_result result,
                                const std::shared_ptr<http::exchange>& answer)
    {
        const char* text = result == revisions::revision_result::adopted ? "adopted" : "overtaken";
        log_event(log_level::info, "revision_acknowledged",
                  {{"revision", number.value()}, {"result", text}});
        answer->respond(http::json_response(200, write_json({{"result", text}})));
    }

    void read_revision(const std::shared_ptr<http::exchange>& answer)
    {
        m_runner->read_index([this, answer](bool is_confirmed) {
            const auto held = m_runner->revision();
            if (!is_confirmed || held.m_number == revisions::revision_number{}) {
                answer->respond(error_response(
                    503, "not_sure", "this registry can't tell which revision is the newest"));
                return;
            }
            answer->respond(http::json_response(200, *held.m_content));
        });
    }

    http::response status_response()
    {
        const auto status = m_runner->status();
        json page{{"host", setting_value<std::string>(m_settings, "/host")},
                  {"role", "registry"},
                  {"phase", lifecycle::to_string(m_frame.phase())},
                  {"revision", m_runner->revision().m_number.value()},
                  {"quorum", status.m_has_quorum},
                  {"leader", leader_address(status)},
                  {"voter", status.m_is_voter},
                  {"caught_up", status.m_is_caught_up},
                  {"confirmed_ms", confirmed_ms(status)},
                  {"term", status.m_term},
                  {"disk_full", status.m_is_disk_full},
                  {"failed", status.m_has_failed},
                  {"unreadable_messages", m_node->unreadable_messages()},
                  {"registries", json::array()},
                  {"followers", json::array()},
                  {"upstreams", json::array()}};
        for (const auto& member : status.m_members) {
            page["registries"].push_back(
                {{"address", address_of(member.m_identity.m_id)}, {"votes", member.m_votes}});
        }
        const std::lock_guard lock(m_mutex);
        page["gateways"] = m_watchers.m_gateways;
        const auto now = program::now();
        for (const auto& [address, known] : m_followers.m_followers) {
            page["followers"].push_back({{"address", address},
                                         {"host", known.m_host.value()},
                                         {"silent", is_silent(known, now)}});
        }
        for (const auto& [name, item] : m_registry.m_records) {
            page["upstreams"].push_back({{"name", name.value()},
                                         {"service", item.m_announced.m_service},
                                         {"state", registry::to_string(item.m_announced.m_state)},
                                         {"silent", item.m_is_unresponsive}});
        }
        return http::json_response(200, write_json(page));
    }

    // Messages.

    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!m_is_started) {
            return;  // the sender repeats its message
        }
        if (message.has_consensus()) {
            m_runner->receive(message.consensus());
        }
        else if (message.has_watch()) {
            on_watch(from, host_id(message.sender()), message.watch());
        }
        else if (message.has_registry_sync()) {
            on_sync(from, host_id(message.sender()), message.registry_sync());
        }
        else if (message.has_watch_invitation()) {
            on_invitation(message);
        }
    }

    void on_watch(const link::peer& from, const host_id& host, const wire::Watch& watch)
    {
        const auto now = program::now();
        wire::Envelope answer;
        auto& news = *answer.mutable_watch_news();
        put_revision_news(news, watch);
        {
            const std::lock_guard lock(m_mutex);
            auto& subject = apply_watch(m_watchers, from, host, watch, now);
            if (note_watch(m_followers, {watch.link_address(), host}, now)) {
                m_node->close(watch.link_address());  // was opened for the invitation
            }
            const bool knows_incarnation = watch.registry_life() == m_own_incarnation.value();
            put_upstreams(m_registry, watch.known_change(), !knows_incarnation, news);
            subject.m_sent_change = m_registry.m_last_change;
            news.set_gateways(m_watchers.m_gateways);
            if (watch.is_gateway()) {
                put_known_gateways(m_watchers.m_known_gateways, now,
                                   *news.mutable_known_gateways());
                take_suspicions(watch, now);
                put_suspicions(subject, knows_incarnation ? watch.known_suspicion_change() : 0, now,
                               news);
                news.set_taken_suspicion_change(watch.suspicion_change());
            }
            if (watch.wants_loads()) {
                put_run_grants(from, watch, now, news);
                take_limits(from, watch, now);
                put_loads(m_watchers, subject, news);
                put_limits(m_issuer, now, news);
            }
            for (const auto& address : m_advertised_registries) {
                news.add_registries(address);
            }
        }
        m_node->reply(from, std::move(answer));
    }

    void take_suspicions(const wire::Watch& watch, time_point now)
    {
        for (const auto& item : watch.suspicions()) {
            const auto received = from_wire(item, now);
            if (const auto news = take(m_suspicions, received)) {
                log_event(log_level::info, "content_reported",
                          {{"pool", received.m_pool},
                           {"content", received.m_record.m_content.value()},
                           {"deaths", news->m_crash_reports.size()}});
            }
        }
    }

    void put_suspicions(watcher& subject, std::uint64_t known, time_point now,
                        wire::WatchNews& news)
    {
        subject.m_sent_suspicion =
            put_changes(m_suspicions, known, now, *news.mutable_suspicions());
        news.set_suspicion_change(subject.m_sent_suspicion);
    }

    void put_run_grants(const link::peer& from, const wire::Watch& watch, time_point now,
                        wire::WatchNews& news)
    {
        std::vector<fingerprint> wanted;
        for (const auto content : watch.wanted_turns()) {
            wanted.emplace_back(content);
        }
        const permits::holder_id holder(from.m_routing);
        for (const auto content : set_wanted_turns(m_suspicions, holder, wanted, now)) {
            news.add_granted_turns(content.value());
        }
    }

    void put_revision_news(wire::WatchNews& news, const wire::Watch& watch)
    {
        news.set_registry_life(m_own_incarnation.value());
        // Read before the revision: what is acknowledged in between is then held already.
        const auto age = confirmed_age(m_runner->status(), program::now());
        m_revision_news.put(m_runner->revision(), age, watch, news);
        put_drains(m_runner->drains(), news);
    }

    /// How long ago a quorum confirmed what this registry holds; empty if none did.
    static std::optional<time_span> confirmed_age(const control::runner_status& status,
                                                  time_point now)
    {
        if (status.m_confirmed_at == time_point{}) {
            return std::nullopt;
        }
        return now - status.m_confirmed_at;
    }

    void take_limits(const link::peer& from, const wire::Watch& watch, time_point now)
    {
        for (const auto& limit :
             take_watch(m_issuer, permits::holder_id(from.m_routing), watch, now)) {
            log_event(log_level::info, "upstream_limited",
                      {{"upstream", limit.m_upstream.value()},
                       {"per_second", limit.m_per_second ? std::to_string(*limit.m_per_second)
                                                         : std::string("none")}});
        }
    }

    /// Issues the permits that are due and sends them to the gateways that requested them.
    void push_permits(time_point now)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& item : permits::issue(m_issuer, now)) {
            wire::Envelope message;
            auto& news = *message.mutable_watch_news();
            put_revision_news(news, {});
            auto& issued = *news.add_issued_permits();
            issued.set_upstream(item.m_upstream.value());
            issued.set_incarnation(item.m_incarnation.value());
            issued.set_count(item.m_count);
            m_node->reply({{}, item.m_holder.value()}, std::move(message));
        }
    }

    /// Takes the addresses of registries that replaced those that this one knew.
    void on_invitation(const wire::Envelope& message)
    {
        const auto& invitation = message.watch_invitation();
        if (!is_for(invitation, message.log(), setting_value<std::string>(m_settings, "/host"))) {
            return;
        }
        const auto now = program::now();
        const std::lock_guard lock(m_mutex);
        for (const auto& address : invitation.registries()) {
            m_named_members[address] = now;
        }
    }

    /// Tells silent followers which registries there are.
    void invite_followers(time_point now)
    {
        std::vector<follower_place> due;
        wire::Envelope message;
        auto& invitation = *message.mutable_watch_invitation();
        {
            const std::lock_guard lock(m_mutex);
            due = take_due_invitations(m_followers, now);
            for (const auto& address : m_advertised_registries) {
                invitation.add_registries(address);
            }
        }
        if (m_runner->log() == log_id{}) {
            return;  // it may belong to another deployment
        }
        for (const auto& place : due) {
            invitation.set_host(place.m_host.value());
            m_node->send(place.m_address, message);
        }
    }

    void save_followers(time_point now)
    {
        if (now < m_next_save) {
            return;
        }
        m_next_save = now + save_interval;
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_saved_places, m_followers.m_places_changed) !=
            m_followers.m_places_changed) {
            m_follower_file->save(to_json(m_followers));
        }
    }

    void on_sync(const link::peer& from, const host_id& host, const wire::RegistrySync& sync)
    {
        const auto now = program::now();
        if (sync.is_answer()) {
            quorum_wait_calls calls;
            {
                const std::lock_guard lock(m_mutex);
                note_answer(m_quorum_waits, sync.token(), from.m_address, calls);
            }
            run(calls);
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& item : sync.upstreams()) {
                merge(m_registry, item, now);
            }
            for (const auto& address : sync.registries()) {
                m_registry_contacts[address] = now;
                note_watch(m_followers, {address, host}, now);
            }
            take_followers(m_followers, sync, now);
            for (const auto& address : sync.members()) {
                m_named_members[address] = now;
            }
        }
        push_upstreams();
        if (sync.token() != 0 || sync.wants_all()) {
            answer_sync(from, sync);
        }
    }

    void answer_sync(const link::peer& from, const wire::RegistrySync& sync)
    {
        wire::Envelope answer;
        auto& reply = *answer.mutable_registry_sync();
        reply.set_token(sync.token());
        reply.set_is_answer(sync.token() != 0);
        if (sync.wants_all()) {
            const std::lock_guard lock(m_mutex);
            for (const auto* item : registry::changes_since(m_registry, 0)) {
                to_wire(*item, *reply.add_upstreams());
            }
            put_all_followers(m_followers, program::now(), reply);
        }
        m_node->reply(from, std::move(answer));
    }

    void on_lost(const std::vector<link::peer>& disconnected)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& item : disconnected) {
            forget(m_watchers, item);
        }
    }

    // Updates pushed to watchers.

    /// Sends every watcher the upstream changes that it wasn't sent yet.
    void push_upstreams()
    {
        const std::lock_guard lock(m_mutex);
        for (auto& [peer, subject] : m_watchers.m_watchers) {
            if (subject.m_sent_change >= m_registry.m_last_change) {
                continue;
            }
            wire::Envelope message;
            auto& news = *message.mutable_watch_news();
            put_revision_news(news, {});
            put_upstreams(m_registry, subject.m_sent_change, false, news);
            if (m_node->reply(peer, std::move(message))) {
                subject.m_sent_change = m_registry.m_last_change;
            }
        }
    }

    /// Sends every gateway the suspicions that it wasn't sent yet.
    void push_suspicions(time_point now)
    {
        const std::lock_guard lock(m_mutex);
        expire(m_suspicions, now);
        for (auto& [peer, subject] : m_watchers.m_watchers) {
            const auto sent = subject.m_sent_suspicion;
            if (!subject.m_is_gateway || sent >= m_suspicions.m_last_change) {
                continue;
            }
            wire::Envelope message;
            auto& news = *message.mutable_watch_news();
            put_revision_news(news, {});
            put_suspicions(subject, sent, now, news);
            if (!m_node->reply(peer, std::move(message))) {
                subject.m_sent_suspicion = sent;
            }
        }
    }

    /// Sends every watcher the number of the newest revision. Those that lack it request its
    /// document, each from one registry.
    void push_revision()
    {
        wire::Envelope message;
        put_revision_news(*message.mutable_watch_news(), {});
        const std::lock_guard lock(m_mutex);
        for (const auto& [peer, subject] : m_watchers.m_watchers) {
            m_node->reply(peer, message);
        }
    }

    static void run(const quorum_wait_calls& calls)
    {
        for (const auto& call : calls) {
            call();
        }
    }

    void tick(time_point now)
    {
        m_node->follow_log(m_runner->log());
        if (m_has_revision_news.exchange(false)) {
            push_revision();
        }
        const auto held_up = take_growth(m_link_delay, m_node->held_up());
        quorum_wait_calls calls;
        {
            const std::lock_guard lock(m_mutex);
            if (held_up > time_span::zero()) {
                put_off_leases(m_watchers, held_up, now);
                postpone_invitations(m_followers, held_up);
            }
            expire(m_watchers, now);
            expire(m_quorum_waits, now, calls);
        }
        run(calls);
        push_permits(now);
        push_suspicions(now);
        const auto status = m_runner->status();
        log_replica_view(status);
        update_stability(status, now);
        if (now >= m_next_sync) {
            m_next_sync = now + sync_interval;
            sync_registries(now);
        }
        invite_followers(now);
        save_followers(now);
    }

    /// Logs this registry's view of the replicated log if it changed.
    void log_replica_view(const control::runner_status& status)
    {
        const replica_view now{status.m_leader, status.m_term, status.m_has_quorum,
                               status.m_is_voter, status.m_members.size()};
        if (now == m_replica_view) {
            return;
        }
        m_replica_view = now;
        log_event(log_level::info, "log_belief",
                  {{"leader", leader_address(status)},
                   {"term", status.m_term},
                   {"quorum", status.m_has_quorum},
                   {"voter", status.m_is_voter},
                   {"members", status.m_members.size()},
                   {"commit", status.m_commit},
                   {"revision", m_runner->revision().m_number.value()},
                   {"confirmed_ms", confirmed_ms(status)}});
    }

    /// Link address of the leader that this registry knows, or "none".
    static std::string leader_address(const control::runner_status& status)
    {
        return status.m_leader == 0 ? "none" : address_of(consensus::replica_id(status.m_leader));
    }

    /// How long ago a quorum confirmed what this registry holds, in ms; -1 if none did.
    static double confirmed_ms(const control::runner_status& status)
    {
        const auto age = confirmed_age(status, program::now());
        return age ? to_milliseconds(*age) : -1.0;
    }

    void update_stability(const control::runner_status& status, time_point now)
    {
        const bool was_paused = now - m_last_tick > max_tick_gap;
        m_last_tick = now;
        if (was_paused || !status.m_has_quorum) {
            m_stable_since = now;
        }
        if (now - m_stable_since < stable_period) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            registry::note_silence(m_registry, now);
            registry::forget_old(m_registry, now);
        }
        push_upstreams();
    }

    /// Sends the other registries the upstreams announced here since the last sync.
    void sync_registries(time_point now)
    {
        std::set<std::string> targets(m_seeds.begin(), m_seeds.end());
        wire::Envelope message;
        auto& sync = *message.mutable_registry_sync();
        // Members are advertised whether they are heard or not: a registry that is cut off would
        // otherwise name only itself to a follower that could reach the others.
        std::set<std::string> advertised;
        for (const auto& member : m_runner->status().m_members) {
            const auto address = address_of(member.m_identity.m_id);
            targets.insert(address);
            advertised.insert(address);
            sync.add_members(address);
        }
        std::vector<consensus::replica_id> known;
        {
            const std::lock_guard lock(m_mutex);
            const auto is_old = [&](const auto& item) {
                return item.second + advertise_timeout <= now;
            };
            std::erase_if(m_registry_contacts, is_old);
            std::erase_if(m_named_members, is_old);
            m_registry_contacts[m_node->address()] = now;
            // A registry that joins may have a follower as its only contact; the leader admits it.
            for (const auto& [address, named_at] : m_named_members) {
                targets.insert(address);
                known.push_back(id_of(address));
            }
            for (const auto& [address, heard_at] : m_registry_contacts) {
                targets.insert(address);
                advertised.insert(address);
                known.push_back(id_of(address));
            }
            m_advertised_registries.assign(advertised.begin(), advertised.end());
            for (const auto& name : m_renewed) {
                const auto place = m_registry.m_records.find(name);
                if (place != m_registry.m_records.end()) {
                    to_wire(place->second, *sync.add_upstreams());
                }
            }
            m_renewed.clear();
            if (now >= m_next_followers) {
                m_next_followers = now + followers_interval;
                put_all_followers(m_followers, now, sync);
            }
            else {
                put_new_followers(m_followers, now, sync);
            }
        }
        sync.add_registries(m_node->address());
        sync.set_wants_all(!std::exchange(m_has_asked_all, true));
        targets.erase(m_node->address());
        for (const auto& address : targets) {
            m_node->send(address, message);
        }
        m_runner->note_replicas(std::move(known));
    }

    program::program& m_frame;
    json m_settings;
    const control_format& m_format;
    incarnation m_own_incarnation;
    std::vector<std::string> m_seeds;
    std::atomic<bool> m_is_started = false;  ///< all members below are initialized
    std::atomic<bool> m_has_revision_news = false;
    revision_update m_revision_news;
    std::mutex m_mutex;
    registry::table m_registry;        ///< guarded by m_mutex
    watcher_table m_watchers;          ///< the same
    quorum_wait_table m_quorum_waits;  ///< the same
    permits::issuer m_issuer;          ///< the same
    suspicion_store m_suspicions;      ///< the same
    follower_table m_followers;        ///< the same
    std::set<upstream_id> m_renewed;   ///< the same; since the last sync
    std::map<std::string, time_point>
        m_registry_contacts;  ///< the same; last sync by registry address
    std::map<std::string, time_point>
        m_named_members;  ///< the same; members of the log, by when another registry named them
    std::vector<std::string>
        m_advertised_registries;       ///< the same; registries that watchers are sent
    replica_view m_replica_view;       ///< used only on the main loop's thread
    time_point m_next_sync{};          ///< the same
    time_point m_next_followers{};     ///< the same; all of them are told again
    time_point m_next_save{};          ///< the same; of the followers
    std::uint64_t m_saved_places = 0;  ///< the same; changes of followers that were saved
    time_point m_last_tick{};          ///< the same
    held_up_since m_link_delay;        ///< the same; as of the last tick
    time_point m_stable_since{};       ///< the same
    bool m_has_asked_all = false;      ///< the same
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<control::replica_runner> m_runner;
    std::unique_ptr<follower_file> m_follower_file;
    std::unique_ptr<http::server> m_server;
};

registrar_server::registrar_server(program::program& frame, const json& settings,
                                   const control_format& format)
    : m_implementation(std::make_unique<implementation>(frame, settings, format))
{
}

registrar_server::~registrar_server() = default;

absl::Status registrar_server::start()
{
    return m_implementation->start();
}

program::program_hooks registrar_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::registrar
