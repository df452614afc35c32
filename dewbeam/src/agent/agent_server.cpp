#include "dewbeam/src/agent/agent_server.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "dewbeam/caller"
#include "dewbeam/engine"
#include "dewbeam/http"
#include "dewbeam/link"
#include "dewbeam/src/agent/expert_balancer.h"
#include "dewbeam/src/agent/gate.h"
#include "dewbeam/src/agent/json_engine_port.h"
#include "dewbeam/src/control/subscriber.h"
#include "dewbeam/src/entry/status_page.h"
#include "dewbeam/src/group/group_runner.h"

namespace dewbeam::agent {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds report_interval{250};
constexpr std::chrono::milliseconds spreading_time{1000};

configuration::label_set read_labels(const json& settings)
{
    // start() refuses labels that can't be read.
    return configuration::parse_labels(setting_value<std::string>(settings, "/upstream/labels"))
        .value_or(configuration::label_set{});
}

http::client_options upstream_options(const json& settings)
{
    http::client_options options;
    options.m_silence_limit =
        std::chrono::milliseconds(setting_value<std::int64_t>(settings, "/upstream/silence_ms"));
    options.m_most_answer_bytes =
        setting_value<std::uint64_t>(settings, "/upstream/most_answer_bytes");
    options.m_most_idle = setting_value<std::size_t>(settings, "/upstream/kept_connections");
    return options;
}

/// Largest report of an engine.
constexpr std::uint64_t most_report_bytes = 1024UL * 1024;

http::client_options report_options()
{
    http::client_options options;
    options.m_connect_limit = engine::report_limit;
    options.m_silence_limit = engine::report_limit;
    options.m_answer_limit = 2 * engine::report_limit;
    options.m_most_answer_bytes = most_report_bytes;
    return options;
}

}  // namespace

std::vector<setting> agent_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const std::vector<setting> own{
        {"/controls", setting_kind::addresses, json::array(), "Link addresses of control hosts."},
        {"/entries", setting_kind::addresses, json::array(),
         "Link addresses of a few entry hosts of the own failure domain."},
        {"/upstream/name", setting_kind::name, nullptr, "Name of the upstream."},
        {"/upstream/address", setting_kind::address, nullptr,
         "Address of the engine or plain service."},
        {"/upstream/engine", setting_kind::text, "",
         "Name that the engine gives in its load report; an engine of another name gets no "
         "requests. Empty: any engine."},
        {"/upstream/labels", setting_kind::text, "",
         "Labels of the upstream: key=value,key=value. A plain service has service=NAME."},
        {"/upstream/slots", setting_kind::integer, 0,
         "Requests that the upstream runs at once; 0: as the engine says.", 0, 100'000},
        {"/upstream/silence_ms", setting_kind::integer, 30'000,
         "How long the upstream may be silent within one answer (ms).", 10, 3'600'000},
        {"/upstream/most_answer_bytes", setting_kind::integer, 16L * 1024 * 1024,
         "Largest answer of the upstream, plain or streamed (bytes).", 1024, 1024L * 1024 * 1024},
        {"/upstream/kept_connections", setting_kind::integer, 0,
         "Connections that are kept for later attempts. An engine's answers name no request: where "
         "it may send one twice, a kept connection brings the copy to the next caller.",
         0, 10'000},
        {"/upstream/checks_fencing", setting_kind::boolean, true,
         "Whether the engine refuses an order with an old fencing number."},
        {"/group/name", setting_kind::text, "",
         "Name of the lock-step group that the upstream is a rank of; empty: none."},
        {"/group/rank", setting_kind::integer, 0, "Rank of the upstream in its group.", 0, 255},
        {"/group/members", setting_kind::addresses, json::array(),
         "Link addresses of the agents of the group, by rank."},
        {"/group/store_bytes_per_s", setting_kind::integer, 10'000'000'000,
         "What the weight store gives the whole group (bytes a second).", 1},
        {"/group/expert_bytes", setting_kind::integer, 20'000'000,
         "Size of the weights of one expert of one layer (bytes).", 1},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class agent_server::implementation {
public:
    implementation(program::program& frame, const json& settings)
        : m_frame(frame),
          m_settings(settings),
          m_incarnation(program::new_incarnation()),
          m_labels(read_labels(settings)),
          m_upstream(
              frame.context(),
              parse_endpoint(setting_value<std::string>(settings, "/upstream/address")).value(),
              upstream_options(settings)),
          m_reports(
              frame.context(),
              parse_endpoint(setting_value<std::string>(settings, "/upstream/address")).value(),
              report_options()),
          m_load(m_reports, setting_value<std::string>(settings, "/upstream/engine")),
          m_configuration(program::link_addresses(settings, "/controls"),
                          [this] { configuration_changed(); }),
          m_gate(std::make_shared<gate>(gate_options(), m_upstream, m_configuration,
                                        setting_value<std::string>(settings, "/upstream/engine")))
    {
    }

    ~implementation()
    {
        if (m_node) {
            m_node->stop();  // its thread uses the members that end before it
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    absl::Status start()
    {
        const auto labels =
            configuration::parse_labels(setting_value<std::string>(m_settings, "/upstream/labels"));
        if (!labels.ok()) {
            return absl::InvalidArgumentError("/upstream/labels: " +
                                              std::string(labels.status().message()));
        }
        auto node =
            program::start_node(m_settings, m_incarnation,
                                {[this](const link::peer& from, wire::Envelope&& message) {
                                     on_message(from, message);
                                 },
                                 [this](const std::vector<link::peer>& gone) { on_lost(gone); }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        m_gate->use(*m_node);
        m_membership = entry::join(
            m_settings, entry::self_of(m_settings, membership::role::agent, *m_node, m_incarnation),
            *m_node, {});
        if (auto status = start_group(); !status.ok()) {
            return status;
        }
        auto server = program::start_http(
            m_frame.context(), m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                answer->respond(handle(request));
            });
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        m_is_started = true;
        program::write_address_file(m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [this] {
            // Ready once the entries have had the time to hear of it.
            return m_announced_at != no_deadline &&
                   program::now() >= m_announced_at + spreading_time;
        };
        result.m_in_flight = [this] { return m_gate->running(); };
        result.m_announce_leave = [this] { leave(); };
        result.m_stop_accepting = [this] { m_server->stop_accepting(); };
        result.m_tick = [this](time_point now) { tick(now); };
        return result;
    }

private:
    /// Takes part in the expert map protocol, where the settings name a group.
    absl::Status start_group()
    {
        const auto name = setting_value<std::string>(m_settings, "/group/name");
        if (name.empty()) {
            return absl::OkStatus();
        }
        const auto rank = setting_value<std::uint32_t>(m_settings, "/group/rank");
        auto members = program::link_addresses(m_settings, "/group/members");
        if (rank >= members.size()) {
            return absl::InvalidArgumentError("/group/rank: must be a place in /group/members");
        }
        m_orders = std::make_unique<http::client>(
            m_frame.context(),
            parse_endpoint(setting_value<std::string>(m_settings, "/upstream/address")).value(),
            upstream_options(m_settings));
        m_engine_port = std::make_shared<json_engine_port>(*m_orders);
        group::group_hooks hooks;
        hooks.m_set_admission = [this](bool may_admit) { m_gate->set_paused(!may_admit); };
        hooks.m_is_busy = [this] { return m_gate->running() > 0; };
        hooks.m_on_change = [this](const group_map::ended_change& change) {
            m_balancer->on_result(change.m_result, program::now());
        };
        m_group = std::make_shared<group::group_runner>(
            group::make_group_options(name, std::move(members), rank_id(rank), m_incarnation,
                                      setting_value<bool>(m_settings, "/upstream/checks_fencing")),
            std::move(hooks), m_engine_port, program::now());
        m_balancer = std::make_shared<expert_balancer>(balancer_settings(), balancer_calls(),
                                                       m_reports, program::now());
        m_gate->set_paused(true);  // until the group's map is known to be settled
        m_group->start(*m_node, program::now());
        return absl::OkStatus();
    }

    [[nodiscard]] balancer_options balancer_settings() const
    {
        balancer_options options;
        options.m_ranks = static_cast<std::uint32_t>(
            program::link_addresses(m_settings, "/group/members").size());
        options.m_move.m_expert_size = {
            setting_value<std::int64_t>(m_settings, "/group/expert_bytes")};
        options.m_move.m_store_rate = {
            setting_value<std::int64_t>(m_settings, "/group/store_bytes_per_s")};
        return options;
    }

    balancer_hooks balancer_calls()
    {
        balancer_hooks hooks;
        hooks.m_phase = [this] { return m_group->current_phase(); };
        hooks.m_propose = [this](const std::string& content) {
            return m_group->propose(content, program::now());
        };
        hooks.m_is_busy = [this] { return m_gate->running() > 0; };
        hooks.m_preference = [this] {
            return balance_of(m_configuration.current()->m_document, m_labels);
        };
        return hooks;
    }

    http::response propose_map(const http::request& request)
    {
        if (!json::accept(request.m_body)) {
            return caller::to_response(
                caller::bad_request("bad_map", "the expert map must be a JSON document"), "");
        }
        const bool taken = m_group && m_group->propose(request.m_body, program::now());
        return http::json_response(taken ? 202 : 409, write_json({{"taken", taken}}));
    }

    [[nodiscard]] json group_status() const
    {
        if (!m_group) {
            return nullptr;
        }
        const auto engine = m_group->engine();
        return {{"phase", group_map::to_string(m_group->current_phase())},
                {"map", engine ? json(engine->m_current.m_number) : json()},
                {"map_content", engine ? json(engine->m_current.m_content.value()) : json()},
                {"step", engine ? json(engine->m_step.value()) : json()},
                {"balance", m_balancer->status(program::now())}};
    }

    ledger::ledger_options gate_options() const
    {
        ledger::ledger_options options;
        options.m_incarnation = m_incarnation;
        options.m_slots = setting_value<std::uint32_t>(m_settings, "/upstream/slots");
        return options;
    }

    http::response handle(const http::request& request)
    {
        const auto path = http::path_of(request.m_target);
        if (path == "/healthz") {
            return http::json_response(200, R"({"status":"ok"})");
        }
        if (path == "/readyz") {
            const bool is_ready = m_frame.phase() == lifecycle::phase::serving;
            return http::json_response(is_ready ? 200 : 503,
                                       write_json({{"phase", to_string(m_frame.phase())}}));
        }
        if (path == "/v1/status") {
            return status_response();
        }
        if (path == "/v1/expert-map" && request.m_method == "POST") {
            return propose_map(request);
        }
        auto fault = caller::bad_request("unknown_path", "there is no such path");
        fault.m_status = 404;
        return caller::to_response(fault, "");
    }

    http::response status_response()
    {
        const auto active = m_configuration.current();
        entry::status_facts facts;
        facts.m_host = setting_value<std::string>(m_settings, "/host");
        facts.m_role = membership::role::agent;
        facts.m_failure_domain = setting_value<std::string>(m_settings, "/failure_domain");
        facts.m_phase = m_frame.phase();
        facts.m_incarnation = m_incarnation;
        facts.m_number = active->m_number;
        facts.m_version = active->m_version;
        auto page = entry::status_page(facts, *m_membership, program::now());
        page["upstream"] = setting_value<std::string>(m_settings, "/upstream/name");
        page["upstream_reachable"] = m_load.latest().m_is_reachable;
        page["draining"] = is_draining();
        page["running"] = m_gate->running();
        page["group"] = group_status();
        return http::json_response(200, write_json(page));
    }

    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!m_is_started) {
            return;  // whoever sent this sends it again
        }
        if (m_membership->take(message, program::now())) {
            return;
        }
        if (message.has_dispatch()) {
            m_gate->dispatch(from, message, program::now());
        }
        else if (message.has_cancel()) {
            m_gate->cancel(link::from_wire(message.cancel().attempt()));
        }
        else if (message.has_tombstone()) {
            m_gate->tombstone(from, message.tombstone(), program::now());
        }
        else if (message.has_group_bundle() && m_group) {
            m_group->on_bundle(message.group_bundle(), program::now());
        }
        else if (message.has_group() && m_group) {
            m_group->on_message(message.group(), program::now());
        }
        else if (message.has_configuration_update()) {
            if (m_configuration.is_control(from.m_address)) {
                m_node->follow_log(log_id(message.log()));
            }
            m_configuration.adopt(message.configuration_update(), true);
        }
    }

    void on_lost(const std::vector<link::peer>& gone)
    {
        for (const auto& item : gone) {
            m_configuration.peer_lost(item.m_address);
            if (!item.m_routing.empty()) {
                m_gate->entry_lost(item);
            }
        }
    }

    /// Whether an operator's labels say that this upstream is to take no new work.
    [[nodiscard]] bool is_draining() const
    {
        const auto active = m_configuration.current();
        const auto labels = configuration::effective_labels(active->m_document, m_labels);
        const auto* drain = labels.find(configuration::drain_label);
        return drain != nullptr && *drain == "true";
    }

    [[nodiscard]] bool is_leaving() const { return m_is_stopping || is_draining(); }

    void configuration_changed()
    {
        m_gate->set_configuration(m_configuration.current()->m_version);
        if (is_leaving()) {
            m_gate->start_leaving();
        }
        else {
            m_gate->stop_leaving();
        }
    }

    void leave()
    {
        m_is_stopping = true;
        m_gate->start_leaving();
        m_membership->leave(program::now());
        m_server->wind_down();
    }

    /// An upstream that was restarted behind this agent counts as another one: what its earlier
    /// life was told is refused, and its deaths are told apart.
    void watch_upstream_life()
    {
        const auto load = m_load.latest();
        const bool is_new_life = load.m_is_reachable && load.m_incarnation != m_engine_life;
        if (!is_new_life) {
            return;
        }
        if (m_engine_life != 0) {
            m_upstream_life = program::new_incarnation();
            m_gate->set_incarnation(m_upstream_life);
            log_event(log_level::warning, "upstream_restarted",
                      {{"life", m_upstream_life.value()}});
        }
        m_engine_life = load.m_incarnation;
    }

    /// Logs where the upstream goes out of reach and comes back, and sees to what waits there.
    void watch_reach(time_point now)
    {
        const auto load = m_load.latest();
        const bool is_lost = !load.m_is_reachable && !load.m_fault.empty();
        if (is_lost && load.m_is_other_engine) {
            m_gate->give_up_unanswered(load.m_measured_at);
        }
        else if (is_lost) {
            m_gate->tell_silence(load.m_measured_at, now);
        }
        if (is_lost == m_is_upstream_lost) {
            return;
        }
        m_is_upstream_lost = is_lost;
        const auto address = setting_value<std::string>(m_settings, "/upstream/address");
        if (is_lost) {
            log_event(log_level::warning, "upstream_unreachable",
                      {{"address", address}, {"reason", load.m_fault}});
        }
        else {
            log_event(log_level::info, "upstream_reached", {{"address", address}});
        }
    }

    void tick(time_point now)
    {
        m_load.tick(now);
        watch_reach(now);
        watch_upstream_life();
        m_gate->tick(now);
        if (m_group) {
            m_group->tick(now);
            m_balancer->tick(now);
        }
        m_membership->tick(now);
        m_configuration.tick(*m_node, program::link_addresses(m_settings, "/entries"), now);
        if (slots() > 0) {
            m_gate->set_slots(slots());
        }
        announce();
        report(now);
    }

    [[nodiscard]] std::uint32_t slots() const
    {
        const auto own = setting_value<std::uint32_t>(m_settings, "/upstream/slots");
        return own > 0 ? own : m_load.latest().m_slots;
    }

    /// Says what this upstream can do; spread only where it changed.
    void announce()
    {
        const auto load = m_load.latest();
        auto self = entry::self_of(m_settings, membership::role::agent, *m_node, m_incarnation);
        self.m_http_address = to_string(m_server->address());
        self.m_leaving = m_is_stopping;
        self.m_upstream = upstream_id(setting_value<std::string>(m_settings, "/upstream/name"));
        self.m_labels = m_labels;
        for (const auto& model : load.m_models) {
            self.m_models.emplace_back(model);
        }
        // Without slots nothing is sent here, while the upstream can't be reached.
        self.m_slots = load.m_is_reachable ? slots() : 0;
        self.m_upstream_life = m_upstream_life;
        if (self.m_slots > 0 && m_announced_at == no_deadline) {
            m_announced_at = program::now();
        }
        m_membership->announce(self, program::now());
    }

    void report(time_point now)
    {
        const auto load = m_load.latest();
        if (now < m_next_report || !load.m_is_reachable) {
            return;
        }
        m_next_report = now + report_interval;
        membership::member_load figures;
        figures.m_running = load.m_running;
        figures.m_waiting = load.m_waiting;
        figures.m_free_kv = {static_cast<std::int64_t>(load.m_free_kv_tokens)};
        figures.m_total_kv = {static_cast<std::int64_t>(load.m_total_kv_tokens)};
        figures.m_step_time = load.m_step_time;
        figures.m_skew = m_balancer ? m_balancer->skew_for_routing(load.m_skew, now) : load.m_skew;
        figures.m_measured_at = load.m_measured_at;
        const auto classes = m_gate->classes();
        figures.m_urgent = classes.m_urgent;
        figures.m_ordinary_slots = classes.m_ordinary_slots;
        // An engine that restarted since the last look, or that doesn't name its process, may be
        // another one than this agent's callers know.
        const bool is_known_life = load.m_incarnation != 0 && load.m_incarnation == m_engine_life;
        m_membership->report(figures, is_known_life ? m_upstream_life : incarnation(), now);
    }

    program::program& m_frame;
    json m_settings;
    incarnation m_incarnation;
    incarnation m_upstream_life = m_incarnation;
    std::uint64_t m_engine_life = 0;  ///< used on the frame's thread alone
    bool m_is_upstream_lost = false;  ///< the same
    configuration::label_set m_labels;
    http::client m_upstream;
    http::client m_reports;  ///< to the same address, for what takes a moment at most
    engine::load_poller m_load;
    control::subscriber m_configuration;
    std::shared_ptr<gate> m_gate;
    std::unique_ptr<http::client> m_orders;  ///< to the engine, about the expert map alone
    std::shared_ptr<group::engine_port> m_engine_port;  ///< uses `m_orders`
    std::shared_ptr<group::group_runner> m_group;  ///< none: the upstream is no rank of a group
    std::shared_ptr<expert_balancer> m_balancer;   ///< there where `m_group` is
    std::atomic<bool> m_is_started = false;        ///< the node and the server are there
    std::unique_ptr<entry::membership_runner> m_membership;
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<http::server> m_server;
    std::atomic<bool> m_is_stopping = false;
    time_point m_next_report{};
    time_point m_announced_at = no_deadline;  ///< with room; used on the frame's thread alone
};

agent_server::agent_server(program::program& frame, const json& settings)
    : m_implementation(std::make_unique<implementation>(frame, settings))
{
}

agent_server::~agent_server() = default;

absl::Status agent_server::start()
{
    return m_implementation->start();
}

program::program_hooks agent_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::agent
