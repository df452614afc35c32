/// \file
/// Metrics of a gateway, for Prometheus. Labels are bounded: neither workspaces, routes nor
/// upstreams are named.
#pragma once

#include <memory>
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

    /// A request was answered: by its status class, `cut` or `caller_gone`.
    void request_ended(const std::string& outcome, time_span whole_after);

    /// The caller got the first byte.
    void first_byte(time_span after);

    /// An answer missed its objective; `reason` is the field term of the logs.
    void answered_late(const std::string& reason);

    /// An attempt began.
    void attempt_begun();

    /// An attempt ended; `reason` is the field term of the logs.
    void attempt_ended(const std::string& reason);

    /// An attempt's answer ended, by its frame, its connection's end and its place.
    void answer_ended(const answer_end& end);

    /// A content was suspected; `reason` is the field term of the logs.
    void content_suspected(const std::string& reason);

    void set_in_flight(std::size_t count);
    void set_attempts(std::size_t count);
    void set_upstreams(std::size_t count);
    void set_registries(std::size_t count);
    void set_revision(std::uint64_t number);

    /// The text form that Prometheus reads.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

}  // namespace dewbeam::gateway
