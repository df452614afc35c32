/// \file
/// Puts one caller's answer together: in order, once, and only from the attempt that owns the
/// request. A stream that broke off never looks finished.
///
/// Where an idempotent streamed request goes on under a new attempt, either the engine resumes at
/// the byte that was delivered last, or it begins anew; then what the caller has already is
/// skipped, and any byte that differs ends the stream with an error.
///
/// \code
/// start_attempt(stream, id, continuation::none);
/// auto out = accept(stream, chunk);      // bytes for the caller, perhaps the end
/// if (link_lost && can_continue(stream, continuation::replay)) {
///     start_attempt(stream, next_id, continuation::replay);
/// }
/// \endcode
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/ledger"

namespace dewbeam::replies {

/// Place of a chunk in its attempt's answer, from 0.
using chunk_number = strong<struct chunk_tag, std::uint64_t>;

/// A header field of the answer.
struct reply_header {
    std::string m_name;
    std::string m_value;
};

/// A piece of an attempt's answer.
struct reply_chunk {
    attempt_id m_attempt;
    chunk_number m_number;
    std::uint32_t m_status = 0;           ///< in chunk 0 only
    std::vector<reply_header> m_headers;  ///< in chunk 0 only
    std::string m_data;
    bool m_last = false;
    ledger::outcome m_outcome = ledger::outcome::unknown;  ///< in the last chunk
};

/// How an attempt's answer goes with what the caller has already.
enum class continuation {
    none,    ///< nothing was delivered; the answer is taken from its start
    resume,  ///< the engine goes on at the byte after the last one delivered
    replay,  ///< the engine begins anew; what was delivered must come again, byte by byte
};

/// Why a stream can't go on.
enum class reply_error {
    none,
    too_much_held,   ///< more came out of order than the limit
    replay_differs,  ///< the new attempt answered otherwise than the caller has read
    malformed,       ///< contradictory chunks: two ends, or data after the end
    attempt_ended,   ///< the attempt ended without completing; `m_outcome` tells how
};

/// Field term of an error for logs and error events.
const char* to_string(reply_error value);

/// What the entry must do after a chunk.
struct delivery {
    bool m_begins = false;  ///< send the status and headers first
    std::uint32_t m_status = 0;
    std::vector<reply_header> m_headers;
    std::string m_bytes;      ///< for the caller
    bool m_finished = false;  ///< the answer is whole
    reply_error m_error = reply_error::none;
    ledger::outcome m_outcome = ledger::outcome::unknown;  ///< of the attempt, when it ended
};

/// Limits of a stream.
struct reply_options {
    byte_count m_most_held{1 << 20};  ///< out of order
    std::size_t m_most_chunks_held = 1'024;
    byte_count m_most_kept{1 << 20};  ///< of what was delivered, to compare with a replay
};

/// The state of one caller's answer.
struct reply_stream {
    reply_options m_options;
    std::optional<attempt_id> m_owner;  ///< chunks of any other attempt are dropped
    std::uint64_t m_next = 0;           ///< number of the next chunk in order
    std::map<std::uint64_t, reply_chunk> m_held;
    byte_count m_held_bytes;
    std::optional<std::uint64_t> m_last_number;  ///< known once the last chunk was met
    bool m_begun = false;                        ///< status and headers were delivered
    std::uint32_t m_status = 0;
    byte_count m_delivered;      ///< to the caller, over all attempts
    std::string m_kept;          ///< the same bytes, as far as the limit goes
    std::size_t m_compared = 0;  ///< of a replay: bytes that came again
    bool m_replays = false;
    bool m_closed = false;  ///< finished, or ended by an error
};

/// Whether a new attempt may go on like this. After a finished answer or an error, none may.
bool can_continue(const reply_stream& state, continuation how);

/// From now on the answer comes from `owner`; earlier attempts' chunks are dropped.
void start_attempt(reply_stream& state, const attempt_id& owner, continuation how);

/// The attempt's end is unknown, or nothing more is wanted of it: its chunks are dropped.
void drop_attempt(reply_stream& state);

/// The answer that finished isn't whole: another attempt may go on behind what was delivered.
void reopen(reply_stream& state);

/// Takes a chunk as it arrived.
delivery accept(reply_stream& state, reply_chunk chunk);

}  // namespace dewbeam::replies
