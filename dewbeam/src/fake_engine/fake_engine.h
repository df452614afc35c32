/// \file
/// Stand-in of a model engine or a plain service, for tests, the demo and benches only.
///
/// It batches continuously: each step every running request gets its next word, urgent requests
/// are taken from the queue first. Word `i` of an answer is `w<i>-<hash of the prompt>`, so that
/// anyone can check that an answer is whole and belongs to its prompt.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/experts"
#include "dewbeam/http"

namespace dewbeam::fake_engine {

/// The experts of a rank's stand-in; tokens of a step lie on them by a power law.
struct expert_options {
    std::uint32_t m_experts = 0;  ///< of each layer; 0: it says nothing of experts
    std::uint32_t m_layers = 1;
    std::uint32_t m_slots_per_rank = 1;
    double m_tokens_per_step = 0;  ///< of the whole group, in each layer
    double m_skew = 0;             ///< exponent of the power law; 0: all experts get the same
};

/// Tokens of each expert in one step.
experts::group_counts tokens_per_step(const expert_options& options);

/// What the stand-in is and how it behaves.
struct engine_options {
    std::string m_host;
    std::vector<std::string> m_models;  ///< empty: a plain service
    std::uint32_t m_slots = 8;
    time_span m_step = std::chrono::milliseconds(5);
    time_span m_prefill_per_token = std::chrono::microseconds(10);
    std::uint64_t m_kv_tokens = 100'000;
    time_span m_service_time = time_span::zero();  ///< of one call of a plain service
    std::string m_crash_marker;                    ///< a prompt with this text ends the process
    incarnation m_group;                           ///< of the lock-step group that it is a rank of
    bool m_checks_fencing = true;                  ///< refuses orders with old fencing numbers
    bool m_can_hold = true;  ///< can hold at a step until a new expert map is committed
    expert_options m_experts;
};

/// The words of an answer to `prompt`.
std::string answer_word(std::uint64_t prompt_hash, std::uint64_t index);

/// The stand-in's behaviour behind an HTTP server. Thread-safe.
class engine {
public:
    engine(boost::asio::io_context& context, engine_options options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    /// Answers one request; give this to an HTTP server.
    void handle(http::request&& request, const std::shared_ptr<http::exchange>& answer);

    /// Requests that run or wait.
    [[nodiscard]] std::size_t in_flight() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::fake_engine
