#include "dewbeam/src/link/key_checker.h"

#include <chrono>
#include <utility>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::link::internal {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::size_t address_frame = 3;
constexpr std::size_t credentials_frame = 6;
constexpr std::size_t binary_key_length = 32;

std::string encode(const std::string& key)
{
    if (key.size() != binary_key_length) {
        return {};
    }
    std::string text(z85_key_length + 1, '\0');
    zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t*>(key.data()), key.size());
    text.resize(z85_key_length);
    return text;
}

}  // namespace

key_checker::key_checker(zmq::context_t& context, std::string allowed)
    : m_socket(context, zmq::socket_type::rep), m_allowed(std::move(allowed))
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.bind("inproc://zeromq.zap.01");
    m_thread = std::thread([this] { run(); });
}

key_checker::~key_checker()
{
    m_stop = true;
    m_thread.join();
}

void key_checker::run()
{
    while (!m_stop) {
        zmq::pollitem_t item{m_socket.handle(), 0, ZMQ_POLLIN, 0};
        zmq::poll(&item, 1, poll_interval);
        if ((item.revents & ZMQ_POLLIN) != 0) {
            answer();
        }
    }
}

void key_checker::answer()
{
    std::vector<std::string> frames;
    bool has_more = true;
    while (has_more) {
        zmq::message_t part;
        if (!m_socket.recv(part, zmq::recv_flags::dontwait)) {
            return;
        }
        frames.push_back(part.to_string());
        has_more = part.more();
    }
    const bool is_allowed =
        frames.size() > credentials_frame && encode(frames[credentials_frame]) == m_allowed;
    if (!is_allowed) {
        log_event(log_level::warning, "link_key_refused",
                  {{"address", frames.size() > address_frame ? frames[address_frame] : ""}});
    }
    send_verdict(frames.size() > 1 ? frames[1] : "", is_allowed);
}

void key_checker::send_verdict(const std::string& request, bool is_allowed)
{
    const std::vector<std::string> frames{
        "1.0", request, is_allowed ? "200" : "400", is_allowed ? "OK" : "unknown key", "", ""};
    for (std::size_t i = 0; i < frames.size(); ++i) {
        const auto flags = i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        m_socket.send(zmq::buffer(frames[i]), flags);
    }
}

}  // namespace dewbeam::link::internal
