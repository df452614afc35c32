/// \file
/// Calls that wait for the first configuration or for a newer one that may admit them.
#pragma once

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "dewbeam/http"
#include "dewbeam/revisions"
#include "dewbeam/src/gateway/wire_format.h"

namespace dewbeam::gateway {

/// A call that has been neither admitted nor refused yet.
struct held_call {
    http::request m_request;
    caller_call m_call;
    std::shared_ptr<http::exchange> m_answer;
    time_point m_arrival{};
    time_point m_deadline{};  ///< the call is refused at this time
    /// The call is routed only by a configuration of at least this revision; 0 means any.
    revisions::revision_number m_required_revision;
    /// The call is routed again only once a quorum confirmed at this time or later that the
    /// configuration is the newest.
    time_point m_required_confirmation{};
};

/// The calls, in order of arrival. Thread-safe. After startup the first configuration is known
/// within about 0.1 s of the time that the first registry has it. A refusal would cost each of
/// these callers one of its retries and the wait until the retry.
class held_calls {
public:
    /// Returns false, leaving `call` unchanged, if too many calls are held.
    bool add(held_call& call)
    {
        const std::lock_guard lock(m_mutex);
        if (m_calls.size() >= max_held) {
            return false;
        }
        m_calls.push_back(std::move(call));
        return true;
    }

    [[nodiscard]] bool empty() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls.empty();
    }

    /// Removes and returns the calls that need no revision newer than `current` and no confirmation
    /// of it later than `confirmed_at`.
    std::vector<held_call> take_ready(revisions::revision_number current, time_point confirmed_at)
    {
        return take([&](const held_call& call) {
            return call.m_required_revision <= current &&
                   call.m_required_confirmation <= confirmed_at;
        });
    }

    /// Removes and returns the calls whose deadline has expired.
    std::vector<held_call> take_expired_calls(time_point now)
    {
        return take([&](const held_call& call) { return call.m_deadline <= now; });
    }

private:
    template <class Condition>
    std::vector<held_call> take(Condition is_taken)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<held_call> taken;
        std::vector<held_call> rest;
        for (auto& call : m_calls) {
            auto& place = is_taken(call) ? taken : rest;
            place.push_back(std::move(call));
        }
        m_calls = std::move(rest);
        return taken;
    }

    /// One of three gateways' share of 1,300 requests per second, times the maximum wait.
    static constexpr std::size_t max_held = 1000;

    mutable std::mutex m_mutex;
    std::vector<held_call> m_calls;
};

}  // namespace dewbeam::gateway
