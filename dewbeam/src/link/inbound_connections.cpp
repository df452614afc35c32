#include "dewbeam/src/link/inbound_connections.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <fstream>
#include <optional>

namespace dewbeam::link::internal {

namespace {

constexpr const char* events_address = "inproc://inbound-connections";
/// A connection that holds less is small.
constexpr std::size_t small_bytes = 64UL * 1024;
/// libzmq keeps 64 bytes for a frame, of which an empty one takes two on the wire.
constexpr std::size_t most_memory_per_byte = 32;
/// The process may grow by this part of the bytes allowed while strangers send small frames.
constexpr std::size_t growth_part = 4;
/// What strangers may hold without a look at the memory of the process.
constexpr std::size_t least_harmless_bytes = 512UL * 1024;
constexpr time_span look_interval = std::chrono::milliseconds(250);
/// The same while a connection is new, or isn't small.
constexpr time_span busy_look_interval = std::chrono::milliseconds(5);
constexpr time_span new_connection_age = std::chrono::milliseconds(100);
constexpr time_span log_interval = std::chrono::seconds(1);

using bound_port = int (*)(int, sockaddr*, socklen_t*);

/// The port of one end of a connection; 0 where it is over.
std::uint16_t port_of(int descriptor, bound_port end)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (end(descriptor, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
        return 0;
    }
    if (storage.ss_family == AF_INET) {
        return ntohs(reinterpret_cast<const sockaddr_in&>(storage).sin_port);
    }
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6&>(storage).sin6_port);
    }
    return 0;
}

/// Bytes that have arrived, whether they were read or not.
std::optional<std::uint64_t> received_bytes(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

/// Resets a connection that another thread reads, which also drops what it hasn't read yet.
void abort_connection(int descriptor)
{
    sockaddr nobody{};
    nobody.sa_family = AF_UNSPEC;
    if (::connect(descriptor, &nobody, sizeof nobody) != 0) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

/// Memory of the process, without what was swapped out; 0 where the system doesn't tell.
std::size_t resident_bytes()
{
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream statistics("/proc/self/statm");
    statistics >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// What closing a connection would free; nothing where it isn't meant, or is closing.
std::size_t freeable_bytes(const inbound_connection& open, holders which)
{
    const bool is_left_out = open.m_is_closing || (which == holders::strangers && open.m_is_known);
    return is_left_out ? 0 : open.m_held_bytes;
}

}  // namespace

std::uint64_t wire_bytes(std::size_t size, bool has_keys)
{
    constexpr std::uint64_t longest_short_frame = 255;
    constexpr std::uint64_t short_frame_header = 2;
    constexpr std::uint64_t long_frame_header = 9;
    constexpr std::uint64_t curve_command = 8 + 8 + 16 + 1;  // name, nonce, box, flags
    const std::uint64_t body = size + (has_keys ? curve_command : 0);
    return body + (body > longest_short_frame ? long_frame_header : short_frame_header);
}

inbound_connections::inbound_connections(zmq::context_t& context, zmq::socket_t& listener,
                                         inbound_limits limits, bool has_keys)
    : m_listener(listener),
      m_events(context, zmq::socket_type::pair),
      m_limits(limits),
      m_has_keys(has_keys)
{
    m_events.set(zmq::sockopt::rcvhwm, 0);  // libzmq's thread would wait where the queue is full
    const int result = zmq_socket_monitor(listener.handle(), events_address,
                                          ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED);
    require(result == 0, "a listener is watched once");
    m_events.connect(events_address);
}

inbound_connections::~inbound_connections()
{
    zmq_socket_monitor(m_listener.handle(), nullptr, 0);
}

void inbound_connections::take_events(time_point now)
{
    struct event {
        std::uint16_t m_kind = 0;
        std::int32_t m_descriptor = 0;
    };
    zmq::message_t head;
    zmq::message_t address;
    while (m_events.recv(head, zmq::recv_flags::dontwait) &&
           m_events.recv(address, zmq::recv_flags::dontwait)) {
        event told;
        const auto* bytes = static_cast<const char*>(head.data());
        std::memcpy(&told.m_kind, bytes, sizeof told.m_kind);
        std::memcpy(&told.m_descriptor, bytes + sizeof told.m_kind, sizeof told.m_descriptor);
        if (told.m_kind == ZMQ_EVENT_ACCEPTED) {
            note_opened(told.m_descriptor, now);
        }
        else {
            m_open.erase(told.m_descriptor);
        }
    }
}

void inbound_connections::note_opened(int descriptor, time_point now)
{
    auto& open = m_open[descriptor];
    open = {};
    open.m_peer_port = port_of(descriptor, ::getpeername);
    open.m_opened_at = now;
    m_next_look = now;
    if (m_port == 0) {
        m_port = port_of(descriptor, ::getsockname);
    }
    if (m_open.size() > m_limits.m_most_connections) {
        close(descriptor, open, "too_many", now);
    }
}

inbound_connection* inbound_connections::find(zmq::message_t& frame)
{
    const auto place = m_open.find(zmq_msg_get(frame.handle(), ZMQ_SRCFD));
    return place == m_open.end() ? nullptr : &place->second;
}

void inbound_connections::note_read(zmq::message_t& frame)
{
    if (auto* const open = find(frame)) {
        open->m_read_bytes += wire_bytes(frame.size(), m_has_keys);
    }
}

void inbound_connections::note_known(zmq::message_t& frame)
{
    if (auto* const open = find(frame)) {
        open->m_is_known = true;
    }
}

void inbound_connections::look(time_point now)
{
    measure(now);
    enforce(now);
}

/// Small connections are looked at less often.
void inbound_connections::measure(time_point now)
{
    const bool is_look_at_all = m_next_look_at_all <= now;
    if (is_look_at_all) {
        m_next_look_at_all = now + look_interval;
    }
    bool is_any_busy = false;
    for (auto& [descriptor, open] : m_open) {
        const bool is_new = now < open.m_opened_at + new_connection_age;
        if (is_look_at_all || is_new || open.m_held_bytes > small_bytes) {
            const auto received = received_bytes(descriptor).value_or(0);
            open.m_held_bytes = received > open.m_read_bytes ? received - open.m_read_bytes : 0;
        }
        is_any_busy |= is_new || open.m_held_bytes > small_bytes;
    }
    m_next_look = m_open.empty() ? time_point::max()
                  : is_any_busy  ? now + busy_look_interval
                                 : m_next_look_at_all;
}

void inbound_connections::enforce(time_point now)
{
    while (held_by(holders::all) > m_limits.m_most_held_bytes) {
        close_largest(holders::all, now);
    }
    // Many small frames take more memory than their bytes, which only the process as a whole shows.
    const auto most_growth = m_limits.m_most_held_bytes / growth_part;
    const auto harmless = std::max(most_growth / most_memory_per_byte, least_harmless_bytes);
    const auto held = held_by(holders::strangers);
    if (held <= harmless) {
        m_calm_resident_bytes = resident_bytes();
    }
    else if (resident_bytes() > m_calm_resident_bytes + std::max(most_growth, 2 * held)) {
        while (held_by(holders::strangers) > harmless) {
            close_largest(holders::strangers, now);
        }
    }
}

std::size_t inbound_connections::held_by(holders which) const
{
    std::size_t result = 0;
    for (const auto& [descriptor, open] : m_open) {
        result += freeable_bytes(open, which);
    }
    return result;
}

void inbound_connections::close_largest(holders which, time_point now)
{
    const auto largest =
        std::max_element(m_open.begin(), m_open.end(), [&](const auto& a, const auto& b) {
            return freeable_bytes(a.second, which) < freeable_bytes(b.second, which);
        });
    close(largest->first, largest->second, "memory", now);
}

void inbound_connections::close(int descriptor, inbound_connection& open, const char* reason,
                                time_point now)
{
    open.m_is_closing = true;
    ++m_closed;
    if (now >= m_next_log) {
        m_next_log = now + log_interval;
        log_event(log_level::warning, "link_connection_closed",
                  {{"reason", reason},
                   {"held_bytes", open.m_held_bytes},
                   {"connections", m_open.size()},
                   {"closed", m_closed}});
    }
    // libzmq may have closed it meanwhile, and the descriptor be another one's.
    if (port_of(descriptor, ::getsockname) == m_port &&
        port_of(descriptor, ::getpeername) == open.m_peer_port) {
        abort_connection(descriptor);
    }
}

}  // namespace dewbeam::link::internal
