/// \file
/// Metrics of an entry, for Prometheus.
///
/// The number of label values is bounded: there are labels for selectors, never for workspaces.
#pragma once

#include <memory>
#include <string>

#include "dewbeam/base"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// Counters, gauges and histograms. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Counts a request that ended.
    void request_ended(const std::string& selector, const request_result& result,
                       time_span first_byte_after, time_span total_time);

    /// Counts an attempt that was dispatched to an agent.
    void dispatched();

    /// Counts an attempt that did not complete.
    void attempt_failed(const char* end);

    void set_in_flight(std::size_t count);
    void set_attempts(std::size_t count);
    void set_configuration_number(std::uint64_t number);
    void set_upstreams(std::size_t count);

    /// The Prometheus text exposition format.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

}  // namespace dewbeam::entry
