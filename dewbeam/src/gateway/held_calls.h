/// \file
/// Calls that arrived before any configuration was known.
#pragma once

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "dewbeam/http"
#include "dewbeam/src/gateway/wire_format.h"

namespace dewbeam::gateway {

/// A call without a route yet.
struct held_call {
    http::request m_request;
    caller_call m_call;
    std::shared_ptr<http::exchange> m_answer;
    time_point m_arrival{};
    time_point m_deadline{};  ///< then it is refused
};

/// The calls, in the order of their arrival. Thread-safe. After a start the first configuration is
/// known within some 0.1 s of the first registry's; a refusal would cost each of these callers one
/// of its retries, and the time until it comes back.
class held_calls {
public:
    /// False where too many are held; then `call` is left as it was.
    bool add(held_call& call)
    {
        const std::lock_guard lock(m_mutex);
        if (m_calls.size() >= most_held) {
            return false;
        }
        m_calls.push_back(std::move(call));
        return true;
    }

    std::vector<held_call> take_all()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_calls, {});
    }

    /// Takes those whose deadline has come.
    std::vector<held_call> take_lapsed(time_point now)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<held_call> lapsed;
        std::vector<held_call> rest;
        for (auto& call : m_calls) {
            auto& place = call.m_deadline <= now ? lapsed : rest;
            place.push_back(std::move(call));
        }
        m_calls = std::move(rest);
        return lapsed;
    }

private:
    /// A gateway's share of 1,300 requests a second over three gateways, for the longest wait.
    static constexpr std::size_t most_held = 1000;

    std::mutex m_mutex;
    std::vector<held_call> m_calls;
};

}  // namespace dewbeam::gateway
