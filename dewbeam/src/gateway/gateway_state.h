/// \file
/// State that the modules of one gateway share. Each part has its own locking.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "dewbeam/program"
#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/gateway/gateway_metrics.h"
#include "dewbeam/src/gateway/gateway_request.h"
#include "dewbeam/src/gateway/good_runs.h"
#include "dewbeam/src/gateway/held_calls.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/gateway/upstream_probe.h"
#include "dewbeam/src/gateway/upstream_table.h"
#include "dewbeam/src/registrar/registry_feed.h"

namespace dewbeam::gateway {

/// The route configuration in force. Thread-safe; its revision never decreases.
class configuration_holder {
public:
    [[nodiscard]] std::shared_ptr<const routes::book> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_book;
    }

    /// Returns false if the current revision is the same or newer.
    bool adopt(std::shared_ptr<const routes::book> fresh)
    {
        const std::lock_guard lock(m_mutex);
        if (m_book && m_book->m_revision >= fresh->m_revision) {
            return false;
        }
        m_book = std::move(fresh);
        return true;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const routes::book> m_book;  ///< null until the first one is received
};

/// The requests in flight. Thread-safe.
class request_list {
public:
    void add(const request_pointer& request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.emplace(request->known().m_ticket, request);
    }

    /// Returns false if it was removed before.
    bool remove(const request_pointer& request)
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.erase(request->known().m_ticket) > 0;
    }

    [[nodiscard]] request_pointer find(dispatch::ticket id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_requests.find(id);
        return place == m_requests.end() ? nullptr : place->second;
    }

    [[nodiscard]] std::vector<request_pointer> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<request_pointer> result;
        result.reserve(m_requests.size());
        for (const auto& [id, request] : m_requests) {
            result.push_back(request);
        }
        return result;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

private:
    mutable std::mutex m_mutex;
    std::map<dispatch::ticket, request_pointer> m_requests;
};

/// This gateway's own observations of contents that may crash upstreams. What all gateways know of
/// them is in the feed and in the pools.
struct crash_tracker {
    explicit crash_tracker(boost::asio::io_context& context) : m_probe(context) {}

    std::mutex m_mutex;
    lost_attempt_tracker m_losses;           ///< guarded by m_mutex
    lost_attempt_tracker m_answered;         ///< the same; good runs once they are outlived
    lost_attempt_tracker m_reported_losses;  ///< the same; may be retracted
    std::map<upstream_incarnation, time_point> m_unresponsive_since;  ///< the same; recent ones
    std::set<upstream_incarnation> m_unreported_incarnations;  ///< the same; not yet reported
    std::set<upstream_incarnation> m_probed;  ///< the same; until they have outlived their losses
    good_runs m_good_runs;                    ///< the same
    good_runs m_good_part_runs;               ///< the same, of prompt parts
    std::size_t m_granted = 0;                ///< the same; number of exclusive grants
    bool m_has_no_registry = false;           ///< the same; no registry is reachable
    upstream_probe m_probe;
};

/// Bounds of the backoffs that upstreams ask for.
struct backoff_limits {
    time_span m_longest{};
    time_span m_unreadable{};  ///< for a value that can't be read
};

/// The parts of one gateway.
struct gateway_state {
    gateway_state(program::program& frame, const nlohmann::json& settings,
                  const wire_format& format, registrar::feed_handlers handlers);

    program::program& m_frame;
    nlohmann::json m_settings;
    const wire_format& m_format;
    incarnation m_incarnation;
    gateway_metrics m_metrics;
    configuration_holder m_book;
    entry::pool_table m_pools;
    crash_tracker m_crashes;
    upstream_table m_upstreams;
    std::mutex
        m_update_mutex;  ///< held while an upstream is read from the table and passed to the pools
    answer_limits m_answer_limits;
    backoff_limits m_backoff_limits;
    request_list m_requests;
    held_calls m_held;
    registrar::registry_feed m_feed;
    std::atomic<std::uint64_t> m_last_ticket = 0;
    std::mutex m_random_mutex;
    random_engine m_random;  ///< guarded by m_random_mutex
};

}  // namespace dewbeam::gateway
