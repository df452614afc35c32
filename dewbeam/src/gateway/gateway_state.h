/// \file
/// What the modules of one gateway share. Each part guards itself.
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
#include "dewbeam/src/gateway/loss_watch.h"
#include "dewbeam/src/gateway/upstream_probe.h"
#include "dewbeam/src/gateway/upstream_table.h"
#include "dewbeam/src/registrar/registry_feed.h"

namespace dewbeam::gateway {

/// The route book in force. Thread-safe; never goes back.
class book_holder {
public:
    [[nodiscard]] std::shared_ptr<const routes::book> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_book;
    }

    /// False where the one held is as new.
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
    std::shared_ptr<const routes::book> m_book;  ///< null until one is known
};

/// The requests in flight. Thread-safe.
class request_list {
public:
    void add(const request_pointer& request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.emplace(request->known().m_ticket, request);
    }

    /// False where it was taken away before.
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

/// What this gateway saw itself of contents that may end upstreams. What all gateways know of them
/// is in the feed and in the pools.
struct crash_watch {
    explicit crash_watch(boost::asio::io_context& context) : m_probe(context) {}

    std::mutex m_mutex;
    loss_watch m_losses;                           ///< under m_mutex
    loss_watch m_judged;                           ///< the same; may have to be taken back
    std::map<upstream_life, time_point> m_silent;  ///< the same; since when, for some seconds
    std::set<upstream_life> m_to_judge;            ///< the same; those of them not yet judged
    good_runs m_good_runs;                         ///< the same
    std::size_t m_granted = 0;                     ///< the same; turns
    bool m_is_cut_off = false;                     ///< the same
    upstream_probe m_probe;
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
    book_holder m_book;
    entry::pool_table m_pools;
    crash_watch m_crashes;
    upstream_table m_upstreams;
    std::mutex
        m_update_mutex;  ///< held while an upstream is read from the table and shown to pools
    request_list m_requests;
    held_calls m_held;
    registrar::registry_feed m_feed;
    std::atomic<std::uint64_t> m_last_ticket = 0;
    std::mutex m_random_mutex;
    random_engine m_random;  ///< under m_random_mutex
};

}  // namespace dewbeam::gateway
