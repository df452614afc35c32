/// \file
/// Assembles the response to one caller: in order, without duplicates, and only from the attempt
/// that owns the request. A truncated stream is never reported as finished.
///
/// When an idempotent streamed request continues under a new attempt, the engine either resumes
/// after the last byte delivered or restarts its response. After a restart, the bytes that the
/// caller already has are compared and skipped; any byte that differs ends the stream with an
/// error.
///
/// \code
/// start_attempt(stream, id, continuation::none);
/// auto out = accept(stream, chunk);      // bytes for the caller, possibly the end
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

/// Position of a chunk in the response of its attempt, from 0.
using chunk_number = strong<struct chunk_tag, std::uint64_t>;

/// A header field of the response.
struct reply_header {
    std::string m_name;
    std::string m_value;
};

/// A chunk of the response of an attempt.
struct reply_chunk {
    attempt_id m_attempt;
    chunk_number m_number;
    std::uint32_t m_status = 0;           ///< in chunk 0 only
    std::vector<reply_header> m_headers;  ///< in chunk 0 only
    std::string m_data;
    bool m_last = false;
    ledger::outcome m_outcome = ledger::outcome::unknown;  ///< in the last chunk
};

/// How the response of a new attempt relates to the bytes that the caller already has.
enum class continuation {
    none,    ///< nothing was delivered yet; the response is used from its start
    resume,  ///< the engine continues with the byte after the last one delivered
    replay,  ///< the engine restarts; the delivered bytes must be repeated exactly
};

/// Why a stream can't continue.
enum class reply_error {
    none,
    too_much_held,   ///< the limits for chunks received out of order were exceeded
    replay_differs,  ///< the new attempt's response differs from the bytes already delivered
    malformed,       ///< contradictory chunks: two ends, or data after the end
    attempt_ended,   ///< the attempt ended without completing; see `m_outcome`
};

/// The name of an error in logs and error events.
const char* to_string(reply_error value);

/// What the entry must send to the caller after a chunk.
struct delivery {
    bool m_starts_response = false;  ///< send the status and headers first
    std::uint32_t m_status = 0;
    std::vector<reply_header> m_headers;
    std::string m_bytes;      ///< for the caller
    bool m_finished = false;  ///< the response is complete
    reply_error m_error = reply_error::none;
    ledger::outcome m_outcome = ledger::outcome::unknown;  ///< of the attempt, once it has ended
};

/// Limits of a stream.
struct reply_options {
    byte_count m_max_held{1 << 20};  ///< received out of order
    std::size_t m_max_chunks_held = 1'024;
    byte_count m_max_kept{1 << 20};  ///< delivered bytes stored for comparison with a replay
};

/// The state of the response to one caller.
struct reply_stream {
    reply_options m_options;
    std::optional<attempt_id> m_owner;  ///< chunks of any other attempt are ignored
    std::uint64_t m_next = 0;           ///< number of the next chunk in order
    std::map<std::uint64_t, reply_chunk> m_held;
    byte_count m_out_of_order_size;
    std::optional<std::uint64_t> m_last_number;  ///< known once the last chunk was received
    bool m_started = false;                      ///< status and headers were delivered
    std::uint32_t m_status = 0;
    byte_count m_delivered;           ///< to the caller, by all attempts
    std::string m_delivered_bytes;    ///< the delivered bytes; empty once they exceeded the limit
    std::size_t m_compared_size = 0;  ///< number of bytes that a replay has repeated so far
    bool m_replays = false;
    bool m_closed = false;  ///< finished, or ended by an error
};

/// Whether a new attempt may continue in this way. After a finished response none may, nor after an
/// error that closed the stream.
bool can_continue(const reply_stream& state, continuation how);

/// Makes `owner` the source of the response; chunks of earlier attempts are ignored from now on.
void start_attempt(reply_stream& state, const attempt_id& owner, continuation how);

/// Ignores further chunks of the current attempt: its outcome is unknown or it is not needed any
/// more.
void drop_attempt(reply_stream& state);

/// Reopens a finished response that turned out incomplete, so that another attempt may continue
/// after the delivered bytes.
void reopen(reply_stream& state);

/// Processes a chunk in the order of arrival.
delivery accept(reply_stream& state, reply_chunk chunk);

}  // namespace dewbeam::replies
