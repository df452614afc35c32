#include "dewbeam/src/entry/entry_server.h"

#include <atomic>
#include <utility>

#include "dewbeam/src/entry/attempts.h"
#include "dewbeam/src/entry/entry_state.h"
#include "dewbeam/src/entry/intake.h"
#include "dewbeam/src/entry/member_feed.h"
#include "dewbeam/src/entry/messages.h"
#include "dewbeam/src/entry/pages.h"
#include "dewbeam/src/entry/peers.h"
#include "dewbeam/src/entry/status_page.h"
#include "dewbeam/src/entry/suspicions.h"
#include "dewbeam/turns"

namespace dewbeam::entry {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds scan_interval{50};
/// How long a starting entry waits for the configuration from control before it accepts the one
/// that other hosts of the failure domain sent.
constexpr std::chrono::seconds configuration_wait_limit{4};
/// How long a planned stop waits for control to record how claimed requests ended.
constexpr std::chrono::seconds claim_report_timeout{5};
constexpr std::chrono::milliseconds peers_interval{500};
constexpr std::chrono::seconds report_interest_interval{5};
/// Number of agents per model from which one entry requests load reports.
constexpr std::size_t report_subset = 64;

}  // namespace

std::vector<setting> entry_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    constexpr std::int64_t mebibyte = 1024L * 1024;
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
        {"/answers/most_buffered_bytes", setting_kind::integer, 32 * mebibyte,
         "Memory of all unfinished answers together; small ones don't count (bytes).", 0,
         1024 * mebibyte},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class entry_server::implementation {
public:
    implementation(program::program& frame, const json& settings)
        : m_state(frame, settings, [this] { configuration_changed(m_state); })
    {
    }

    ~implementation()
    {
        if (m_state.m_node) {
            m_state.m_node->stop();  // its thread uses members that are destroyed before it
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    absl::Status start()
    {
        if (auto status = start_link(); !status.ok()) {
            return status;
        }
        if (auto status = start_http(); !status.ok()) {
            return status;
        }
        announce_self();
        m_state.m_is_started = true;
        program::write_address_file(m_state.m_settings, to_string(m_state.m_server->address()));
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [this] { return is_ready(program::now()); };
        result.m_in_flight = [this] { return in_flight(program::now()); };
        result.m_announce_leave = [this] {
            m_state.m_membership->leave(program::now());
            m_state.m_server->wind_down();
        };
        result.m_stop_accepting = [this] {
            m_state.m_server->stop_accepting();
            m_report_deadline = program::now() + claim_report_timeout;
            m_state.m_burn.save();
        };
        result.m_give_up = [this] { fail_all_requests(m_state, program::now()); };
        result.m_tick = [this](time_point now) { tick(now); };
        return result;
    }

private:
    absl::Status start_link()
    {
        auto node = program::start_node(
            m_state.m_settings, m_state.m_incarnation,
            {[this](const link::peer& from, wire::Envelope&& message) {
                 on_message(m_state, from, std::move(message));
             },
             [this](const std::vector<link::peer>& gone) { on_lost(m_state, gone); }});
        if (!node.ok()) {
            return node.status();
        }
        m_state.m_node = *std::move(node);
        m_state.m_membership =
            join(m_state.m_settings, self(), *m_state.m_node, membership_hooks_of(m_state));
        return absl::OkStatus();
    }

    absl::Status start_http()
    {
        auto server = program::start_http(
            m_state.m_frame.context(), m_state.m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                handle(std::move(request), answer);
            });
        if (!server.ok()) {
            return server.status();
        }
        m_state.m_server = *std::move(server);
        return absl::OkStatus();
    }

    membership::member self() const
    {
        return self_of(m_state.m_settings, membership::role::entry, *m_state.m_node,
                       m_state.m_incarnation);
    }

    void announce_self()
    {
        auto announced = self();
        announced.m_http_address = to_string(m_state.m_server->address());
        m_state.m_membership->announce(announced, program::now());
    }

    /// Whether the entry has a configuration and a settled list of members. The configuration must
    /// come from control; after `configuration_wait_limit` one from other hosts of the domain
    /// suffices, and the members are not waited for either.
    bool is_ready(time_point now) const
    {
        const auto& configuration = m_state.m_configuration;
        const bool is_waiting_for_control = now < m_started_at + configuration_wait_limit;
        const bool knows_configuration =
            configuration.has_heard() || (!is_waiting_for_control && configuration.knows_any());
        const bool knows_members =
            now >= m_state.m_last_member_change.load() + membership_settling_time ||
            !is_waiting_for_control;
        return knows_configuration && knows_members;
    }

    /// Requests, answers and reports that a planned stop waits for.
    std::size_t in_flight(time_point now) const
    {
        const bool waits_for_control = now < m_report_deadline.load();
        return m_state.m_requests.size() + m_state.m_server->unanswered() +
               (waits_for_control ? m_state.m_claims.unrecorded() : 0);
    }

    void handle(http::request&& request, const std::shared_ptr<http::exchange>& answer)
    {
        if (auto page = answer_page(m_state, request)) {
            answer->respond(*std::move(page));
            return;
        }
        receive_call(m_state, std::move(request), answer);
    }

    void tick(time_point now)
    {
        m_state.m_membership->tick(now);
        m_state.m_configuration.tick(*m_state.m_node, m_peers, now);
        m_state.m_claims.tick(*m_state.m_node, now);
        perform(m_state, m_state.m_pools.tick(now), now);
        if (now < m_next_scan) {
            return;
        }
        m_next_scan = now + scan_interval;
        scan(now);
    }

    /// Work that is done less often than at each tick.
    void scan(time_point now)
    {
        m_state.m_burn.tick(program::wall_now());
        broadcast_suspicions(m_state, now);
        if (now >= m_next_peers) {
            m_next_peers = now + peers_interval;
            m_peers = other_entries(m_state);
            send_suspicions_to_new_entries(m_state, m_known_entries, now);
        }
        if (now >= m_state.m_next_interest.load()) {
            m_state.m_next_interest = now + report_interest_interval;
            m_state.m_membership->request_load_reports(report_subset);
        }
        const auto held_up = take_growth(m_link_delay, m_state.m_node->held_up());
        for (const auto& request : m_state.m_requests.all()) {
            if (held_up > time_span::zero()) {
                request->extend_attempt_deadlines(held_up, now);
            }
            check_request_deadlines(m_state, request, now);
        }
        m_state.m_metrics.set_in_flight(m_state.m_requests.size());
        m_state.m_metrics.set_attempts(m_state.m_pools.in_flight());
        m_state.m_metrics.set_upstreams(m_state.m_members.size());
    }

    std::atomic<time_point> m_report_deadline = no_deadline;
    time_point m_next_scan{};
    held_up_since m_link_delay;  ///< as of the last scan
    time_point m_next_peers{};
    std::vector<std::string> m_peers;  ///< other entries; used only on the frame's thread
    known_entries m_known_entries;     ///< used only on the frame's thread
    time_point m_started_at = program::now();
    entry_state m_state;  ///< last, so that its users of the members above end first
};

entry_server::entry_server(program::program& frame, const json& settings)
    : m_implementation(std::make_unique<implementation>(frame, settings))
{
}

entry_server::~entry_server() = default;

absl::Status entry_server::start()
{
    return m_implementation->start();
}

program::program_hooks entry_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::entry
