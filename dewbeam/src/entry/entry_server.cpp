#include "dewbeam/src/entry/entry_server.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <variant>

#include "dewbeam/caller"
#include "dewbeam/http"
#include "dewbeam/link"
#include "dewbeam/membership"
#include "dewbeam/src/control/claim_client.h"
#include "dewbeam/src/control/subscriber.h"
#include "dewbeam/src/entry/burn_book.h"
#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/loss_memory.h"
#include "dewbeam/src/entry/member_table.h"
#include "dewbeam/src/entry/metrics.h"
#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/entry/refusals.h"
#include "dewbeam/src/entry/request_table.h"
#include "dewbeam/src/entry/status_page.h"
#include "dewbeam/src/entry/suspicion_wire.h"

namespace dewbeam::entry {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds scan_interval{50};
/// How long a start waits for control before it takes the word of the domain's other hosts.
constexpr std::chrono::seconds learning_limit{4};
/// From the first member that is heard of until the others are known too.
constexpr std::chrono::milliseconds settling_time{700};
/// How long a planned stop waits for control to record how claimed requests ended.
constexpr std::chrono::seconds report_limit{5};
constexpr std::chrono::milliseconds peers_interval{500};
constexpr std::chrono::seconds report_interest_interval{5};
/// Agents of each model whose load reports one entry asks for.
constexpr std::size_t report_subset = 64;

dispatch::attempt_end to_end(chunk_effect effect)
{
    switch (effect) {
        case chunk_effect::completed:
            return dispatch::attempt_end::completed;
        case chunk_effect::not_run:
            return dispatch::attempt_end::not_run;
        case chunk_effect::busy:
        case chunk_effect::stale:
            return dispatch::attempt_end::refused_busy;
        case chunk_effect::none:
        case chunk_effect::first:
        case chunk_effect::unknown:
        case chunk_effect::broken:
            break;
    }
    return dispatch::attempt_end::unknown;
}

const char* to_text(dispatch::attempt_end end)
{
    switch (end) {
        case dispatch::attempt_end::completed:
            return "completed";
        case dispatch::attempt_end::not_run:
            return "not_run";
        case dispatch::attempt_end::refused_busy:
            return "refused_busy";
        case dispatch::attempt_end::unknown:
            return "unknown";
        case dispatch::attempt_end::upstream_died:
            return "upstream_died";
        case dispatch::attempt_end::cancelled:
            break;
    }
    return "cancelled";
}

wire::Outcome to_wire(ledger::outcome value)
{
    switch (value) {
        case ledger::outcome::completed:
            return wire::OUTCOME_COMPLETED;
        case ledger::outcome::not_run:
            return wire::OUTCOME_NOT_RUN;
        case ledger::outcome::unknown:
            break;
    }
    return wire::OUTCOME_UNKNOWN;
}

/// Writes the model that the selector names into the body of a completion.
std::string with_model(const std::string& body, const std::string& model)
{
    auto source = json::parse(body, nullptr, false);
    if (!source.is_object()) {
        return body;
    }
    source["model"] = model;
    return source.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// The workspace that a token belongs to; every stored hash is compared, so that the time taken
/// says nothing about where a match stands.
const configuration::workspace* workspace_of_token(const configuration::document& rules,
                                                   const std::string& token)
{
    const auto hash = caller::token_hash(token);
    const configuration::workspace* found = nullptr;
    for (const auto& workspace : rules.m_workspaces) {
        for (const auto& known : workspace.m_token_hashes) {
            if (caller::equal_in_constant_time(known, hash)) {
                found = &workspace;
            }
        }
    }
    return found;
}

}  // namespace

std::vector<setting> entry_schema()
{
    auto schema = platform::common_settings();
    const auto listeners = platform::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const caller::call_limits limits;
    const std::vector<setting> own{
        {"/controls", setting_kind::addresses, json::array(), "Link addresses of control hosts."},
        {"/entries", setting_kind::addresses, json::array(),
         "Link addresses of a few entry hosts, some in each failure domain."},
        {"/burn_file", setting_kind::text, "",
         "File that keeps the service-level counts over a restart; empty: none."},
        {"/limits/json_depth", setting_kind::integer, limits.m_most_json_depth,
         "Deepest nesting of a JSON body.", 1, 512},
        {"/limits/output_tokens", setting_kind::integer, limits.m_most_output_tokens,
         "Most output tokens of one request.", 1, 1'000'000},
        {"/limits/queued", setting_kind::integer, 10'000,
         "Requests that may wait for an upstream, for each pool.", 1, 1'000'000},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class entry_server::implementation {
public:
    implementation(platform::program& frame, const json& settings)
        : m_frame(frame),
          m_settings(settings),
          m_incarnation(platform::new_incarnation()),
          m_burn(setting_value<std::string>(settings, "/burn_file")),
          m_configuration(platform::link_addresses(settings, "/controls"),
                          [this] { configuration_changed(); }),
          m_claims(platform::link_addresses(settings, "/controls")),
          m_pools(broker_options())
    {
        m_limits.m_most_json_depth = setting_value<std::size_t>(settings, "/limits/json_depth");
        m_limits.m_most_output_tokens =
            setting_value<std::int64_t>(settings, "/limits/output_tokens");
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
        auto node = platform::start_node(m_settings, m_incarnation,
                                         {[this](const link::peer& from, wire::Envelope&& message) {
                                              on_message(from, std::move(message));
                                          },
                                          [this](const link::peer& gone) { on_lost(gone); }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        m_membership =
            join(m_settings, self_of(m_settings, membership::role::entry, *m_node, m_incarnation),
                 *m_node, membership_hooks_of());
        auto server = platform::start_http(
            m_frame.context(), m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                handle(std::move(request), answer);
            });
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        announce_self();
        m_is_started = true;
        platform::write_address_file(m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    platform::program_hooks hooks()
    {
        platform::program_hooks result;
        result.m_is_ready = [this] { return is_ready(platform::now()); };
        result.m_in_flight = [this] {
            const bool waits_for_control = platform::now() < m_report_deadline.load();
            return m_requests.size() + m_server->unanswered() +
                   (waits_for_control ? m_claims.unrecorded() : 0);
        };
        result.m_announce_leave = [this] {
            m_membership->leave(platform::now());
            m_server->wind_down();
        };
        result.m_stop_accepting = [this] {
            m_server->stop_accepting();
            m_report_deadline = platform::now() + report_limit;
            m_burn.save();
        };
        result.m_tick = [this](time_point now) { tick(now); };
        return result;
    }

private:
    /// Ready once the newest configuration that can be learned is here, and the members with it.
    /// Control decides; where it stays silent, the hosts of the domain do.
    bool is_ready(time_point now) const
    {
        const bool is_patient = now < m_started_at + learning_limit;
        const bool knows_configuration =
            m_configuration.has_heard() || (!is_patient && m_configuration.knows_any());
        const bool knows_members = now >= m_members_heard_at.load() + settling_time || !is_patient;
        return knows_configuration && knows_members;
    }

    membership_hooks membership_hooks_of()
    {
        membership_hooks hooks;
        hooks.m_on_change = [this](const membership::member& member) { on_member(member); };
        hooks.m_on_report = [this](const host_id& host, incarnation,
                                   const membership::member_load& load) {
            if (const auto changed = m_members.take_load(host, load)) {
                update_pools(*changed, platform::now());
            }
        };
        return hooks;
    }

    void announce_self()
    {
        auto self = self_of(m_settings, membership::role::entry, *m_node, m_incarnation);
        self.m_http_address = to_string(m_server->address());
        m_membership->announce(self, platform::now());
    }

    dispatch::broker_options broker_options() const
    {
        dispatch::broker_options options;
        options.m_failure_domain =
            failure_domain_id(setting_value<std::string>(m_settings, "/failure_domain"));
        options.m_entry = host_id(setting_value<std::string>(m_settings, "/host"));
        options.m_most_queued = setting_value<std::size_t>(m_settings, "/limits/queued");
        return options;
    }

    // Callers.

    void handle(http::request&& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto path = http::path_of(request.m_target);
        if (path == "/healthz") {
            answer->respond(http::json_response(200, R"({"status":"ok"})"));
        }
        else if (path == "/readyz") {
            const bool is_ready = m_frame.phase() == lifecycle::phase::serving;
            answer->respond(http::json_response(
                is_ready ? 200 : 503, json{{"phase", to_string(m_frame.phase())}}.dump()));
        }
        else if (path == "/metrics") {
            answer->respond(
                {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()});
        }
        else if (path == "/v1/status") {
            answer->respond(http::json_response(200, status_text()));
        }
        else if (path == "/v1/burn") {
            answer->respond(http::json_response(
                200, json{{"host", setting_value<std::string>(m_settings, "/host")},
                          {"burn", m_burn.to_json()}}
                         .dump()));
        }
        else if (path == "/v1/quarantine/lift" && request.m_method == "POST") {
            answer->respond(lift_quarantine(request));
        }
        else if (path == "/v1/models" && request.m_method == "GET") {
            answer->respond(http::json_response(200, models_text()));
        }
        else {
            take_call(std::move(request), answer);
        }
    }

    void take_call(http::request&& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto now = platform::now();
        const dispatch::ticket ticket(++m_last_ticket);
        const auto request_id = absl::StrFormat("req-%x-%x", m_incarnation.value(), ticket.value());
        auto read = caller::read_call(request, m_limits);
        if (const auto* fault = std::get_if<caller::error>(&read)) {
            refuse_unread(*fault, request_id, *answer);
            return;
        }
        if (m_frame.phase() == lifecycle::phase::starting) {
            refuse_unread(not_ready(), request_id, *answer);
            return;
        }
        entry_request::facts known;
        known.m_ticket = ticket;
        known.m_request_id = request_id;
        known.m_call = std::get<caller::call>(std::move(read));
        known.m_caller_model = known.m_call.m_model;
        known.m_request = std::move(request);
        known.m_arrival = now;
        classify_and_submit(std::move(known), answer, now);
    }

    void refuse_unread(const caller::error& fault, const std::string& request_id,
                       http::exchange& answer)
    {
        log_event(log_level::info, "request_refused",
                  {{"request", request_id}, {"status", fault.m_status}, {"code", fault.m_code}});
        request_result result;
        result.m_status = fault.m_status;
        result.m_code = fault.m_code;
        m_metrics.request_ended("", result, {}, {});
        answer.respond(caller::to_response(fault, request_id));
    }

    void refuse_classified(const caller::error& fault, const entry_request::facts& known,
                           http::exchange& answer, time_point now)
    {
        if (known.m_claim && known.m_is_claim_granted) {
            report_claim(*known.m_claim, {}, now);
        }
        refuse_unread(fault, known.m_request_id, answer);
    }

    /// Finds the selector of a request, and gives it to its pool.
    void classify_and_submit(entry_request::facts known,
                             const std::shared_ptr<http::exchange>& answer, time_point now)
    {
        const auto active = m_configuration.current();
        const auto& rules = active->m_document;
        const auto& wanted = known.m_call;
        const auto* workspace = wanted.m_bearer_token.empty()
                                    ? nullptr
                                    : workspace_of_token(rules, wanted.m_bearer_token);
        const bool is_refused = rules.m_tokens_required || !wanted.m_bearer_token.empty();
        if (workspace == nullptr && is_refused) {
            refuse_classified(not_authorized(), known, *answer, now);
            return;
        }
        if (workspace == nullptr) {
            workspace = configuration::find_workspace(rules, workspace_id(wanted.m_workspace));
            if (workspace == nullptr && !wanted.m_workspace.empty()) {
                refuse_classified(unknown_workspace(), known, *answer, now);
                return;
            }
        }
        const auto labels = caller::request_labels(wanted, workspace);
        const auto* rule = configuration::resolve(rules, labels);
        if (rule == nullptr) {
            refuse_classified(no_selector(labels), known, *answer, now);
            return;
        }
        if (rule->m_key_required && wanted.m_idempotency_key.empty()) {
            refuse_classified(key_required(rule->m_name), known, *answer, now);
            return;
        }
        apply_rule(*rule, known);
        known.m_workspace = workspace == nullptr ? "" : workspace->m_name.value();
        known.m_workspace_class = burn::workspace_class(workspace);
        known.m_configuration = active->m_version;
        if (!rule->m_idempotent && !wanted.m_idempotency_key.empty() && !known.m_claim) {
            known.m_claim.emplace();
            known.m_claim->m_key = claims::claim_key(
                caller::claim_key_of(known.m_workspace, wanted.m_idempotency_key));
            known.m_claim->m_attempt = {m_incarnation, ++m_last_attempt};
        }
        auto info = make_info(*rule, workspace, known);
        const request_pointer request(new entry_request(std::move(known), answer));
        start_request(request, std::move(info), answer, now);
    }

    static void apply_rule(const configuration::work_selector& rule, entry_request::facts& known)
    {
        known.m_selector = rule.m_name;
        known.m_deadline = known.m_arrival + rule.m_time_limit;
        known.m_target = rule.m_target;
        known.m_idempotent = rule.m_idempotent;
        known.m_urgent = rule.m_class == configuration::work_class::urgent;
        auto& wanted = known.m_call;
        if (wanted.m_kind == caller::call_kind::service) {
            known.m_pool = service_pool(wanted.m_service);
            return;
        }
        const auto& model = rule.m_adapter.empty() ? rule.m_model.value() : rule.m_adapter;
        if (!model.empty() && model != wanted.m_model.value()) {
            known.m_caller_body = known.m_request.m_body;
            known.m_request.m_body = with_model(known.m_request.m_body, model);
        }
        if (!rule.m_model.value().empty()) {
            wanted.m_model = rule.m_model;
        }
        known.m_pool = model_pool(wanted.m_model);
    }

    static dispatch::request_info make_info(const configuration::work_selector& rule,
                                            const configuration::workspace* workspace,
                                            const entry_request::facts& known)
    {
        dispatch::request_info info;
        info.m_ticket = known.m_ticket;
        info.m_selector = rule.m_name;
        info.m_selector_weight = rule.m_weight;
        info.m_class = rule.m_class;
        info.m_upstreams = rule.m_upstreams;
        add_requirement(info.m_upstreams, "version", rule.m_version);
        info.m_idempotent = rule.m_idempotent;
        info.m_prompt_tokens = known.m_call.m_prompt_tokens;
        info.m_output_tokens = known.m_call.m_output_tokens;
        info.m_prefix = known.m_call.m_prefix;
        info.m_fingerprint = known.m_call.m_content;
        info.m_arrival = known.m_arrival;
        info.m_deadline = known.m_deadline;
        if (workspace != nullptr) {
            info.m_workspace = workspace->m_name;
            info.m_workspace_weight = workspace->m_weight;
        }
        return info;
    }

    static void add_requirement(configuration::selector& conditions, const char* key,
                                const std::string& value)
    {
        if (!value.empty()) {
            conditions.m_requirements.push_back(
                {key, configuration::requirement_kind::in, {value}});
        }
    }

    void start_request(const request_pointer& request, dispatch::request_info info,
                       const std::shared_ptr<http::exchange>& answer, time_point now)
    {
        m_requests.add(request);
        const auto& known = request->known();
        if (!known.m_claim) {
            answer->on_gone([this, request] { caller_gone(request); });
        }
        if (known.m_claim && !known.m_is_claim_granted) {
            claim_then_submit(request, std::move(info), now);
            return;
        }
        perform(m_pools.submit(known.m_pool, std::move(info), now), now);
    }

    /// A request with a key runs only once control has granted the key to it. It goes on when its
    /// caller goes away: the answer is kept for a resend.
    void claim_then_submit(const request_pointer& request, dispatch::request_info info,
                           time_point now)
    {
        const auto& claim = *request->known().m_claim;
        m_claims.claim(
            *m_node, claim.m_key, claim.m_attempt, request->known().m_call.m_content,
            [this, request, info = std::move(info)](const control::claim_reply& reply) {
                take_claim(request, info, reply, platform::now());
            },
            now);
    }

    void take_claim(const request_pointer& request, const dispatch::request_info& info,
                    const control::claim_reply& reply, time_point now)
    {
        if (reply.m_decision == wire::ClaimReply::DECISION_GRANTED) {
            request->set_claim_granted();
            perform(m_pools.submit(request->known().m_pool, info, now), now);
            return;
        }
        if (reply.m_decision == wire::ClaimReply::DECISION_FINISHED && reply.m_answer) {
            http::response whole;
            whole.m_status = static_cast<int>(reply.m_answer->m_status);
            for (const auto& item : reply.m_answer->m_headers) {
                whole.m_fields.push_back({item.m_name, item.m_value});
            }
            whole.m_fields.push_back({"X-Dewbeam-Replayed", "true"});
            whole.m_body = reply.m_answer->m_body;
            request->respond(std::move(whole), ledger::outcome::completed);
            finished(request, now);
            return;
        }
        fail(request, claim_refused(reply.m_decision), now);
    }

    /// Tells control how a claimed request ended, so that a resend can be answered.
    void report_claim(const request_claim& claim, const request_result& result, time_point now)
    {
        wire::ClaimResult message;
        message.set_key(claim.m_key.value());
        link::to_wire(claim.m_attempt, *message.mutable_attempt());
        message.set_outcome(to_wire(result.m_outcome));
        if (result.m_answer) {
            message.set_answer_held(true);
            message.set_status(result.m_answer->m_status);
            message.set_body(result.m_answer->m_body);
            for (const auto& item : result.m_answer->m_headers) {
                auto& header = *message.add_headers();
                header.set_name(item.m_name);
                header.set_value(item.m_value);
            }
        }
        m_claims.report(*m_node, std::move(message), now);
    }

    void caller_gone(const request_pointer& request)
    {
        if (!request->set_gone()) {
            return;
        }
        const auto now = platform::now();
        cancel_attempt(request);
        finished(request, now);
        perform(m_pools.cancel(request->known().m_pool, request->known().m_ticket, now), now);
    }

    // Attempts.

    void perform(const dispatch::actions& wanted, time_point now)
    {
        for (const auto& action : wanted) {
            const auto request = m_requests.find(action.m_ticket);
            if (!request) {
                continue;  // over in the meantime
            }
            if (action.m_kind == dispatch::action::kind::refuse) {
                fail(request, to_error(action, now), now);
            }
            else {
                begin_attempt(request, action, now);
            }
        }
    }

    void begin_attempt(const request_pointer& request, const dispatch::action& action,
                       time_point now)
    {
        owned_attempt attempt;
        attempt.m_id = {m_incarnation, ++m_last_attempt};
        attempt.m_agent_address = m_members.address_of(action.m_upstream);
        attempt.m_agent = action.m_incarnation;
        const auto id = attempt.m_id;
        const auto address = attempt.m_agent_address;
        auto message =
            request->own(action, std::move(attempt), m_configuration.current()->m_version, now);
        if (!message) {
            give_up_stream(request, now);
            return;
        }
        m_requests.add_attempt(id, request);
        m_metrics.dispatched();
        log_event(log_level::debug, "attempt_dispatched",
                  {{"request", request->known().m_request_id},
                   {"attempt", id.m_sequence},
                   {"upstream", action.m_upstream.value()}});
        wire::Envelope envelope;
        *envelope.mutable_dispatch() = *std::move(message);
        if (address.empty() || !m_node->send(address, std::move(envelope))) {
            end_attempt(request, id, dispatch::attempt_end::not_run, now);
        }
    }

    /// A stream whose answer contradicted itself can't go on anywhere.
    void give_up_stream(const request_pointer& request, time_point now)
    {
        if (!request->is_over()) {
            fail(request, broken_stream(), now);
        }
        perform(m_pools.cancel(request->known().m_pool, request->known().m_ticket, now), now);
    }

    /// Tells the agent that the answer is not wanted any more.
    void cancel_attempt(const request_pointer& request)
    {
        const auto attempt = request->attempt();
        if (attempt.m_id.m_sequence == 0) {
            return;
        }
        m_requests.remove_attempt(attempt.m_id);
        wire::Envelope message;
        link::to_wire(attempt.m_id, *message.mutable_cancel()->mutable_attempt());
        m_node->send(attempt.m_agent_address, std::move(message));
    }

    /// Ends the attempt for the request, which is then retried or refused.
    void end_attempt(const request_pointer& request, const attempt_id& id,
                     dispatch::attempt_end end, time_point now)
    {
        const bool is_not_run =
            end == dispatch::attempt_end::not_run || end == dispatch::attempt_end::refused_busy;
        if (!request->release(id, is_not_run)) {
            return;
        }
        m_requests.remove_attempt(id);
        if (end != dispatch::attempt_end::completed) {
            m_metrics.attempt_failed(to_text(end));
            log_event(log_level::info, "attempt_ended",
                      {{"request", request->known().m_request_id},
                       {"attempt", id.m_sequence},
                       {"end", to_text(end)}});
        }
        const auto& known = request->known();
        if (end == dispatch::attempt_end::completed) {
            finished(request, now);
        }
        const auto wanted = m_pools.attempt_ended(known.m_pool, known.m_ticket, end, now);
        if (end == dispatch::attempt_end::upstream_died) {
            // The other entries must know before the caller can ask one of them again.
            spread_suspicions(now);
        }
        perform(wanted, now);
    }

    void fail(const request_pointer& request, const caller::error& fault, time_point now)
    {
        request->fail(fault);
        finished(request, now);
    }

    void finished(const request_pointer& request, time_point now)
    {
        m_requests.remove(request);
        const auto& known = request->known();
        const auto result = request->result();
        m_metrics.request_ended(known.m_selector, result, result.m_first_byte - known.m_arrival,
                                now - known.m_arrival);
        if (known.m_claim && request->is_claim_granted()) {
            report_claim(*known.m_claim, result, now);
        }
        m_burn.record({known.m_selector, known.m_workspace_class}, known.m_target, result,
                      result.m_first_byte - known.m_arrival, platform::wall_now());
        log_event(log_level::info, "request_ended",
                  {{"request", known.m_request_id},
                   {"selector", known.m_selector},
                   {"workspace", known.m_workspace},
                   {"status", result.m_status},
                   {"code", result.m_code},
                   {"gone", result.m_is_caller_gone},
                   {"us", (now - known.m_arrival).count()}});
    }

    /// The agent knows a newer configuration, which this entry has adopted by now: the request is
    /// classified anew under it, unless the caller has part of the answer.
    void resubmit(const request_pointer& request, const attempt_id& id, time_point now)
    {
        if (!request->supersede()) {
            end_attempt(request, id, dispatch::attempt_end::refused_busy, now);
            return;
        }
        m_requests.remove_attempt(id);
        m_requests.remove(request);
        auto known = request->known();
        known.m_is_claim_granted = request->is_claim_granted();
        perform(m_pools.cancel(known.m_pool, known.m_ticket, now), now);
        known.m_ticket = dispatch::ticket(++m_last_ticket);
        known.m_call.m_model = known.m_caller_model;
        if (!known.m_caller_body.empty()) {
            known.m_request.m_body = std::exchange(known.m_caller_body, {});
        }
        classify_and_submit(std::move(known), request->answer(), now);
    }

    // Messages.

    void on_message(const link::peer& from, wire::Envelope&& message)
    {
        if (!m_is_started) {
            return;  // whoever sent this sends it again
        }
        const auto now = platform::now();
        if (m_membership->take(message, now)) {
            return;
        }
        if (message.has_reply_chunk()) {
            on_chunk(message.reply_chunk(), now);
        }
        else if (message.has_accepted()) {
            if (const auto request =
                    m_requests.find(link::from_wire(message.accepted().attempt()))) {
                request->take(message.accepted());
            }
        }
        else if (message.has_tombstone_reply()) {
            on_tombstone_reply(message.tombstone_reply(), now);
        }
        else if (message.has_configuration_update()) {
            m_configuration.adopt(message.configuration_update(), is_from_control(from));
        }
        else if (message.has_claim_reply()) {
            m_claims.take(*m_node, message.claim_reply(), m_membership->reach(now).m_hears_quorum,
                          now);
        }
        else if (message.has_claim_result_reply()) {
            m_claims.take(message.claim_result_reply());
        }
        else if (message.has_suspicion()) {
            on_suspicion(message.suspicion(), now);
        }
        else if (message.has_subscribe()) {
            tell_configuration(from);
        }
    }

    [[nodiscard]] bool is_from_control(const link::peer& from) const
    {
        const auto controls = platform::link_addresses(m_settings, "/controls");
        return std::find(controls.begin(), controls.end(), from.m_address) != controls.end();
    }

    /// Another host of a cut-off domain asks for the newest configuration.
    void tell_configuration(const link::peer& from)
    {
        if (m_configuration.knows_any()) {
            wire::Envelope answer;
            *answer.mutable_configuration_update() = m_configuration.message();
            m_node->reply(from, std::move(answer));
        }
    }

    void on_chunk(const wire::ReplyChunk& chunk, time_point now)
    {
        const auto id = link::from_wire(chunk.attempt());
        const auto request = m_requests.find(id);
        if (!request) {
            return;
        }
        const auto effect = request->take(chunk, now);
        switch (effect) {
            case chunk_effect::none:
                return;
            case chunk_effect::first:
                m_pools.first_token(request->known().m_pool, request->known().m_ticket, now);
                return;
            case chunk_effect::stale:
                resubmit(request, id, now);
                return;
            case chunk_effect::broken:
                cancel_attempt(request);
                break;
            case chunk_effect::completed:
            case chunk_effect::not_run:
            case chunk_effect::busy:
            case chunk_effect::unknown:
                break;
        }
        auto end = to_end(effect);
        if (end == dispatch::attempt_end::unknown && chunk.reason() == "upstream_died") {
            end = dispatch::attempt_end::upstream_died;
        }
        end_attempt(request, id, end, now);
    }

    void on_tombstone_reply(const wire::TombstoneReply& reply, time_point now)
    {
        const auto id = link::from_wire(reply.attempt());
        const auto request = m_requests.find(id);
        if (!request) {
            return;
        }
        const auto effect = request->take(reply);
        if (effect != chunk_effect::none) {
            end_attempt(request, id, to_end(effect), now);
        }
    }

    void on_lost(const link::peer& gone)
    {
        m_configuration.peer_lost(gone.m_address);
        m_claims.peer_lost(*m_node, gone.m_address);
        if (gone.m_address.empty()) {
            return;
        }
        const auto now = platform::now();
        for (const auto& member : m_members.set_unreachable(gone.m_address)) {
            // A report shows when the agent can be reached again.
            m_next_interest = time_point{};
            update_pools(member, now);
        }
        end_attempts_at(gone.m_address, now);
    }

    /// The process at an address is gone, or can't be heard: its attempts end here.
    void end_attempts_at(const std::string& address, time_point now)
    {
        for (const auto& request : m_requests.all()) {
            const auto attempt = request->attempt();
            if (attempt.m_agent_address != address) {
                continue;
            }
            const bool is_suspect = m_losses.note(request->known().m_call.m_content, now);
            end_attempt(
                request, attempt.m_id,
                is_suspect ? dispatch::attempt_end::upstream_died : dispatch::attempt_end::unknown,
                now);
        }
    }

    // Members.

    void on_member(const membership::member& member)
    {
        const auto now = platform::now();
        if (m_members_heard_at.load() == no_heard) {
            m_members_heard_at = now;
        }
        if (member.m_role != membership::role::agent) {
            return;
        }
        if (!member.m_dead) {
            if (m_members.is_new_process(member)) {
                // Its load is wanted at once, and nothing more comes from the process before it.
                m_next_interest = time_point{};
                m_node->close(member.m_address);
                end_attempts_at(member.m_address, now);
            }
            update_pools(m_members.take(member), now);
        }
        else if (m_members.remove(member)) {
            log_event(log_level::info, "upstream_gone", {{"upstream", member.m_upstream.value()}});
            remove_from_pools(member, now);
        }
    }

    /// Link addresses of the other entries that are there.
    std::vector<std::string> other_entries() const
    {
        std::vector<std::string> result;
        for (const auto& member : m_membership->members()) {
            const bool is_other =
                member.m_role == membership::role::entry && member.m_address != m_node->address();
            if (is_other && !member.m_dead) {
                result.push_back(member.m_address);
            }
        }
        return result;
    }

    void update_pools(const membership::member& member, time_point now)
    {
        const auto active = m_configuration.current();
        const auto labels = configuration::effective_labels(active->m_document, member.m_labels);
        const auto info = to_upstream(member, labels);
        for (const auto& pool : pools_of(member)) {
            perform(m_pools.update_upstream(pool, info, now), now);
        }
    }

    void remove_from_pools(const membership::member& member, time_point now)
    {
        for (const auto& pool : pools_of(member)) {
            perform(m_pools.remove_upstream(pool, member.m_upstream, now), now);
        }
    }

    void configuration_changed()
    {
        const auto now = platform::now();
        m_metrics.set_configuration_number(m_configuration.current()->m_number);
        for (const auto& member : m_members.all()) {
            update_pools(member, now);
        }
    }

    // Suspicions.

    /// Tells the other entries of contents that were running when an upstream died.
    void spread_suspicions(time_point now)
    {
        for (const auto& item : m_pools.take_suspicions()) {
            wire::Envelope message;
            to_wire(item, now, platform::wall_now(), *message.mutable_suspicion());
            log_event(log_level::warning, "content_suspected",
                      {{"pool", item.m_pool},
                       {"content", item.m_record.m_content.value()},
                       {"deaths", item.m_record.m_deaths.size()}});
            for (const auto& address : other_entries()) {
                m_node->send(address, message);
            }
        }
    }

    void on_suspicion(const wire::Suspicion& message, time_point now)
    {
        const auto record = from_wire(message, now, platform::wall_now());
        perform(m_pools.merge_suspicion(message.pool(), record, now), now);
    }

    // Time.

    void tick(time_point now)
    {
        m_membership->tick(now);
        m_configuration.tick(*m_node, m_peers, now);
        m_claims.tick(*m_node, now);
        perform(m_pools.tick(now), now);
        if (now < m_next_scan) {
            return;
        }
        m_next_scan = now + scan_interval;
        m_burn.tick(platform::wall_now());
        spread_suspicions(now);
        if (now >= m_next_peers) {
            m_next_peers = now + peers_interval;
            m_peers = other_entries();
        }
        if (now >= m_next_interest.load()) {
            m_next_interest = now + report_interest_interval;
            m_membership->want_reports(report_subset);
        }
        for (const auto& request : m_requests.all()) {
            watch(request, now);
        }
        m_metrics.set_in_flight(m_requests.size());
        m_metrics.set_upstreams(m_members.size());
    }

    /// Deadlines of one request in flight.
    void watch(const request_pointer& request, time_point now)
    {
        const auto attempt = request->attempt();
        if (attempt.m_id.m_sequence == 0) {
            return;
        }
        if (request->known().m_deadline <= now) {
            cancel_attempt(request);
            fail(request, deadline_exceeded(), now);
            perform(m_pools.cancel(request->known().m_pool, request->known().m_ticket, now), now);
        }
        else if (request->begin_tombstone(now)) {
            send_tombstone(attempt);
        }
        else if (request->is_broken(now)) {
            cancel_attempt(request);
            end_attempt(request, attempt.m_id, dispatch::attempt_end::unknown, now);
        }
        else if (request->is_tombstone_late(now)) {
            end_attempt(request, attempt.m_id, dispatch::attempt_end::unknown, now);
        }
    }

    void send_tombstone(const owned_attempt& attempt)
    {
        wire::Envelope message;
        auto& tombstone = *message.mutable_tombstone();
        link::to_wire(attempt.m_id, *tombstone.mutable_attempt());
        tombstone.set_agent_incarnation(attempt.m_agent.value());
        m_node->send(attempt.m_agent_address, std::move(message));
    }

    // Pages.

    std::string status_text()
    {
        const auto active = m_configuration.current();
        status_facts facts;
        facts.m_host = setting_value<std::string>(m_settings, "/host");
        facts.m_failure_domain = setting_value<std::string>(m_settings, "/failure_domain");
        facts.m_phase = m_frame.phase();
        facts.m_incarnation = m_incarnation;
        facts.m_number = active->m_number;
        facts.m_version = active->m_version;
        auto page = status_page(facts, *m_membership, platform::now());
        page["in_flight"] = m_requests.size();
        page["loads"] = loads_to_json(m_members.all());
        return page.dump();
    }

    /// `{"pool": "model:NAME", "content": N}`: the content may run again, on every entry.
    http::response lift_quarantine(const http::request& request)
    {
        const auto body = json::parse(request.m_body, nullptr, false);
        const bool is_right = body.is_object() && body.contains("pool") &&
                              body["pool"].is_string() && body.contains("content") &&
                              body["content"].is_number_unsigned();
        if (!is_right) {
            return caller::to_response(
                caller::bad_request("invalid_body",
                                    "the body must be an object with \"pool\" (a string) and "
                                    "\"content\" (a whole number)"),
                "");
        }
        m_pools.lift_quarantine(body["pool"], fingerprint(body["content"].get<std::uint64_t>()),
                                platform::now());
        return http::json_response(200, R"({"status":"lifted"})");
    }

    std::string models_text()
    {
        constexpr std::string_view prefix = "model:";
        json data = json::array();
        for (const auto& name : m_pools.names()) {
            if (name.starts_with(prefix)) {
                data.push_back({{"id", name.substr(prefix.size())},
                                {"object", "model"},
                                {"owned_by", "dewbeam"}});
            }
        }
        return json{{"object", "list"}, {"data", data}}.dump();
    }

    platform::program& m_frame;
    json m_settings;
    incarnation m_incarnation;
    caller::call_limits m_limits;
    metrics m_metrics;
    burn_book m_burn;
    control::subscriber m_configuration;
    control::claim_client m_claims;
    pool_table m_pools;
    member_table m_members;
    request_table m_requests;
    loss_memory m_losses;
    std::atomic<std::uint64_t> m_last_ticket = 0;
    std::atomic<std::uint64_t> m_last_attempt = 0;
    time_point m_next_scan{};
    std::atomic<time_point> m_report_deadline = no_deadline;
    std::atomic<time_point> m_next_interest = time_point{};
    time_point m_next_peers{};
    std::vector<std::string> m_peers;  ///< other entries; used on the frame's thread alone
    time_point m_started_at = platform::now();
    /// `no_heard` until the first member is heard of; ready at once is right for a lone entry only
    /// after the learning limit.
    static constexpr time_point no_heard = no_deadline - settling_time;
    std::atomic<time_point> m_members_heard_at = no_heard;
    std::atomic<bool> m_is_started = false;  ///< the node and the server are there
    std::unique_ptr<membership_runner> m_membership;
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<http::server> m_server;
};

entry_server::entry_server(platform::program& frame, const json& settings)
    : m_implementation(std::make_unique<implementation>(frame, settings))
{
}

entry_server::~entry_server() = default;

absl::Status entry_server::start()
{
    return m_implementation->start();
}

platform::program_hooks entry_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::entry
