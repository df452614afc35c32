/// \file
/// Metrics of a gateway, for Prometheus. The number of label values is bounded: labels name no
/// workspaces, routes or upstreams.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dewbeam/base"
#include "dewbeam/src/gateway/answer_end.h"

namespace dewbeam::gateway {

/// Counters, gauges and histograms. Thread-safe.
class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;
    gateway_metrics(gateway_metrics&&) = delete;
    gateway_metrics& operator=(gateway_metrics&&) = delete;

    /// Counts a finished request by `outcome`: an error code, "answered", "upstream_failure",
    /// "cut" or "caller_gone".
    void request_ended(const std::string& outcome, time_span total_time);

    /// Records the time until the caller got the first byte.
    void first_byte(time_span after);

    /// Counts an answer that missed its objective; `reason` is the name used in the logs.
    void answered_late(const std::string& reason);

    /// Counts an attempt that started.
    void count_started_attempt();

    /// Counts an attempt beyond the first; `reason` is why the one before ended.
    void count_retry(const std::string& reason);

    /// Counts an attempt that ended; `reason` is the name used in the logs.
    void attempt_ended(const std::string& reason);

    /// Counts the answer to an attempt by its body framing, the end of its connection and the
    /// position at which it ended.
    void answer_ended(const answer_end& end);

    /// Counts what an answer said of its upstream: "backoff", "unreadable_backoff" or "leaving".
    void upstream_notice(const std::string& kind);

    /// Counts a suspected content; `reason` is the name used in the logs.
    void content_suspected(const std::string& reason);

    void set_in_flight(std::size_t count);
    void set_attempts(std::size_t count);
    void set_upstreams(std::size_t count);
    void set_drained_domains(std::size_t count);
    void set_cold_upstreams(std::size_t count);
    void set_closed_by_notices(std::size_t count);
    void set_registries(std::size_t count);
    /// For how long no registry has been heard.
    void set_registry_silence(time_span silence);
    /// Counts an attempt by a configuration that wasn't known to be the newest.
    void count_unconfirmed_attempt();
    void set_paced_groups(std::size_t count);
    void set_revision(std::uint64_t number);
    /// `age`: since a quorum of registries confirmed the revision in force; empty if none did.
    void set_confirmed_age(std::optional<time_span> age);
    void set_unreadable_messages(std::uint64_t count);
    void set_retries_sent(std::uint64_t count);
    void set_retries_left(double count);
    void set_retries_arriving(std::size_t count);
    void set_sharing_gateways(std::uint32_t count);
    /// What callers make the process hold.
    void set_caller_bytes(std::size_t count);

    /// The metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

}  // namespace dewbeam::gateway
