#include "dewbeam/src/link/node.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "dewbeam/src/link/inbound_connections.h"
#include "dewbeam/src/link/key_checker.h"
#include "dewbeam/src/link/socket_poller.h"
#include "dewbeam/src/link/strangers.h"
#include "dewbeam/turns"

namespace dewbeam::link {

namespace {

using internal::inbound_connections;
using internal::inbound_limits;
using internal::key_checker;
using internal::poll_key;
using internal::z85_key_length;

constexpr int socket_queue_limit = 20'000;
constexpr int linger_ms = 500;
/// Receive buffer of a connection that another process opened: it holds bytes without a limit of
/// ours.
constexpr int inbound_buffer_bytes = 256 * 1024;
constexpr int most_messages_a_turn = 256;
/// Keys of a node's poller; connections have the ones above.
constexpr poll_key wake_key{0};
constexpr poll_key listener_key{1};
constexpr poll_key inbound_key{2};
constexpr std::uint64_t first_connection_key = 3;
/// How often silent connections are looked for, at most.
constexpr time_span watch_interval = std::chrono::milliseconds(20);
/// The listening end waits a little longer, so that the opening end closes first.
constexpr int listener_patience = 2;

time_point clock_now()
{
    return time_point(
        std::chrono::duration_cast<time_span>(std::chrono::steady_clock::now().time_since_epoch()));
}

struct outgoing {
    peer m_to;
    std::string m_bytes;
    bool m_is_close = false;
};

/// A connection that this process opened.
struct connection {
    zmq::socket_t m_socket;
    poll_key m_key;
    time_point m_opened_at{};
    time_point m_silent_deadline{};
    time_point m_sent_at{};
    time_point m_heard_at{};
    time_point m_next_ping{};
    bool m_was_heard = false;
    /// A message could not be queued: the other end closed the connection, or reads nothing.
    bool m_is_broken = false;
    bool m_is_strange = false;  ///< a process of another deployment answers there
};

inbound_limits inbound_limits_of(const node_options& options)
{
    const auto least = internal::wire_bytes(static_cast<std::size_t>(options.m_most_message_bytes),
                                            !options.m_keys.m_secret.empty());
    return {std::max<std::size_t>(options.m_most_held_bytes, least), options.m_most_connections};
}

/// Whether messages alone don't show both ends that the other one is there.
bool needs_ping(const connection& open, time_span interval, time_point now)
{
    return std::min(open.m_sent_at, open.m_heard_at) + interval <= now;
}

origin origin_of(const wire::Envelope& message)
{
    const auto& name = message.deployment();
    return {name.empty() ? unnamed_deployment : deployment_id(name), log_id(message.log())};
}

/// How long a new connection may stay silent. The other end may not listen yet, and a refused
/// connection is not opened again by itself, so that the first tries are short. Peers that don't
/// answer for long are tried less and less often: a crowd of new connections keeps a slow process
/// busy.
time_span first_answer_limit(std::uint32_t silent_tries, time_span longest)
{
    constexpr time_span shortest = std::chrono::milliseconds(300);
    constexpr std::uint32_t quick_tries = 6;
    constexpr std::uint32_t most_doublings = 10;
    const auto beyond = silent_tries > quick_tries ? silent_tries - quick_tries : 0;
    return std::min<time_span>(longest, shortest * (1U << std::min(beyond, most_doublings)));
}

/// Whether the loss of a connection on which nothing was heard is logged. An address at which
/// nobody listens is tried for hours.
bool is_logged_try(std::uint32_t silent_tries)
{
    constexpr std::uint32_t first_tries = 16;
    return silent_tries <= first_tries || silent_tries % first_tries == 0;
}

}  // namespace

/// The node's thread owns all sockets; other threads hand it bytes through a queue.
class node::implementation {
public:
    implementation(node_options options, node_handlers handlers)
        : m_options(std::move(options)),
          m_handlers(std::move(handlers)),
          m_listener(m_context, zmq::socket_type::router),
          m_inbound_connections(m_context, m_listener, inbound_limits_of(m_options), has_keys()),
          m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        require(m_wake >= 0, "the process has no file descriptor left for a link");
    }

    ~implementation()
    {
        stop();
        ::close(m_wake);
    }

    void stop()
    {
        m_stop = true;
        wake();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    absl::Status bind()
    {
        if (has_keys()) {
            m_key_checker = std::make_unique<key_checker>(m_context, m_options.m_keys.m_public);
            m_listener.set(zmq::sockopt::curve_server, true);
            m_listener.set(zmq::sockopt::curve_secretkey, m_options.m_keys.m_secret);
            m_listener.set(zmq::sockopt::zap_domain, "dewbeam");
        }
        set_common(m_listener);
        m_listener.set(zmq::sockopt::rcvbuf, inbound_buffer_bytes);
        m_listener.set(zmq::sockopt::router_mandatory, true);
        const bool is_v6 = m_options.m_listen.m_ip.find(':') != std::string::npos;
        m_listener.set(zmq::sockopt::ipv6, is_v6);
        const auto wanted =
            "tcp://" + (m_options.m_listen.m_port == 0 ? any_port(m_options.m_listen)
                                                       : to_string(m_options.m_listen));
        try {
            m_listener.bind(wanted);
        }
        catch (const zmq::error_t& error) {
            return absl::UnavailableError("can't listen on " + wanted + ": " + error.what());
        }
        m_address = m_options.m_advertised ? "tcp://" + to_string(*m_options.m_advertised)
                                           : m_listener.get(zmq::sockopt::last_endpoint);
        m_poller.add(m_wake, wake_key);
        m_poller.add(m_listener, listener_key);
        m_poller.add(m_inbound_connections.events(), inbound_key);
        m_thread = std::thread([this] { run(); });
        return absl::OkStatus();
    }

    [[nodiscard]] const std::string& address() const { return m_address; }

    bool enqueue(outgoing item)
    {
        bool was_empty = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_stop || m_queue.size() >= m_options.m_most_queued) {
                return false;
            }
            was_empty = m_queue.empty();
            m_queue.push_back(std::move(item));
        }
        if (was_empty) {
            wake();
        }
        return true;
    }

    [[nodiscard]] time_span held_up() const { return m_held_up.until(clock_now()); }

    [[nodiscard]] std::uint64_t unreadable_messages() const { return m_unreadable_messages; }

    void follow_log(log_id log)
    {
        std::uint64_t none = 0;
        m_log.compare_exchange_strong(none, log.value());
    }

    std::string encode(wire::Envelope& message) const
    {
        message.set_sender(m_options.m_host.value());
        message.set_sender_incarnation(m_options.m_incarnation.value());
        if (m_options.m_deployment != unnamed_deployment) {
            message.set_deployment(m_options.m_deployment.value());
        }
        message.set_log(m_log);
        return message.SerializeAsString();
    }

private:
    static std::string any_port(const endpoint& listen)
    {
        const auto text = to_string(listen);
        return text.substr(0, text.rfind(':') + 1) + "*";
    }

    [[nodiscard]] bool has_keys() const { return !m_options.m_keys.m_secret.empty(); }

    void set_common(zmq::socket_t& socket) const
    {
        socket.set(zmq::sockopt::sndhwm, socket_queue_limit);
        socket.set(zmq::sockopt::rcvhwm, socket_queue_limit);
        socket.set(zmq::sockopt::linger, linger_ms);
        socket.set(zmq::sockopt::maxmsgsize, m_options.m_most_message_bytes);
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_wake, &one, sizeof(one));
    }

    void run()
    {
        while (!m_stop) {
            poll_once();
            send_queued();
            look_at_inbound_connections();
            if (const auto now = clock_now(); now >= m_next_watch) {
                m_next_watch = now + watch_interval;
                put_off_silence(m_held_up.begin_turn(now, longest_wait() + watch_interval), now);
                watch_silence(now);
                m_watched_at = now;
            }
        }
        send_queued();
    }

    [[nodiscard]] time_span longest_wait() const { return m_options.m_ping_interval / 4; }

    /// Until the next look at inbound connections, if that comes first.
    [[nodiscard]] time_span next_wait() const
    {
        constexpr time_span resolution = std::chrono::milliseconds(1);  // of the poller's wait
        const auto until_look = m_inbound_connections.next_look() - clock_now();
        return std::clamp<time_span>(until_look, time_span::zero(), longest_wait()) + resolution;
    }

    void poll_once()
    {
        for (const auto key : m_poller.wait(next_wait())) {
            if (key == wake_key) {
                std::uint64_t count = 0;
                [[maybe_unused]] const auto got = ::read(m_wake, &count, sizeof(count));
            }
            else if (key == listener_key) {
                receive_from_listener();
            }
            else if (key == inbound_key) {
                m_inbound_connections.take_events(clock_now());
            }
            else if (const auto place = m_addresses.find(key); place != m_addresses.end()) {
                receive_from_connection(std::string(place->second));
            }
        }
    }

    void look_at_inbound_connections()
    {
        if (const auto now = clock_now(); m_inbound_connections.next_look() <= now) {
            m_inbound_connections.look(now);
        }
    }

    void receive_from_listener()
    {
        for (int i = 0; i < most_messages_a_turn; ++i) {
            zmq::message_t routing;
            zmq::message_t body;
            if (!m_listener.recv(routing, zmq::recv_flags::dontwait) || !routing.more()) {
                return;
            }
            if (!m_listener.recv(body, zmq::recv_flags::dontwait)) {
                return;
            }
            const auto note_read = [this](zmq::message_t& frame) {
                m_inbound_connections.note_read(frame);
            };
            note_read(body);
            drop_rest(m_listener, body, note_read);
            const peer from{{}, routing.to_string()};
            m_inbound[from.m_routing] = clock_now() + m_options.m_silence_limit * listener_patience;
            if (take(from, body)) {
                m_inbound_connections.note_known(body);
            }
        }
        m_poller.mark(listener_key);
    }

    void receive_from_connection(const std::string& address)
    {
        for (int i = 0; i < most_messages_a_turn; ++i) {
            const auto place = m_connections.find(address);
            zmq::message_t body;
            if (place == m_connections.end() ||
                !place->second.m_socket.recv(body, zmq::recv_flags::dontwait)) {
                return;
            }
            drop_rest(place->second.m_socket, body, [](const zmq::message_t&) {});
            note_heard(address, place->second);
            take(peer{address, {}}, body);
        }
        if (const auto place = m_connections.find(address); place != m_connections.end()) {
            m_poller.mark(place->second.m_key);
        }
    }

    void note_heard(const std::string& address, connection& open)
    {
        open.m_heard_at = clock_now();
        open.m_silent_deadline = open.m_heard_at + m_options.m_silence_limit;
        if (!std::exchange(open.m_was_heard, true)) {
            m_silent_tries.erase(address);
        }
    }

    template <class Action>
    static void drop_rest(zmq::socket_t& socket, const zmq::message_t& first, Action on_dropped)
    {
        bool has_more = first.more();
        while (has_more) {
            zmq::message_t rest;
            if (!socket.recv(rest, zmq::recv_flags::dontwait)) {
                return;
            }
            on_dropped(rest);
            has_more = rest.more();
        }
    }

    /// \returns whether it is a message of a process of this deployment
    bool take(const peer& from, const zmq::message_t& body)
    {
        wire::Envelope message;
        if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
            ++m_unreadable_messages;
            log_event(log_level::warning, "link_bad_frame", {{"bytes", body.size()}});
            return false;
        }
        if (message.has_ping()) {
            // Who belongs to another deployment learns it from the answer and closes the
            // connection.
            wire::Envelope answer;
            answer.mutable_pong()->set_nonce(message.ping().nonce());
            deliver({from, encode(answer)});
        }
        if (const auto theirs = origin_of(message); is_strange(own_origin(), theirs)) {
            refuse(from, message, theirs);
            return false;
        }
        const bool has_sender = !message.sender().empty();
        if (!message.has_ping() && !message.has_pong()) {
            contain("link_message", [&] { m_handlers.m_on_message(from, std::move(message)); });
        }
        return has_sender;
    }

    /// Addresses are handed on and copied wrongly. Without this check, whoever answers would be
    /// taken in: its upstreams would get this deployment's requests, and its replicas a vote.
    void refuse(const peer& from, const wire::Envelope& message, const origin& theirs)
    {
        const auto place = m_connections.find(from.m_address);
        if (place != m_connections.end()) {
            place->second.m_is_strange = true;
        }
        const auto& who = from.m_address.empty() ? message.sender() : from.m_address;
        if (note_stranger(m_strangers, who, theirs, clock_now())) {
            log_event(log_level::error, "link_deployment_refused",
                      {{"address", from.m_address},
                       {"sender", message.sender()},
                       {"deployment", theirs.m_deployment.value()},
                       {"log", theirs.m_log.value()},
                       {"own_deployment", m_options.m_deployment.value()},
                       {"own_log", m_log.load()}});
        }
    }

    [[nodiscard]] origin own_origin() const { return {m_options.m_deployment, log_id(m_log)}; }

    void send_queued()
    {
        std::deque<outgoing> batch;
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_queue);
        }
        for (const auto& item : batch) {
            if (item.m_is_close) {
                close_connection(item.m_to.m_address);
            }
            else {
                deliver(item);
            }
        }
    }

    void deliver(const outgoing& item)
    {
        try {
            if (item.m_to.m_routing.empty()) {
                if (is_left_alone(m_strangers, item.m_to.m_address, clock_now())) {
                    return;
                }
                send_on(connection_to(item.m_to.m_address), item.m_bytes);
                return;
            }
            m_poller.mark(listener_key);
            const auto sent = m_listener.send(zmq::buffer(item.m_to.m_routing),
                                              zmq::send_flags::sndmore | zmq::send_flags::dontwait);
            if (sent) {
                m_listener.send(zmq::buffer(item.m_bytes), zmq::send_flags::dontwait);
            }
            if (!sent) {
                log_event(log_level::warning, "link_queue_full");
            }
        }
        catch (const zmq::error_t& error) {
            log_event(log_level::debug, "link_send_failed",
                      {{"address", item.m_to.m_address}, {"reason", error.what()}});
        }
    }

    void send_on(connection& open, const std::string& bytes)
    {
        const auto sent = open.m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        open.m_is_broken = !sent.has_value();
        open.m_sent_at = clock_now();
        m_poller.mark(open.m_key);
    }

    void close_connection(const std::string& address)
    {
        const auto place = m_connections.find(address);
        if (place == m_connections.end()) {
            return;
        }
        m_poller.remove(place->second.m_socket, place->second.m_key);
        m_addresses.erase(place->second.m_key);
        m_connections.erase(place);
    }

    connection& connection_to(const std::string& address)
    {
        const auto place = m_connections.find(address);
        if (place != m_connections.end()) {
            return place->second;
        }
        const auto limit = first_answer_limit(m_silent_tries[address]++, m_options.m_silence_limit);
        const auto now = clock_now();
        connection fresh{zmq::socket_t(m_context, zmq::socket_type::dealer), poll_key(m_next_key++),
                         now, now + limit};
        set_common(fresh.m_socket);
        // A broken connection stays silent until its deadline and is then replaced as a whole:
        // libzmq's own reconnect would keep it alive while answers to it are lost.
        fresh.m_socket.set(zmq::sockopt::reconnect_ivl, -1);
        if (has_keys()) {
            fresh.m_socket.set(zmq::sockopt::curve_serverkey, m_options.m_keys.m_public);
            fresh.m_socket.set(zmq::sockopt::curve_publickey, m_options.m_keys.m_public);
            fresh.m_socket.set(zmq::sockopt::curve_secretkey, m_options.m_keys.m_secret);
        }
        fresh.m_socket.set(zmq::sockopt::ipv6, address.find('[') != std::string::npos);
        fresh.m_socket.connect(address);
        m_poller.add(fresh.m_socket, fresh.m_key);
        m_addresses.emplace(fresh.m_key, address);
        return m_connections.emplace(address, std::move(fresh)).first->second;
    }

    /// While this thread is held up it asks nobody and hears nobody: that time is no silence of
    /// the others.
    void put_off_silence(time_span held_up, time_point now)
    {
        if (held_up == time_span::zero()) {
            return;
        }
        for (auto& [address, open] : m_connections) {
            open.m_silent_deadline =
                put_off(open.m_silent_deadline, held_up, now + m_options.m_silence_limit);
        }
        for (auto& [routing, deadline] : m_inbound) {
            deadline =
                put_off(deadline, held_up, now + m_options.m_silence_limit * listener_patience);
        }
    }

    void watch_silence(time_point now)
    {
        std::vector<peer> lost;
        for (auto& [address, open] : m_connections) {
            if (open.m_is_broken || open.m_is_strange || open.m_silent_deadline <= now) {
                lost.push_back({address, {}});
            }
            else if (needs_ping(open, m_options.m_ping_interval, now) && open.m_next_ping <= now) {
                open.m_next_ping = now + m_options.m_ping_interval;
                wire::Envelope message;
                message.mutable_ping()->set_nonce(1);
                send_on(open, encode(message));
            }
        }
        for (const auto& [routing, deadline] : m_inbound) {
            if (deadline <= now) {
                lost.push_back({{}, routing});
            }
        }
        for (const auto& item : lost) {
            forget(item, now);
        }
        if (!lost.empty()) {
            m_handlers.m_on_lost(lost);
        }
    }

    void forget(const peer& item, time_point now)
    {
        if (!item.m_routing.empty()) {
            m_inbound.erase(item.m_routing);
            return;
        }
        const auto place = m_connections.find(item.m_address);
        auto& open = place->second;
        const auto heard_at = std::max(open.m_heard_at, open.m_opened_at);
        if (open.m_was_heard || is_logged_try(m_silent_tries[item.m_address])) {
            log_event(log_level::info, "link_lost",
                      {{"address", item.m_address},
                       {"was_heard", open.m_was_heard},
                       {"silent_ms", to_milliseconds(now - heard_at)},
                       {"not_looked_ms", to_milliseconds(now - m_watched_at)}});
        }
        open.m_socket.set(zmq::sockopt::linger, 0);
        close_connection(item.m_address);
    }

    node_options m_options;
    node_handlers m_handlers;
    zmq::context_t m_context;
    std::unique_ptr<key_checker> m_key_checker;
    zmq::socket_t m_listener;
    inbound_connections m_inbound_connections;
    internal::socket_poller m_poller;
    std::uint64_t m_next_key = first_connection_key;
    std::unordered_map<poll_key, std::string> m_addresses;  ///< of connections
    time_point m_next_watch{};
    held_up_total m_held_up;    ///< by turns of looking for silent connections
    time_point m_watched_at{};  ///< when silent connections were last looked for
    std::map<std::string, connection> m_connections;
    strangers m_strangers;
    /// Connections in a row to an address on which nothing was heard.
    std::unordered_map<std::string, std::uint32_t> m_silent_tries;
    std::unordered_map<std::string, time_point> m_inbound;  ///< routing id -> silence deadline
    std::atomic<std::uint64_t> m_log = 0;                   ///< 0: none is followed yet
    std::atomic<std::uint64_t> m_unreadable_messages = 0;
    std::string m_address;
    int m_wake;
    std::mutex m_mutex;
    std::deque<outgoing> m_queue;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

absl::StatusOr<link_keys> load_link_keys(const std::string& file)
{
    std::ifstream stream(file);
    const auto source = nlohmann::json::parse(stream, nullptr, false);
    const auto is_key = [&](const char* name) {
        return source.contains(name) && source[name].is_string() &&
               source[name].get_ref<const std::string&>().size() == z85_key_length;
    };
    if (!source.is_object() || !is_key("public") || !is_key("secret")) {
        return absl::InvalidArgumentError(
            "key file " + file + " is not allowed; allowed: a JSON object with \"public\" and " +
            "\"secret\", each 40 characters of Z85");
    }
    return link_keys{source["public"], source["secret"]};
}

link_keys generate_link_keys()
{
    std::string public_key(z85_key_length + 1, '\0');
    std::string secret_key(z85_key_length + 1, '\0');
    const int result = zmq_curve_keypair(public_key.data(), secret_key.data());
    require(result == 0, "libzmq was built without CURVE");
    public_key.resize(z85_key_length);
    secret_key.resize(z85_key_length);
    return {public_key, secret_key};
}

node::node(std::unique_ptr<implementation> impl) : m_implementation(std::move(impl)) {}

node::~node() = default;

absl::StatusOr<std::unique_ptr<node>> node::start(node_options options, node_handlers handlers)
{
    require(handlers.m_on_message && handlers.m_on_lost, "a node needs both of its handlers");
    auto impl = std::make_unique<implementation>(std::move(options), std::move(handlers));
    const auto status = impl->bind();
    if (!status.ok()) {
        return status;
    }
    return std::unique_ptr<node>(new node(std::move(impl)));
}

const std::string& node::address() const
{
    return m_implementation->address();
}

bool node::send(const std::string& address, wire::Envelope message)
{
    return m_implementation->enqueue({{address, {}}, m_implementation->encode(message)});
}

bool node::reply(const peer& to, wire::Envelope message)
{
    return m_implementation->enqueue({to, m_implementation->encode(message)});
}

void node::follow_log(log_id log)
{
    m_implementation->follow_log(log);
}

time_span node::held_up() const
{
    return m_implementation->held_up();
}

std::uint64_t node::unreadable_messages() const
{
    return m_implementation->unreadable_messages();
}

void node::stop()
{
    m_implementation->stop();
}

void node::close(const std::string& address)
{
    m_implementation->enqueue({{address, {}}, {}, true});
}

}  // namespace dewbeam::link
