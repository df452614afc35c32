/// \file
/// Asks an engine for its load report, again and again.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/http"

namespace dewbeam::engine {

/// What an engine said of itself.
struct load {
    bool m_is_reachable = false;
    std::string m_fault;             ///< why it is not reachable
    bool m_is_other_engine = false;  ///< why: an engine of another name answers
    std::string m_name;              ///< of the engine; empty: it does not say
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint64_t m_free_kv_tokens = 0;
    std::uint64_t m_total_kv_tokens = 0;
    time_span m_step_time = time_span::zero();
    double m_skew = 1.0;
    std::uint32_t m_slots = 0;
    std::vector<std::string> m_models;
    std::uint64_t m_incarnation = 0;  ///< of the engine's process; 0: it does not say
    time_point m_measured_at{};
};

/// Reads a report; an engine that leaves a figure out keeps the default.
absl::StatusOr<load> parse_load(const std::string& body);

/// How long one poll waits for a load report, far less than requests wait for their answers: an
/// engine that takes connections and says nothing must not keep what is sent there.
inline constexpr time_span report_limit = std::chrono::seconds(1);

/// Polls `GET /load`. Thread-safe.
class load_poller {
public:
    /// `client` gives up after `report_limit`. A report of an engine that is not `expected` counts
    /// as none; where that is empty, any engine will do.
    load_poller(http::client& client, std::string expected);

    /// Starts a poll where it is time and none is under way.
    void tick(time_point now);

    /// The newest report; not reachable once several polls in a row failed.
    [[nodiscard]] load latest() const;

private:
    struct shared;
    http::client& m_client;
    std::string m_expected;
    std::shared_ptr<shared> m_shared;
};

}  // namespace dewbeam::engine
