#include "dewbeam/src/entry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dewbeam::entry {

namespace {

/// In seconds; the middle bounds surround the targets for the first token.
const prometheus::Histogram::BucketBoundaries latency_bounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.72, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0};

const char* outcome_of(const request_result& result)
{
    if (result.m_is_caller_disconnected) {
        return "caller_gone";
    }
    if (!result.m_code.empty()) {
        return "error";
    }
    constexpr int first_server_error = 500;
    return result.m_status >= first_server_error ? "upstream_error" : "ok";
}

}  // namespace

struct metrics::families {
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests =
        prometheus::BuildCounter()
            .Name("dewbeam_requests_total")
            .Help("Requests that ended, by selector, outcome and error code.")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_first_byte =
        prometheus::BuildHistogram()
            .Name("dewbeam_first_byte_seconds")
            .Help("Time from arrival to the first byte of an answer, by selector.")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_request_duration =
        prometheus::BuildHistogram()
            .Name("dewbeam_request_seconds")
            .Help("Time from arrival to the end of an answer, by selector.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_attempts = prometheus::BuildCounter()
                                                              .Name("dewbeam_attempts_total")
                                                              .Help("Attempts handed to agents.")
                                                              .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_failed_attempts =
        prometheus::BuildCounter()
            .Name("dewbeam_failed_attempts_total")
            .Help("Attempts that did not end whole, by end.")
            .Register(m_registry);
    prometheus::Family<prometheus::Gauge>& m_state =
        prometheus::BuildGauge()
            .Name("dewbeam_entry_state")
            .Help(
                "Requests in flight, attempts under way, upstreams known, configuration number, by "
                "name.")
            .Register(m_registry);
    prometheus::Counter& m_dispatched = m_attempts.Add({});
    prometheus::Gauge& m_in_flight = m_state.Add({{"name", "in_flight"}});
    prometheus::Gauge& m_attempts_now = m_state.Add({{"name", "attempts"}});
    prometheus::Gauge& m_number = m_state.Add({{"name", "configuration_number"}});
    prometheus::Gauge& m_upstreams = m_state.Add({{"name", "upstreams"}});
};

metrics::metrics() : m_families(std::make_unique<families>()) {}

metrics::~metrics() = default;

void metrics::request_ended(const std::string& selector, const request_result& result,
                            time_span first_byte_after, time_span total_time)
{
    auto& all = *m_families;
    all.m_requests
        .Add({{"selector", selector}, {"outcome", outcome_of(result)}, {"code", result.m_code}})
        .Increment();
    if (result.m_first_byte != time_point{}) {
        all.m_first_byte.Add({{"selector", selector}}, latency_bounds)
            .Observe(to_seconds(first_byte_after));
    }
    all.m_request_duration.Add({{"selector", selector}}, latency_bounds)
        .Observe(to_seconds(total_time));
}

void metrics::dispatched()
{
    m_families->m_dispatched.Increment();
}

void metrics::attempt_failed(const char* end)
{
    m_families->m_failed_attempts.Add({{"end", end}}).Increment();
}

void metrics::set_in_flight(std::size_t count)
{
    m_families->m_in_flight.Set(static_cast<double>(count));
}

void metrics::set_attempts(std::size_t count)
{
    m_families->m_attempts_now.Set(static_cast<double>(count));
}

void metrics::set_configuration_number(std::uint64_t number)
{
    m_families->m_number.Set(static_cast<double>(number));
}

void metrics::set_upstreams(std::size_t count)
{
    m_families->m_upstreams.Set(static_cast<double>(count));
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->m_registry.Collect());
}

}  // namespace dewbeam::entry
