/// \file
/// Waits for any of many ZeroMQ sockets at a cost that grows with the sockets that have news alone.
///
/// The descriptor of a ZeroMQ socket tells of a change, not of a state: whatever is done with the
/// socket may take the sign of a waiting message off it. A socket that was written to must
/// therefore be named by `mark`, and one that is named by `wait` read until it has no more, or
/// marked again.
#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>
#include <zmq.hpp>

#include "dewbeam/base"

namespace dewbeam::link::internal {

/// Name of a socket or descriptor in a poller; the caller gives it.
enum class poll_key : std::uint64_t {};

/// The poller. Used by one thread.
class socket_poller {
public:
    socket_poller();
    ~socket_poller();
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;
    socket_poller(socket_poller&&) = delete;
    socket_poller& operator=(socket_poller&&) = delete;

    void add(zmq::socket_t& socket, poll_key key);
    void add(int descriptor, poll_key key);

    /// To be called before the socket is closed.
    void remove(zmq::socket_t& socket, poll_key key);

    /// The next `wait` names `key`, whatever its descriptor says.
    void mark(poll_key key);

    /// Keys of what has news or was marked; none after `longest`, or after a signal.
    std::vector<poll_key> wait(time_span longest);

private:
    int m_epoll;
    std::unordered_set<poll_key> m_marked;
};

}  // namespace dewbeam::link::internal
