/// \file
/// Messages between dewbeam's own processes: ZeroMQ frames of protobuf envelopes.
///
/// Each process has one node. The node listens on one address and opens a connection to each
/// address that something is sent to. Both ends watch a connection by their own deadline: one
/// that went silent is closed, reported lost and never used again; the next send opens a new one.
/// Time for which this process itself was held up doesn't count as silence.
/// Messages of another deployment, by its name or by its replicated log, are never handed on: the
/// connection is closed and reported lost, and what is sent to that address within the next second
/// is dropped.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/base"

namespace dewbeam::link {

/// Keys for CURVE, in Z85 text; empty for an open link.
struct link_keys {
    std::string m_public;
    std::string m_secret;
};

/// Reads a key file: a JSON object with `public` and `secret`, each 40 characters of Z85.
absl::StatusOr<link_keys> load_link_keys(const std::string& file);

/// A new pair of keys.
link_keys generate_link_keys();

/// The other end of a connection.
struct peer {
    std::string m_address;  ///< set where this process opened the connection
    std::string m_routing;  ///< set where the other process did

    friend auto operator<=>(const peer&, const peer&) = default;
};

/// The deployment of processes whose settings name none.
inline const deployment_id unnamed_deployment{"unnamed"};

/// What a node needs to know at start.
struct node_options {
    endpoint m_listen;
    std::optional<endpoint> m_advertised;  ///< where others reach it, if not at `m_listen`
    deployment_id m_deployment = unnamed_deployment;
    host_id m_host;
    incarnation m_incarnation;
    link_keys m_keys;
    time_span m_ping_interval = std::chrono::milliseconds(500);
    time_span m_silence_limit = std::chrono::seconds(2);
    std::size_t m_most_queued = 65'536;  ///< messages that wait to be sent, in all
    /// Connections that announce a larger message are closed before it comes.
    std::int64_t m_most_message_bytes = 64L * 1024 * 1024;
    /// Bytes that came on the connections that others opened, and weren't read yet. At least one
    /// message of the largest size fits.
    std::size_t m_most_held_bytes = 64UL * 1024 * 1024;
    std::size_t m_most_connections = 2048;  ///< that others opened
};

/// Called on the node's thread; must not block.
struct node_handlers {
    std::function<void(const peer&, wire::Envelope&&)> m_on_message;
    /// Those that were found lost in one look: what is done about one may depend on the others.
    std::function<void(const std::vector<peer>&)> m_on_lost;
};

/// One process's end of all links. Thread-safe.
class node {
public:
    /// Binds and starts the node's thread.
    static absl::StatusOr<std::unique_ptr<node>> start(node_options options,
                                                       node_handlers handlers);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// The address that others connect to, `tcp://IP:PORT`.
    [[nodiscard]] const std::string& address() const;

    /// Sends to the process that listens at `address`; false where the queue is full.
    bool send(const std::string& address, wire::Envelope message);

    /// Answers on the connection that a message came from; false where the queue is full.
    bool reply(const peer& to, wire::Envelope message);

    /// From now on this process belongs to the replicated log `log`: its messages say so, and those
    /// of processes that follow another one are refused. The first one holds; 0 changes nothing.
    void follow_log(log_id log);

    /// For how long the node's thread was held up since it started, until now: what the others sent
    /// meanwhile was read later, and whoever judges their silence must not count that time.
    [[nodiscard]] time_span held_up() const;

    /// Messages that were dropped because they couldn't be parsed.
    [[nodiscard]] std::uint64_t unreadable_messages() const;

    /// Ends the node's thread: no handler runs after this, and nothing more is sent. Sending and
    /// replying stay allowed and give false.
    void stop();

    /// Closes the connection to `address`; what was queued on it may be lost.
    void close(const std::string& address);

private:
    class implementation;
    explicit node(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::link
