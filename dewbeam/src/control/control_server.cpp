#include "dewbeam/src/control/control_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include "dewbeam/caller"
#include "dewbeam/configuration"
#include "dewbeam/http"
#include "dewbeam/link"
#include "dewbeam/src/consensus/confirmed_time.h"
#include "dewbeam/src/control/change_page.h"
#include "dewbeam/src/control/claim_wire.h"
#include "dewbeam/src/control/replica_runner.h"
#include "dewbeam/src/entry/status_page.h"
#include "dewbeam/src/program/listeners.h"

namespace dewbeam::control {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds push_interval{200};
constexpr time_span subscription_lease = std::chrono::seconds(3);

}  // namespace

std::vector<setting> control_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const std::vector<setting> own{
        {"/controls", setting_kind::addresses, json::array(),
         "Link addresses of all control hosts, in the order of their replica numbers."},
        {"/replica", setting_kind::integer, 1, "This host's place in the list, from 1.", 1, 7},
        {"/entries", setting_kind::addresses, json::array(),
         "Link addresses of a few entry hosts, some in each failure domain."},
        {"/data_folder", setting_kind::text, nullptr, "Folder for the durable state."},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class control_server::implementation {
public:
    implementation(program::program& frame, const json& settings)
        : m_frame(frame), m_settings(settings), m_incarnation(program::new_incarnation())
    {
    }

    absl::Status start()
    {
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
        m_membership = entry::join(
            m_settings,
            entry::self_of(m_settings, membership::role::control, *m_node, m_incarnation), *m_node,
            {});
        auto runner = replica_runner::start(runner_settings(), runner_hooks_of());
        if (!runner.ok()) {
            return runner.status();
        }
        m_runner = *std::move(runner);
        auto server = program::start_http(
            m_frame.context(), m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                handle(request, answer);
            });
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        announce_self();
        m_is_started = true;
        program::write_address_file(m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [this] { return m_runner->status().m_is_caught_up; };
        result.m_in_flight = [this] { return m_server->unanswered(); };
        result.m_announce_leave = [this] {
            m_membership->leave(program::now());
            m_server->wind_down();
        };
        result.m_stop_accepting = [this] { m_server->stop_accepting(); };
        result.m_tick = [this](time_point now) { tick(now); };
        return result;
    }

    ~implementation()
    {
        if (m_runner) {
            m_runner->stop();
        }
        if (m_node) {
            m_node->stop();  // its thread uses the members that end before it
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

private:
    runner_options runner_settings() const
    {
        runner_options options;
        options.m_data_folder = setting_value<std::string>(m_settings, "/data_folder");
        options.m_addresses = program::link_addresses(m_settings, "/controls");
        options.m_replica = setting_value<std::uint64_t>(m_settings, "/replica");
        options.m_life = m_incarnation;
        return options;
    }

    runner_hooks runner_hooks_of()
    {
        runner_hooks hooks;
        hooks.m_send = [this](const std::string& address, wire::ConsensusMessage&& message) {
            wire::Envelope envelope;
            *envelope.mutable_consensus() = std::move(message);
            m_node->send(address, std::move(envelope));
        };
        hooks.m_on_configuration = [this] { m_has_news = true; };
        hooks.m_on_failed = [](const std::string& reason) {
            log_event(log_level::error, "replica_failed", {{"reason", reason}});
        };
        return hooks;
    }

    void announce_self()
    {
        auto self = entry::self_of(m_settings, membership::role::control, *m_node, m_incarnation);
        self.m_http_address = to_string(m_server->address());
        m_membership->announce(self, program::now());
    }

    // Operators.

    void handle(const http::request& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto path = http::path_of(request.m_target);
        if (path == "/healthz") {
            answer->respond(http::json_response(200, R"({"status":"ok"})"));
        }
        else if (path == "/readyz") {
            const bool is_ready = m_frame.phase() == lifecycle::phase::serving;
            answer->respond(http::json_response(
                is_ready ? 200 : 503, write_json({{"phase", to_string(m_frame.phase())}})));
        }
        else if (path == "/v1/configuration" && request.m_method == "GET") {
            give_configuration(answer);
        }
        else if (path == "/v1/changes" && request.m_method == "POST") {
            take_change(request, answer);
        }
        else if (path == "/v1/status") {
            answer->respond(status_response());
        }
        else {
            auto fault = caller::bad_request("unknown_path", "there is no such path");
            fault.m_status = 404;
            answer->respond(caller::to_response(fault, ""));
        }
    }

    /// Gives what is in force now; where no majority answers, what this host knows, and says so.
    void give_configuration(const std::shared_ptr<http::exchange>& answer)
    {
        m_runner->read_index([this, answer](bool is_confirmed) {
            const auto current = m_runner->configuration();
            answer->respond(
                http::json_response(200, write_json({{"number", current.m_number},
                                                     {"version",
                                                      {{"term", current.m_version.m_term},
                                                       {"index", current.m_version.m_index}}},
                                                     {"confirmed", is_confirmed},
                                                     {"document", current.m_source}})));
        });
    }

    void take_change(const http::request& request, const std::shared_ptr<http::exchange>& answer)
    {
        auto wanted = configuration::decode_change(request.m_body);
        if (!wanted.ok()) {
            answer->respond(caller::to_response(
                caller::bad_request("invalid_change", std::string(wanted.status().message())), ""));
            return;
        }
        const auto id = wanted->m_id;
        m_runner->propose_change(*std::move(wanted), [id, answer](const change_answer& ended) {
            const auto* result = std::get_if<configuration::change_result>(&ended);
            log_event(log_level::info, "change_decided",
                      {{"change", id},
                       {"status", result == nullptr ? "no_quorum" : to_text(result->m_status)},
                       {"number", result == nullptr ? 0 : result->m_number}});
            answer->respond(change_response(ended));
        });
    }

    http::response status_response()
    {
        const auto status = m_runner->status();
        const auto current = m_runner->configuration();
        entry::status_facts facts;
        facts.m_host = setting_value<std::string>(m_settings, "/host");
        facts.m_role = membership::role::control;
        facts.m_failure_domain = setting_value<std::string>(m_settings, "/failure_domain");
        facts.m_phase = m_frame.phase();
        facts.m_incarnation = m_incarnation;
        facts.m_number = current.m_number;
        facts.m_version = current.m_version;
        auto page = entry::status_page(facts, *m_membership, program::now());
        page["cut_off"] = !status.m_has_quorum;
        page["quorum"] = status.m_has_quorum;
        page["leader"] = status.m_leader;
        page["replica"] = status.m_replica;
        page["term"] = status.m_term;
        page["voter"] = status.m_is_voter;
        page["caught_up"] = status.m_is_caught_up;
        page["disk_full"] = status.m_is_disk_full;
        page["failed"] = status.m_has_failed;
        page["claims"] = status.m_claims;
        page["replicas"] = json::array();
        for (const auto& member : status.m_members) {
            page["replicas"].push_back(
                {{"replica", member.m_identity.m_id.value()}, {"votes", member.m_votes}});
        }
        return http::json_response(200, write_json(page));
    }

    // Messages.

    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!m_is_started) {
            return;  // whoever sent this sends it again
        }
        if (m_membership->take(message, program::now())) {
            return;
        }
        if (message.has_consensus()) {
            m_runner->receive(message.consensus());
        }
        else if (message.has_subscribe()) {
            on_subscribe(from, message.subscribe());
        }
        else if (message.has_claim_request()) {
            on_claim(from, message.claim_request());
        }
        else if (message.has_claim_result()) {
            on_claim_result(from, message.claim_result());
        }
    }

    void on_subscribe(const link::peer& from, const wire::Subscribe& wanted)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_subscribers[from] = program::now() + subscription_lease;
        }
        const auto status = m_runner->status();
        if (!status.m_is_caught_up) {
            return;  // what this host knows may be long over; another one answers
        }
        // The configuration is read behind the time of its confirmation, so that it is no older.
        auto answer = configuration_message();
        auto& update = *answer.mutable_configuration_update();
        update.set_subscribe_sent_at(wanted.sent_at());
        update.set_confirmed_age_us(consensus::to_age_us(program::now() - status.m_confirmed_at));
        if (link::from_wire(wanted.known()) >= link::from_wire(update.version())) {
            // Nothing newer: the answer only says that control is there.
            update.clear_document();
        }
        m_node->reply(from, std::move(answer));
    }

    void on_claim(const link::peer& from, const wire::ClaimRequest& message)
    {
        if (!m_runner->status().m_has_quorum) {
            // Known at once: the caller is told to come back instead of being kept waiting.
            wire::Envelope envelope;
            *envelope.mutable_claim_reply() = to_wire(claim_answer(no_quorum{}), message.request());
            m_node->reply(from, std::move(envelope));
            return;
        }
        m_runner->propose_claim(to_claim_request(message), [this, from, number = message.request()](
                                                               const claim_answer& ended) {
            wire::Envelope envelope;
            *envelope.mutable_claim_reply() = to_wire(ended, number);
            m_node->reply(from, std::move(envelope));
        });
    }

    void on_claim_result(const link::peer& from, const wire::ClaimResult& message)
    {
        m_runner->report_claim(to_claim_outcome(message),
                               [this, from, number = message.request()](bool is_recorded) {
                                   wire::Envelope envelope;
                                   auto& reply = *envelope.mutable_claim_result_reply();
                                   reply.set_request(number);
                                   reply.set_recorded(is_recorded);
                                   m_node->reply(from, std::move(envelope));
                               });
    }

    void on_lost(const std::vector<link::peer>& gone)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& item : gone) {
            m_subscribers.erase(item);
        }
    }

    wire::Envelope configuration_message() const
    {
        const auto current = m_runner->configuration();
        wire::Envelope message;
        auto& update = *message.mutable_configuration_update();
        link::to_wire(current.m_version, *update.mutable_version());
        update.set_number(current.m_number);
        update.set_document(current.m_source.dump());
        return message;
    }

    /// Sends the newest configuration to all subscribers. A burst of changes goes out as a few
    /// whole documents, not as one for each change.
    void push_news(time_point now)
    {
        if (now < m_next_push || !m_has_news.exchange(false)) {
            return;
        }
        m_next_push = now + push_interval;
        const auto message = configuration_message();
        const std::lock_guard lock(m_mutex);
        for (const auto& [peer, deadline] : m_subscribers) {
            m_node->reply(peer, message);
        }
    }

    void tick(time_point now)
    {
        m_node->follow_log(m_runner->log());
        m_membership->tick(now);
        if (m_runner->status().m_has_quorum) {
            m_membership->note_quorum(now);
        }
        push_news(now);
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_subscribers, [now](const auto& item) { return item.second <= now; });
    }

    program::program& m_frame;
    json m_settings;
    incarnation m_incarnation;
    std::atomic<bool> m_is_started = false;  ///< all members below are there
    std::mutex m_mutex;
    std::map<link::peer, time_point> m_subscribers;  ///< lease deadline of each
    std::atomic<bool> m_has_news = false;            ///< subscribers have an older configuration
    time_point m_next_push{};                        ///< used on the frame's thread alone
    std::unique_ptr<entry::membership_runner> m_membership;
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<replica_runner> m_runner;
    std::unique_ptr<http::server> m_server;
};

control_server::control_server(program::program& frame, const json& settings)
    : m_implementation(std::make_unique<implementation>(frame, settings))
{
}

control_server::~control_server() = default;

absl::Status control_server::start()
{
    return m_implementation->start();
}

program::program_hooks control_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::control
