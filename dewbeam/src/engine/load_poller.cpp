#include "dewbeam/src/engine/load_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dewbeam/src/engine/reach.h"
#include "dewbeam/src/program/program.h"

namespace dewbeam::engine {

namespace {

constexpr std::chrono::milliseconds poll_interval{200};

/// The report, where it is one of the engine that is wanted.
absl::StatusOr<load> read_report(const std::string& body, const std::string& expected)
{
    auto report = parse_load(body);
    if (report.ok() && !expected.empty() && report->m_name != expected) {
        return absl::FailedPreconditionError("another engine answers there: " + report->m_name);
    }
    return report;
}

poll_end end_of(const absl::Status& fault)
{
    if (absl::IsDeadlineExceeded(fault)) {
        return poll_end::silent;
    }
    return absl::IsFailedPrecondition(fault) ? poll_end::other_engine : poll_end::refused;
}

}  // namespace

struct load_poller::shared {
    std::mutex m_mutex;
    load m_latest;
    bool m_is_polling = false;
    reach m_reach;
    time_span m_host_delay{};  ///< the longest since the poll began
    time_point m_last_tick = no_deadline;
    time_point m_next_poll{};
    std::string m_body;

    void note_delay(time_point now)
    {
        if (m_last_tick < now) {
            m_host_delay = std::max(m_host_delay, now - m_last_tick);
        }
        m_last_tick = now;
    }

    void succeed(load fresh)
    {
        fresh.m_is_reachable = true;
        fresh.m_measured_at = program::now();
        m_latest = std::move(fresh);
        note_poll(m_reach, poll_end::answered, m_host_delay);
    }

    void fail(const absl::Status& fault)
    {
        const auto end = end_of(fault);
        note_poll(m_reach, end, m_host_delay);
        if (end == poll_end::silent) {
            log_event(
                log_level::warning, "load_poll_unanswered",
                {{"host_delay_ms", to_milliseconds(m_host_delay)}, {"doubt", m_reach.m_doubt}});
        }
        if (m_reach.m_is_lost) {
            m_latest.m_is_reachable = false;
            m_latest.m_fault = std::string(fault.message());
            m_latest.m_is_other_engine = end == poll_end::other_engine;
        }
    }
};

absl::StatusOr<load> parse_load(const std::string& body)
{
    const auto parsed = parse_json(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    if (!parsed->is_object()) {
        return absl::InvalidArgumentError("a load report must be a JSON object");
    }
    const auto& source = *parsed;
    try {
        load result;
        result.m_name = source.value("name", "");
        result.m_running = source.value("running", 0U);
        result.m_waiting = source.value("waiting", 0U);
        result.m_free_kv_tokens = source.value("free_kv_tokens", std::uint64_t{0});
        result.m_total_kv_tokens = source.value("total_kv_tokens", std::uint64_t{0});
        result.m_step_time = time_span(source.value("step_us", std::int64_t{0}));
        result.m_skew = source.value("skew", 1.0);
        result.m_slots = source.value("slots", 0U);
        result.m_models = source.value("models", std::vector<std::string>{});
        result.m_incarnation = source.value("incarnation", std::uint64_t{0});
        return result;
    }
    catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

load_poller::load_poller(http::client& client, std::string expected)
    : m_client(client), m_expected(std::move(expected)), m_shared(std::make_shared<shared>())
{
}

void load_poller::tick(time_point now)
{
    {
        const std::lock_guard lock(m_shared->m_mutex);
        m_shared->note_delay(now);
        if (m_shared->m_is_polling || now < m_shared->m_next_poll) {
            return;
        }
        m_shared->m_is_polling = true;
        m_shared->m_host_delay = time_span::zero();
        m_shared->m_next_poll = now + poll_interval;
        m_shared->m_body.clear();
    }
    http::client_handlers handlers;
    handlers.m_on_head = [](int, const http::fields&) {};
    handlers.m_on_data = [state = m_shared](std::string bytes) { state->m_body += bytes; };
    handlers.m_on_end = [state = m_shared, expected = m_expected](const absl::Status& result,
                                                                  http::progress) {
        const std::lock_guard lock(state->m_mutex);
        state->m_is_polling = false;
        auto fresh =
            result.ok() ? read_report(state->m_body, expected) : absl::StatusOr<load>(result);
        if (fresh.ok()) {
            state->succeed(*std::move(fresh));
        }
        else {
            state->fail(fresh.status());
        }
    };
    m_client.start({"GET", "/load", {}, {}}, std::move(handlers));
}

load load_poller::latest() const
{
    const std::lock_guard lock(m_shared->m_mutex);
    return m_shared->m_latest;
}

}  // namespace dewbeam::engine
