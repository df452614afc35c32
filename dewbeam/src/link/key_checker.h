/// \file
/// Answers libzmq's questions whether a CURVE client may connect (ZAP, RFC 27).
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <zmq.hpp>

namespace dewbeam::link::internal {

/// Length of a key as Z85 text.
inline constexpr std::size_t z85_key_length = 40;

/// Lets in who has the key of the deployment, on a thread of its own.
class key_checker {
public:
    /// `allowed` is the public key in Z85 text. One checker a context.
    key_checker(zmq::context_t& context, std::string allowed);

    ~key_checker();
    key_checker(const key_checker&) = delete;
    key_checker& operator=(const key_checker&) = delete;
    key_checker(key_checker&&) = delete;
    key_checker& operator=(key_checker&&) = delete;

private:
    void run();
    void answer();
    void send_verdict(const std::string& request, bool is_allowed);

    zmq::socket_t m_socket;
    std::string m_allowed;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

}  // namespace dewbeam::link::internal
