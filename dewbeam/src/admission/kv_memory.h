/// \file
/// Memory for keys and values at one engine: what may start, and who gives way when it runs out.
///
/// Three ways are built in: reserve prompt and the whole bounded output before a request starts;
/// start as soon as the prompt fits and evict the newest when memory runs out; or reserve the
/// prompt and a share of the output. The default is the second, which won the measurement
/// (`bench/admission_bench.cpp`): what a request may produce is mostly far more than what it does.
#pragma once

#include <cstdint>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::admission {

/// How much of the output bound is reserved.
struct kv_options {
    token_count m_total;
    double m_output_share = 0.0;  ///< 1: the full bound; 0: optimistic; between: a mix
};

/// Number of a request at this engine; a smaller one is older.
using kv_owner = strong<struct kv_owner_tag, std::uint64_t>;

/// What one request holds.
struct kv_grant {
    kv_owner m_owner;
    token_count m_reserved;
    token_count m_used;
};

/// The memory; grants in the order in which they were given.
struct kv_memory {
    kv_options m_options;
    std::vector<kv_grant> m_grants;
    token_count m_reserved;
};

/// How a wish for memory ended.
enum class kv_outcome {
    granted,
    wait,   ///< not now
    never,  ///< more than the engine has
};

/// What a request reserves to start.
token_count reservation_of(const kv_options& options, token_count prompt, token_count output_bound);

/// A request wants to start.
kv_outcome reserve(kv_memory& memory, kv_owner owner, token_count prompt, token_count output_bound);

/// A running request produced `tokens` more. Gives the requests that must be evicted, the newest
/// first: their memory is free already and they start over; the growing one may be among them.
std::vector<kv_owner> grow(kv_memory& memory, kv_owner owner, token_count tokens);

/// A request ended.
void release(kv_memory& memory, kv_owner owner);

}  // namespace dewbeam::admission
