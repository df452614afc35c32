/// \file
/// A small model of an engine: continuous batching in virtual time.
///
/// Each step computes some prompt tokens and one token of every request that has its prompt; its
/// time is that of the slowest rank. Memory for keys and values is limited and shared with the
/// prefix cache. The engine honours priorities, and crashes when it runs a poisonous request.
#pragma once

#include <deque>
#include <vector>

#include "dewbeam/admission"
#include "dewbeam/src/engine_model/block_cache.h"

namespace dewbeam::engine_model {

/// Size and speed of an engine.
struct engine_options {
    std::uint32_t m_most_running = 16;
    std::uint32_t m_most_ordinary = 16;  ///< of them; what its agent leaves free for urgent work
    std::uint32_t m_most_urgent = 16;    ///< while ordinary work waits
    std::int64_t m_step_tokens = 256;    ///< prompt tokens that fit into one step
    double m_base_seconds = 0.005;       ///< of a step
    double m_prompt_seconds = 0.00005;   ///< for each prompt token
    double m_output_seconds = 0.0002;    ///< for each running request
    std::int64_t m_block_tokens = 64;
    admission::kv_options m_kv{{200'000}, admission::kv_options{}.m_output_share};
};

/// One request at an engine.
struct engine_request {
    std::uint64_t m_number = 0;  ///< chosen by the caller of the model
    bool m_is_urgent = false;
    bool m_is_poison = false;  ///< crashes the engine when its first token is computed
    std::int64_t m_prompt = 0;
    std::int64_t m_output = 0;        ///< tokens that it will really produce
    std::int64_t m_output_bound = 0;  ///< what its caller allows
    std::vector<std::uint64_t> m_prefix;
};

/// A request under way.
struct engine_run {
    engine_request m_request;
    std::int64_t m_missing = 0;   ///< prompt tokens to compute
    std::int64_t m_produced = 0;  ///< output tokens
    std::int64_t m_done = 0;      ///< output tokens before an eviction: they count as prompt
    bool m_has_first_token = false;
};

/// What happened in a step.
struct engine_event {
    enum class kind { first_token, completed, crashed };
    kind m_kind = kind::first_token;
    std::uint64_t m_number = 0;  ///< of the request; of a crash: of the poisonous one
    time_point m_at{};
};

/// What changed in the prefix cache.
struct cache_change {
    bool m_is_removal = false;
    std::vector<std::uint64_t> m_blocks;
};

/// The engine.
struct engine {
    engine_options m_options;
    admission::kv_memory m_kv;
    block_cache m_cache;
    std::deque<engine_run> m_waiting;  ///< urgent ones first
    std::vector<engine_run> m_running;
    std::vector<cache_change> m_changes;  ///< since they were last taken
    double m_slowest_rank = 1.0;          ///< its time over the mean
    time_point m_stalled_until{};
    time_span m_last_step = time_span::zero();
    std::uint64_t m_computed = 0;   ///< prompt tokens, in all
    std::uint64_t m_evictions = 0;  ///< requests that had to start over
};

/// A new engine.
engine make_engine(const engine_options& options);

/// A request arrives.
void add(engine& subject, const engine_request& request);

/// The caller of a request went away; true if it was there.
bool cancel(engine& subject, std::uint64_t number);

/// Whether a step would do anything.
bool is_idle(const engine& subject);

/// Runs one step that begins at `now`; appends what happened and gives the end of the step.
time_point step(engine& subject, time_point now, std::vector<engine_event>& events);

/// Loses everything that it runs and holds; gives the numbers of the lost requests.
std::vector<std::uint64_t> crash(engine& subject);

/// Memory that no request has reserved.
token_count free_kv(const engine& subject);

}  // namespace dewbeam::engine_model
