#include "dewbeam/src/ranks/rank_server.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "dewbeam/link"
#include "dewbeam/src/group/group_runner.h"
#include "dewbeam/src/ranks/count_message.h"
#include "dewbeam/src/ranks/count_relay.h"
#include "dewbeam/src/ranks/count_schedule.h"
#include "dewbeam/src/ranks/group_layout.h"
#include "dewbeam/src/ranks/group_timing.h"
#include "dewbeam/src/ranks/rank_balancer.h"
#include "dewbeam/src/ranks/rank_engine.h"
#include "dewbeam/src/registrar/addresses.h"
#include "dewbeam/src/registrar/registry_contact.h"
#include "dewbeam/src/registrar/registry_feed.h"

namespace dewbeam::ranks {

namespace {

using json = nlohmann::json;

constexpr time_span report_interval = std::chrono::milliseconds(400);
/// A rank agent needs the registries only for the other ranks' addresses and the configuration.
constexpr time_span watch_interval = std::chrono::milliseconds(500);
/// The agent reads only its engines' properties from the operator's configuration. A document of
/// hundreds of routes fills a narrow link for most of a second and may change several times a
/// second.
constexpr time_span document_interval = std::chrono::seconds(10);
/// Largest answer of an engine. The counts of a group of 256 ranks take less than a tenth of it.
constexpr std::uint64_t most_report_bytes = 1024UL * 1024;

http::client_options engine_client_options()
{
    http::client_options result;
    result.m_connect_limit = std::chrono::milliseconds(300);
    result.m_silence_limit = std::chrono::seconds(1);
    result.m_answer_limit = std::chrono::seconds(2);
    result.m_most_answer_bytes = most_report_bytes;
    result.m_most_idle = 2;
    result.m_idle_limit = std::chrono::seconds(5);
    return result;
}

registrar::feed_options feed_options_of(const json& settings, incarnation own)
{
    registrar::feed_options result;
    result.m_is_gateway = false;
    result.m_interval = watch_interval;
    result.m_document_interval = document_interval;
    result.m_preference_seed = own.value();
    result.m_host = setting_value<std::string>(settings, "/host");
    return result;
}

}  // namespace

std::vector<setting> rank_schema()
{
    auto schema = program::common_settings();
    const auto listeners = program::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const auto registries = registrar::registry_settings();
    schema.insert(schema.end(), registries.begin(), registries.end());
    constexpr std::int64_t min_link_rate = 1;
    constexpr std::int64_t max_link_rate = 1'000'000;
    const std::vector<setting> own{
        {"/engine/address", setting_kind::address, nullptr, "Address of this rank's engine."},
        {"/link/rate_mbps", setting_kind::number, 1000.0,
         "What this host's link carries (Mbit/s). Counts of experts take half of it at most.",
         min_link_rate, max_link_rate},
        {"/engine/checks_fencing", setting_kind::boolean, true,
         "Whether engines refuse orders with a fencing number lower than one already seen."},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class rank_server::implementation {
public:
    implementation(program::program& frame, const json& settings, const rank_format& format)
        : m_frame(frame),
          m_settings(settings),
          m_format(format),
          m_incarnation(program::new_incarnation()),
          m_address(
              parse_endpoint(setting_value<std::string>(settings, "/engine/address")).value()),
          m_reports(frame.context(), m_address, engine_client_options()),
          m_engine(make_engine(m_address)),
          m_feed(registrar::registry_addresses(settings), feed_options_of(settings, m_incarnation),
                 make_feed_handlers())
    {
    }

    absl::Status start()
    {
        auto node = program::start_node(m_settings, m_incarnation,
                                        {[this](const link::peer& from, wire::Envelope&& message) {
                                             on_message(from, message);
                                         },
                                         [this](const std::vector<link::peer>& lost_peers) {
                                             for (const auto& item : lost_peers) {
                                                 m_feed.lost(item);
                                             }
                                         }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        m_feed.set_link_address(m_node->address());
        m_is_started = true;
        return absl::OkStatus();
    }

    program::program_hooks hooks()
    {
        program::program_hooks result;
        result.m_is_ready = [] { return true; };
        result.m_in_flight = [] { return std::size_t{0}; };
        result.m_announce_leave = [] {};
        result.m_stop_accepting = [this] {
            if (const auto runner = current_runner()) {
                runner->stop();
            }
        };
        result.m_tick = [this](time_point now) { tick(now); };
        result.m_tick_interval = tick_interval;
        result.m_on_settings = [this](const json& settings) {
            m_feed.set_seeds(registrar::registry_addresses(settings), program::now());
        };
        return result;
    }

    ~implementation()
    {
        if (m_node) {
            m_node->stop();  // its thread uses members that are destroyed before it
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

private:
    registrar::feed_handlers make_feed_handlers()
    {
        registrar::feed_handlers result;
        result.m_send = [this](const std::string& address, wire::Envelope&& message) {
            m_node->send(address, std::move(message));
        };
        result.m_follow_log = [this](log_id log) { m_node->follow_log(log); };
        result.m_on_upstream = [this](const registry::record& changed) {
            const std::lock_guard lock(m_mutex);
            const auto& known = changed.m_announced;
            if (known.m_state == registry::upstream_state::gone) {
                m_upstreams.erase(known.m_name);
            }
            else {
                m_upstreams[known.m_name] = known;
            }
        };
        result.m_on_revision = [this](const revisions::revision& newer, const std::string&) {
            const std::lock_guard lock(m_mutex);
            m_configuration = newer.m_content;
            return true;
        };
        result.m_on_load = [](const std::string&, std::uint32_t) {};
        result.m_on_slowdown = [](const std::string&, double) {};
        result.m_on_loads_end = [] {};
        result.m_on_gateways = [](std::uint32_t) {};
        return result;
    }

    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!m_is_started) {
            return;
        }
        const auto now = program::now();
        if (message.has_watch_news()) {
            m_feed.take(from, message, now);
            return;
        }
        if (message.has_watch_invitation()) {
            m_feed.take_invitation(message, now);
            return;
        }
        if (message.has_group() && message.group().has_counts()) {
            take_counts(message.group(), now);
            return;
        }
        const auto runner = current_runner();
        if (runner && message.has_group()) {
            record_command();
            runner->on_message(message.group(), now);
        }
        else if (runner && message.has_group_bundle()) {
            record_command();
            runner->on_bundle(message.group_bundle(), now);
        }
    }

    void record_command()
    {
        const std::lock_guard lock(m_mutex);
        m_count_schedule.m_was_commanded = true;
    }

    [[nodiscard]] std::shared_ptr<group::group_runner> current_runner() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runner;
    }

    [[nodiscard]] std::shared_ptr<rank_balancer> current_balancer() const
    {
        const std::lock_guard lock(m_mutex);
        return m_balancer;
    }

    /// A connection to a rank's engine, used only for orders.
    std::shared_ptr<rank_engine> make_engine(const endpoint& address)
    {
        return std::make_shared<rank_engine>(m_frame.context(), address, engine_client_options(),
                                             m_format);
    }

    // Reports and counts of the engine.

    void request_report(time_point now)
    {
        if (m_is_report_requested.exchange(true)) {
            return;
        }
        m_next_report = now + report_interval;
        http::call(m_reports, m_format.m_report_call(),
                   [this](const absl::StatusOr<http::response>& got) {
                       m_is_report_requested = false;
                       const auto read = got.ok() ? m_format.m_read_report(got->m_body)
                                                  : absl::StatusOr<rank_report>(got.status());
                       const std::lock_guard lock(m_mutex);
                       m_report = read.ok() ? std::optional(*read) : std::nullopt;
                   });
    }

    void request_counts()
    {
        if (m_are_counts_requested.exchange(true)) {
            return;
        }
        http::call(m_reports, m_format.m_holding_call(),
                   [this](const absl::StatusOr<http::response>& got) {
                       auto holding = got.ok() ? m_format.m_read_holding(got->m_body)
                                               : absl::StatusOr<rank_holding>(got.status());
                       if (!holding.ok()) {
                           m_are_counts_requested = false;
                           return;
                       }
                       request_counts_with(*std::move(holding));
                   });
    }

    void request_counts_with(rank_holding holding)
    {
        http::call(m_reports, m_format.m_counts_call(),
                   [this, holding = std::move(holding)](const absl::StatusOr<http::response>& got) {
                       m_are_counts_requested = false;
                       const auto counts = got.ok() ? m_format.m_read_counts(got->m_body)
                                                    : absl::StatusOr<rank_counts>(got.status());
                       if (counts.ok() && counts->m_formation == holding.m_formation) {
                           send_counts(*counts, holding);
                       }
                   });
    }

    /// Sends this rank's counts to the coordinator.
    void send_counts(const rank_counts& counts, const rank_holding& holding)
    {
        const auto runner = current_runner();
        if (!runner) {
            return;
        }
        const auto now = program::now();
        const auto ranks = static_cast<std::uint32_t>(rank_count());
        const auto reporter_count = group::reporter_count(ranks);
        const bool has_relays = reporter_count < ranks;
        const auto routes = runner->routes_to_coordinator(now);
        wire::GroupMessage message;
        if (has_relays && !routes.m_has_coordinator) {
            set_counts_interval(report_parameters_for(ranks, 0, link_rate()).m_interval);
            *message.mutable_counts() =
                liveness_report(own_rank(), counts, holding, last_slowdown());
        }
        else {
            const auto parameters =
                report_parameters_for(reporter_count, counts.m_counts.size(), link_rate());
            set_counts_interval(parameters.m_interval);
            *message.mutable_counts() = to_wire(own_rank(), counts, holding, last_slowdown(),
                                                parameters.m_bits, m_own_reported);
        }
        for (const auto& rank_route : routes.m_routes) {
            send_to_rank(rank_route, message, now);
        }
    }

    /// Bandwidth of a rank's host in bytes per second.
    [[nodiscard]] byte_count link_rate() const
    {
        constexpr double bytes_of_mbit = 125'000;
        const auto rate = setting_value<double>(m_settings, "/link/rate_mbps") * bytes_of_mbit;
        return {static_cast<std::int64_t>(rate)};
    }

    void set_counts_interval(time_span interval)
    {
        const std::lock_guard lock(m_mutex);
        m_count_schedule.m_interval = interval;
    }

    [[nodiscard]] rank_id own_rank() const
    {
        const std::lock_guard lock(m_mutex);
        return m_layout.m_rank;
    }

    void send_to_rank(const group::route& rank_route, wire::GroupMessage message, time_point now)
    {
        std::string target;
        {
            const std::lock_guard lock(m_mutex);
            const auto through = rank_route.m_through;
            message.set_group(m_layout.m_group);
            message.set_from_rank(m_layout.m_rank.value());
            message.set_to_rank(rank_route.m_to.value());
            if (through != m_layout.m_rank && through.value() < m_layout.m_members.size()) {
                target = m_layout.m_members[through.value()];
            }
            else if (through != m_layout.m_rank) {
                return;  // the group has fewer ranks than there may be coordinators
            }
        }
        if (target.empty()) {
            take_counts(message, now);
            return;
        }
        wire::Envelope envelope;
        *envelope.mutable_group() = std::move(message);
        m_node->send(target, std::move(envelope));
    }

    void take_counts(const wire::GroupMessage& message, time_point now)
    {
        const auto balancer = current_balancer();
        const auto runner = current_runner();
        if (!balancer || !runner) {
            return;
        }
        const rank_id to(message.to_rank());
        if (to != own_rank()) {
            relay_counts(to, message.counts());
            forward_relayed_counts(now);
            return;
        }
        auto sample = from_wire(message.counts(), now);
        for (const auto& [rank, state] : sample.m_ranks) {
            runner->record_alive(rank, now);
        }
        const bool is_sign_of_life = message.counts().experts() == 0;
        if (!is_sign_of_life) {
            balancer->take(std::move(sample), now);
        }
    }

    void relay_counts(rank_id to, const wire::RankCounts& counts)
    {
        const std::lock_guard lock(m_mutex);
        if (!add(m_count_relay, to, counts, program::now())) {
            log_event(log_level::warning, "rank_counts_passed_over",
                      {{"counts", counts.experts()}, {"bytes", counts.packed().size()}});
        }
    }

    /// Forwards the sum of the block's counts if it is due.
    void forward_relayed_counts(time_point now)
    {
        std::optional<wire::RankCounts> sum;
        rank_id to;
        {
            const std::lock_guard lock(m_mutex);
            constexpr std::uint32_t bits_of_sum = 8;
            to = m_count_relay.m_to;
            const auto ranks = static_cast<std::uint32_t>(m_layout.m_members.size());
            const auto expected = group::block_followers(ranks, m_layout.m_rank, to);
            if (is_due(m_count_relay, expected, now)) {
                sum = take_sum(m_count_relay, bits_of_sum);
            }
        }
        if (sum) {
            wire::GroupMessage message;
            *message.mutable_counts() = *std::move(sum);
            send_to_rank({to, to}, std::move(message), now);
        }
    }

    // The group.

    /// The link port, which is the same for all rank agents.
    [[nodiscard]] std::uint16_t link_port() const
    {
        return parse_endpoint(setting_value<std::string>(m_settings, "/link/listen"))->m_port;
    }

    [[nodiscard]] std::optional<engine_facts> find_facts() const
    {
        const auto own =
            std::find_if(m_upstreams.begin(), m_upstreams.end(),
                         [&](const auto& item) { return item.second.m_address == m_address; });
        if (own == m_upstreams.end() || m_configuration.empty()) {
            return std::nullopt;
        }
        auto facts = m_format.m_read_facts(m_configuration, own->second.m_service);
        return facts.ok() ? std::optional(*facts) : std::nullopt;
    }

    [[nodiscard]] group::group_options options_of(const group_layout& at)
    {
        ++m_runners;
        auto options = group::make_group_options(
            at.m_group, at.m_members, at.m_rank, incarnation(m_incarnation.value() + m_runners),
            setting_value<bool>(m_settings, "/engine/checks_fencing"));
        set_timing(options);
        if (!options.m_participant.m_checks_fencing) {
            return options;  // engines couldn't tell a substitute's orders from an agent's late
                             // ones
        }
        options.m_make_port =
            [this, engines = at.m_engines](rank_id rank) -> std::shared_ptr<group::engine_port> {
            const std::lock_guard lock(m_mutex);
            if (!m_report || !m_report->m_is_open) {
                return nullptr;
            }
            return make_engine(engines[rank.value()]);
        };
        return options;
    }

    /// Joins the group as it is now. A changed layout replaces the runner and the balancer.
    void follow_group(time_point now)
    {
        std::shared_ptr<group::group_runner> started;
        std::shared_ptr<group::group_runner> previous;
        {
            const std::lock_guard lock(m_mutex);
            const auto at =
                m_report ? find_layout(*m_report, m_upstreams, link_port()) : std::nullopt;
            const auto facts = at && (*at != m_layout || !m_runner) ? find_facts() : std::nullopt;
            if (!facts) {
                return;
            }
            previous = std::exchange(m_runner, nullptr);
            m_layout = *at;
            group::group_hooks hooks;
            hooks.m_on_change = [this](const group_map::ended_change& change) {
                if (const auto balancer = current_balancer()) {
                    balancer->on_change(change, program::now());
                }
            };
            started = std::make_shared<group::group_runner>(options_of(*at), std::move(hooks),
                                                            m_engine, now);
            m_balancer = std::make_shared<rank_balancer>(
                *facts, static_cast<std::uint32_t>(at->m_members.size()),
                [runner = std::weak_ptr(started)](const std::string& content) {
                    const auto subject = runner.lock();
                    return subject && subject->propose(content, program::now());
                });
            m_runner = started;
            m_count_relay = {};
            log_event(log_level::info, "group_joined",
                      {{"group", at->m_group},
                       {"rank", at->m_rank.value()},
                       {"ranks", at->m_members.size()}});
        }
        if (previous) {
            previous->stop();
        }
        started->start(*m_node, now);
    }

    [[nodiscard]] std::size_t rank_count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_layout.m_members.size();
    }

    [[nodiscard]] double last_slowdown() const
    {
        const std::lock_guard lock(m_mutex);
        return m_report ? m_report->m_pace : 1.0;
    }

    /// This rank's slowdown; empty if it isn't slow.
    [[nodiscard]] registrar::slowdown_list own_slowdown() const
    {
        constexpr double usual = 1.0;
        const std::lock_guard lock(m_mutex);
        if (!m_report || m_report->m_pace <= usual) {
            return {};
        }
        for (const auto& [name, known] : m_upstreams) {
            if (known.m_address == m_address) {
                return {{name.value(), m_report->m_pace}};
            }
        }
        return {};
    }

    [[nodiscard]] bool is_time_to_count(time_point now)
    {
        const std::lock_guard lock(m_mutex);
        return take_turn(m_count_schedule, now);
    }

    void tick(time_point now)
    {
        m_feed.tick({}, own_slowdown(), now);
        report_contact(m_contact, m_feed, now);
        if (now >= m_next_report) {
            request_report(now);
            follow_group(now);
        }
        if (is_time_to_count(now)) {
            request_counts();
        }
        forward_relayed_counts(now);
        const auto runner = current_runner();
        if (!runner) {
            return;
        }
        runner->tick(now);
        bool is_open = false;
        {
            const std::lock_guard lock(m_mutex);
            is_open = m_report && m_report->m_is_open;
        }
        const bool may_plan = is_open && runner->current_phase() == group_map::phase::settled;
        current_balancer()->tick(may_plan, now);
    }

    program::program& m_frame;
    json m_settings;
    const rank_format& m_format;
    incarnation m_incarnation;
    endpoint m_address;
    http::client m_reports;
    std::shared_ptr<rank_engine> m_engine;
    registrar::registry_feed m_feed;
    std::atomic<bool> m_is_started = false;  ///< the link node exists
    std::atomic<bool> m_is_report_requested = false;
    std::atomic<bool> m_are_counts_requested = false;
    time_point m_next_report{};             ///< used only on the frame's thread
    registrar::registry_contact m_contact;  ///< likewise
    std::uint64_t m_runners = 0;            ///< likewise
    reported_counts m_own_reported;         ///< used by one request for counts at a time
    mutable std::mutex m_mutex;
    std::map<upstream_id, registry::announcement> m_upstreams;  ///< under m_mutex, like all below
    std::string m_configuration;
    std::optional<rank_report> m_report;
    group_layout m_layout;
    std::shared_ptr<group::group_runner> m_runner;
    std::shared_ptr<rank_balancer> m_balancer;
    count_schedule m_count_schedule;
    count_relay m_count_relay;           ///< other ranks' counts on their way to the coordinator
    std::unique_ptr<link::node> m_node;  ///< set at the start
};

rank_server::rank_server(program::program& frame, const json& settings, const rank_format& format)
    : m_implementation(std::make_unique<implementation>(frame, settings, format))
{
}

rank_server::~rank_server() = default;

absl::Status rank_server::start()
{
    return m_implementation->start();
}

program::program_hooks rank_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::ranks
