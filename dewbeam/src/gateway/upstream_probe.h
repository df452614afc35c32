/// \file
/// Checks whether a process listens at an upstream's address, by opening a connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "dewbeam/base"

namespace dewbeam::gateway {

enum class probe_result {
    accepted,   ///< a process listens
    refused,    ///< the host reports that no process listens, so the process has ended
    no_answer,  ///< no reply from the host, or the network failed
};

/// Runs one probe per address at a time; calls made meanwhile share its result. Thread-safe.
class upstream_probe {
public:
    explicit upstream_probe(boost::asio::io_context& context);
    ~upstream_probe();
    upstream_probe(const upstream_probe&) = delete;
    upstream_probe& operator=(const upstream_probe&) = delete;
    upstream_probe(upstream_probe&&) = delete;
    upstream_probe& operator=(upstream_probe&&) = delete;

    /// Probes an address. Calls back once, from one of the context's threads, within half a second.
    void ask(const endpoint& address, std::function<void(probe_result)> done);

    /// Calls back after `span`.
    void wait(time_span span, std::function<void()> done);

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

}  // namespace dewbeam::gateway
