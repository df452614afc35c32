/// \file
/// The connections that others opened to a node, and what they make this process hold: messages
/// that aren't whole yet, and those that it hasn't read. Internal to the module.
///
/// libzmq bounds a frame, and the messages that wait in a queue by their number. The parts of one
/// message, and the sum over all connections, it doesn't bound.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

#include "dewbeam/base"

namespace dewbeam::link::internal {

/// A connection that another process opened.
struct inbound_connection {
    std::uint16_t m_peer_port = 0;
    std::uint64_t m_read_bytes = 0;  ///< on the wire, of frames that were read
    std::size_t m_held_bytes = 0;    ///< at the last look: came and wasn't read
    time_point m_opened_at{};
    bool m_is_known = false;    ///< a message of an own process was read from it
    bool m_is_closing = false;  ///< it was shut down
};

/// Which connections are meant.
enum class holders {
    all,
    strangers,  ///< those on which no own process has spoken
};

/// Limits of all inbound connections together.
struct inbound_limits {
    std::size_t m_most_held_bytes = 0;
    std::size_t m_most_connections = 0;
};

/// Closes connections over the limits: those that hold most, and new ones beyond the number. Used
/// by the thread that owns the listening socket.
class inbound_connections {
public:
    /// Watches `listener`, which must outlive this and isn't bound yet.
    inbound_connections(zmq::context_t& context, zmq::socket_t& listener, inbound_limits limits,
                        bool has_keys);
    ~inbound_connections();
    inbound_connections(const inbound_connections&) = delete;
    inbound_connections& operator=(const inbound_connections&) = delete;
    inbound_connections(inbound_connections&&) = delete;
    inbound_connections& operator=(inbound_connections&&) = delete;

    /// Has a message when connections were opened or closed: `take_events` reads it.
    [[nodiscard]] zmq::socket_t& events() { return m_events; }

    void take_events(time_point now);

    /// Counts a frame that was read from the listener.
    void note_read(zmq::message_t& frame);

    /// The frame is a message of an own process.
    void note_known(zmq::message_t& frame);

    /// Looks at what the connections hold, and closes those that hold most until the others are
    /// within the limit, by their bytes and by the memory that the process has taken for them.
    void look(time_point now);

    /// When `look` is to be called next; `time_point::max()` without connections.
    [[nodiscard]] time_point next_look() const { return m_next_look; }

private:
    void note_opened(int descriptor, time_point now);
    void measure(time_point now);
    void enforce(time_point now);
    inbound_connection* find(zmq::message_t& frame);
    [[nodiscard]] std::size_t held_by(holders which) const;
    void close_largest(holders which, time_point now);
    void close(int descriptor, inbound_connection& open, const char* reason, time_point now);

    zmq::socket_t& m_listener;
    zmq::socket_t m_events;
    const inbound_limits m_limits;
    const bool m_has_keys;
    std::uint16_t m_port = 0;                            ///< of the listener; 0: not known yet
    std::unordered_map<int, inbound_connection> m_open;  ///< by descriptor
    time_point m_next_look = time_point::max();
    time_point m_next_look_at_all{};
    std::size_t m_calm_resident_bytes = 0;  ///< of the process, when strangers held little
    std::uint64_t m_closed = 0;             ///< connections, for their limits
    time_point m_next_log{};
};

/// Bytes on the wire of a frame of `size` bytes; CURVE wraps it in a command of its own.
std::uint64_t wire_bytes(std::size_t size, bool has_keys);

}  // namespace dewbeam::link::internal
