/// \file
/// Asks whether something listens at an upstream's address, by opening a connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "dewbeam/base"

namespace dewbeam::gateway {

enum class probe_result {
    accepted,   ///< something listens
    refused,    ///< the host answers that nothing does: the process is over
    no_answer,  ///< the host, or the way there, says nothing
};

/// Questions to one address at a time: who asks meanwhile gets the same result. Thread-safe.
class upstream_probe {
public:
    explicit upstream_probe(boost::asio::io_context& context);
    ~upstream_probe();
    upstream_probe(const upstream_probe&) = delete;
    upstream_probe& operator=(const upstream_probe&) = delete;
    upstream_probe(upstream_probe&&) = delete;
    upstream_probe& operator=(upstream_probe&&) = delete;

    /// Calls back once, from one of the context's threads, within half a second.
    void ask(const endpoint& address, std::function<void(probe_result)> done);

    /// Calls back after a time.
    void wait(time_span span, std::function<void()> done);

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

}  // namespace dewbeam::gateway
