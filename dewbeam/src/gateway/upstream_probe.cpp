#include "dewbeam/src/gateway/upstream_probe.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace dewbeam::gateway {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds probe_timeout{400};

/// One connection that is being opened.
struct probe_connection {
    explicit probe_connection(asio::io_context& context)
        : m_strand(asio::make_strand(context)), m_socket(m_strand), m_timer(m_strand)
    {
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    bool m_is_over = false;  ///< used only on the strand
};

probe_result to_result(const boost::system::error_code& error)
{
    if (!error) {
        return probe_result::accepted;
    }
    const bool is_refused =
        error == asio::error::connection_refused || error == asio::error::connection_reset;
    return is_refused ? probe_result::refused : probe_result::no_answer;
}

}  // namespace

struct upstream_probe::shared : std::enable_shared_from_this<shared> {
    using callbacks = std::vector<std::function<void(probe_result)>>;

    explicit shared(asio::io_context& context) : m_context(context) {}

    void open(const tcp::endpoint& target)
    {
        const auto item = std::make_shared<probe_connection>(m_context);
        const auto end = [self = shared_from_this(), item, target](probe_result result) {
            if (std::exchange(item->m_is_over, true)) {
                return;
            }
            boost::system::error_code ignored;
            item->m_socket.close(ignored);
            item->m_timer.cancel();
            self->answer(target, result);
        };
        asio::post(item->m_strand, [item, target, end] {
            item->m_timer.expires_after(probe_timeout);
            item->m_timer.async_wait([end](const boost::system::error_code& error) {
                if (!error) {
                    end(probe_result::no_answer);
                }
            });
            item->m_socket.async_connect(
                target, [end](const boost::system::error_code& error) { end(to_result(error)); });
        });
    }

    void answer(const tcp::endpoint& target, probe_result result)
    {
        callbacks waiting;
        {
            const std::lock_guard lock(m_mutex);
            waiting = std::move(m_waiting[target]);
            m_waiting.erase(target);
        }
        for (const auto& done : waiting) {
            done(result);
        }
    }

    asio::io_context& m_context;
    std::mutex m_mutex;
    std::map<tcp::endpoint, callbacks> m_waiting;  ///< by the address that is being probed
};

upstream_probe::upstream_probe(asio::io_context& context)
    : m_shared(std::make_shared<shared>(context))
{
}

upstream_probe::~upstream_probe() = default;

void upstream_probe::ask(const endpoint& address, std::function<void(probe_result)> done)
{
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(address.m_ip, error), address.m_port);
    bool is_first = false;
    {
        const std::lock_guard lock(m_shared->m_mutex);
        auto& waiting = m_shared->m_waiting[target];
        is_first = waiting.empty();
        waiting.push_back(std::move(done));
    }
    if (is_first) {
        m_shared->open(target);
    }
}

void upstream_probe::wait(time_span span, std::function<void()> done)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_shared->m_context, span);
    timer->async_wait([timer, done = std::move(done)](const boost::system::error_code& error) {
        if (!error) {
            done();
        }
    });
}

}  // namespace dewbeam::gateway
