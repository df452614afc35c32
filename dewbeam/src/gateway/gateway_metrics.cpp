#include "dewbeam/src/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dewbeam::gateway {

namespace {

/// In seconds; they surround the latency objectives of plain calls (0.1) and of first events of
/// streams (0.4 to 0.72).
const prometheus::Histogram::BucketBoundaries latency_bounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.72, 1.0, 2.0, 4.0, 8.0};

}  // namespace

struct gateway_metrics::families {
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_requests_total")
            .Help("Requests that ended, by outcome.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_late_answers =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_late_answers_total")
            .Help("Answers that missed their latency or pause objective, by reason.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_ended_attempts =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_attempts_total")
            .Help("Attempts that ended, by reason.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_ended_answers =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_answers_total")
            .Help(
                "Answers of attempts, by what marks their end, how their connection ended and "
                "where they stood then.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_notices =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_upstream_notices_total")
            .Help("Answers that asked for a backoff or said that their upstream leaves, by kind.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_suspected_contents =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_suspected_contents_total")
            .Help("Contents under which an upstream ended, by how that was found.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_begun_attempts =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_attempts_begun_total")
            .Help("Attempts that were sent to upstreams.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_retries =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_retries_total")
            .Help("Attempts beyond the first of a request, by why the one before ended.")
            .Register(m_registry);
    prometheus::Family<prometheus::Counter>& m_unconfirmed_attempts =
        prometheus::BuildCounter()
            .Name("dewbeam_gateway_unconfirmed_attempts_total")
            .Help("Attempts by a configuration that was not known to be the newest.")
            .Register(m_registry);
    prometheus::Family<prometheus::Histogram>& m_latency =
        prometheus::BuildHistogram()
            .Name("dewbeam_gateway_seconds")
            .Help("Time from arrival to the first byte and to the end of an answer.")
            .Register(m_registry);
    prometheus::Family<prometheus::Gauge>& m_state =
        prometheus::BuildGauge()
            .Name("dewbeam_gateway_state")
            .Help(
                "Requests in flight, attempts under way, upstreams known, cold upstreams, "
                "upstreams "
                "closed by what they said in answers, drained failure domains, registries heard, "
                "groups whose prompts are paced, "
                "revision in force, seconds since a quorum of registries confirmed it (-1: never), "
                "messages of registries dropped as unreadable, retries sent "
                "and left, gateways that share the retry budget, bytes held for callers.")
            .Register(m_registry);
    prometheus::Counter& m_begun = m_begun_attempts.Add({});
    prometheus::Counter& m_unconfirmed = m_unconfirmed_attempts.Add({});
    prometheus::Histogram& m_first_byte = m_latency.Add({{"until", "first_byte"}}, latency_bounds);
    prometheus::Histogram& m_total_latency = m_latency.Add({{"until", "end"}}, latency_bounds);
    prometheus::Gauge& m_in_flight = m_state.Add({{"name", "in_flight"}});
    prometheus::Gauge& m_attempts_now = m_state.Add({{"name", "attempts"}});
    prometheus::Gauge& m_upstreams = m_state.Add({{"name", "upstreams"}});
    prometheus::Gauge& m_drained_domains = m_state.Add({{"name", "drained_domains"}});
    prometheus::Gauge& m_cold_upstreams = m_state.Add({{"name", "cold_upstreams"}});
    prometheus::Gauge& m_closed_by_notices = m_state.Add({{"name", "closed_by_notices"}});
    prometheus::Gauge& m_registries = m_state.Add({{"name", "registries"}});
    prometheus::Gauge& m_registry_silence = m_state.Add({{"name", "registry_silence_seconds"}});
    prometheus::Gauge& m_paced_groups = m_state.Add({{"name", "paced_groups"}});
    prometheus::Gauge& m_revision = m_state.Add({{"name", "revision"}});
    prometheus::Gauge& m_confirmed_seconds = m_state.Add({{"name", "confirmed_seconds"}});
    prometheus::Gauge& m_unreadable_messages = m_state.Add({{"name", "unreadable_messages"}});
    prometheus::Gauge& m_retries_sent = m_state.Add({{"name", "retries_sent"}});
    prometheus::Gauge& m_retries_left = m_state.Add({{"name", "retries_left"}});
    prometheus::Gauge& m_retries_arriving = m_state.Add({{"name", "retries_arriving"}});
    prometheus::Gauge& m_sharing_gateways = m_state.Add({{"name", "sharing_gateways"}});
    prometheus::Gauge& m_caller_bytes = m_state.Add({{"name", "caller_bytes"}});
};

gateway_metrics::gateway_metrics() : m_families(std::make_unique<families>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::request_ended(const std::string& outcome, time_span total_time)
{
    m_families->m_requests.Add({{"outcome", outcome}}).Increment();
    m_families->m_total_latency.Observe(to_seconds(total_time));
}

void gateway_metrics::first_byte(time_span after)
{
    m_families->m_first_byte.Observe(to_seconds(after));
}

void gateway_metrics::answered_late(const std::string& reason)
{
    m_families->m_late_answers.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::count_started_attempt()
{
    m_families->m_begun.Increment();
}

void gateway_metrics::count_retry(const std::string& reason)
{
    m_families->m_retries.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::attempt_ended(const std::string& reason)
{
    m_families->m_ended_attempts.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::answer_ended(const answer_end& end)
{
    m_families->m_ended_answers
        .Add({{"frame", frame_name(end)},
              {"connection", to_string(end.m_connection)},
              {"place", place_name(end)}})
        .Increment();
}

void gateway_metrics::upstream_notice(const std::string& kind)
{
    m_families->m_notices.Add({{"kind", kind}}).Increment();
}

void gateway_metrics::content_suspected(const std::string& reason)
{
    m_families->m_suspected_contents.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::set_in_flight(std::size_t count)
{
    m_families->m_in_flight.Set(static_cast<double>(count));
}

void gateway_metrics::set_attempts(std::size_t count)
{
    m_families->m_attempts_now.Set(static_cast<double>(count));
}

void gateway_metrics::set_upstreams(std::size_t count)
{
    m_families->m_upstreams.Set(static_cast<double>(count));
}

void gateway_metrics::set_drained_domains(std::size_t count)
{
    m_families->m_drained_domains.Set(static_cast<double>(count));
}

void gateway_metrics::set_cold_upstreams(std::size_t count)
{
    m_families->m_cold_upstreams.Set(static_cast<double>(count));
}

void gateway_metrics::set_paced_groups(std::size_t count)
{
    m_families->m_paced_groups.Set(static_cast<double>(count));
}

void gateway_metrics::set_closed_by_notices(std::size_t count)
{
    m_families->m_closed_by_notices.Set(static_cast<double>(count));
}

void gateway_metrics::set_registries(std::size_t count)
{
    m_families->m_registries.Set(static_cast<double>(count));
}

void gateway_metrics::set_registry_silence(time_span silence)
{
    m_families->m_registry_silence.Set(to_seconds(silence));
}

void gateway_metrics::count_unconfirmed_attempt()
{
    m_families->m_unconfirmed.Increment();
}

void gateway_metrics::set_revision(std::uint64_t number)
{
    m_families->m_revision.Set(static_cast<double>(number));
}

void gateway_metrics::set_confirmed_age(std::optional<time_span> age)
{
    m_families->m_confirmed_seconds.Set(age ? to_seconds(*age) : -1.0);
}

void gateway_metrics::set_unreadable_messages(std::uint64_t count)
{
    m_families->m_unreadable_messages.Set(static_cast<double>(count));
}

void gateway_metrics::set_retries_sent(std::uint64_t count)
{
    m_families->m_retries_sent.Set(static_cast<double>(count));
}

void gateway_metrics::set_retries_left(double count)
{
    m_families->m_retries_left.Set(count);
}

void gateway_metrics::set_retries_arriving(std::size_t count)
{
    m_families->m_retries_arriving.Set(static_cast<double>(count));
}

void gateway_metrics::set_sharing_gateways(std::uint32_t count)
{
    m_families->m_sharing_gateways.Set(count);
}

void gateway_metrics::set_caller_bytes(std::size_t count)
{
    m_families->m_caller_bytes.Set(static_cast<double>(count));
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->m_registry.Collect());
}

}  // namespace dewbeam::gateway
