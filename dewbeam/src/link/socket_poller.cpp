#include "dewbeam/src/link/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace dewbeam::link::internal {

namespace {

constexpr int most_events_a_turn = 64;

}  // namespace

socket_poller::socket_poller() : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    require(m_epoll >= 0, "the process has no file descriptor left for a link");
}

socket_poller::~socket_poller()
{
    ::close(m_epoll);
}

void socket_poller::add(zmq::socket_t& socket, poll_key key)
{
    add(socket.get(zmq::sockopt::fd), key);
    mark(key);
}

void socket_poller::add(int descriptor, poll_key key)
{
    epoll_event wanted{};
    wanted.events = EPOLLIN;
    wanted.data.u64 = static_cast<std::uint64_t>(key);
    const int result = ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &wanted);
    require(result == 0, "a descriptor is added to a poller once, while it is open");
}

void socket_poller::remove(zmq::socket_t& socket, poll_key key)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket.get(zmq::sockopt::fd), nullptr);
    m_marked.erase(key);
}

void socket_poller::mark(poll_key key)
{
    m_marked.insert(key);
}

std::vector<poll_key> socket_poller::wait(time_span longest)
{
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
    std::array<epoll_event, most_events_a_turn> events{};
    const int count = ::epoll_wait(m_epoll, events.data(), most_events_a_turn,
                                   m_marked.empty() ? static_cast<int>(limit) : 0);
    for (int i = 0; i < count; ++i) {
        m_marked.insert(static_cast<poll_key>(events.at(static_cast<std::size_t>(i)).data.u64));
    }
    std::vector<poll_key> result(m_marked.begin(), m_marked.end());
    m_marked.clear();
    return result;
}

}  // namespace dewbeam::link::internal
