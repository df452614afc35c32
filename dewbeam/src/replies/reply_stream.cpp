#include "dewbeam/src/replies/reply_stream.h"

#include <algorithm>
#include <utility>

namespace dewbeam::replies {

namespace {

byte_count size_of(const reply_chunk& chunk)
{
    return {static_cast<std::int64_t>(chunk.m_data.size())};
}

void close(reply_stream& state, delivery& out, reply_error error)
{
    state.m_closed = true;
    state.m_held.clear();
    state.m_out_of_order_size = {};
    state.m_owner.reset();
    out.m_error = error;
}

/// Whether all bytes delivered so far are still stored.
bool has_all_delivered(const reply_stream& state)
{
    return static_cast<std::int64_t>(state.m_delivered_bytes.size()) == state.m_delivered.m_count;
}

void store_delivered(reply_stream& state, std::string_view bytes)
{
    const auto limit = static_cast<std::size_t>(state.m_options.m_max_kept.m_count);
    if (has_all_delivered(state) && state.m_delivered_bytes.size() + bytes.size() <= limit) {
        state.m_delivered_bytes += bytes;
    }
    else {
        state.m_delivered_bytes.clear();
    }
}

void deliver(reply_stream& state, delivery& out, std::string_view bytes)
{
    store_delivered(state, bytes);
    state.m_delivered += {static_cast<std::int64_t>(bytes.size())};
    out.m_bytes += bytes;
}

/// Removes from `bytes` what the caller already has; returns false if it differs.
bool compare_replay(reply_stream& state, std::string_view& bytes)
{
    const auto expected = std::string_view(state.m_delivered_bytes).substr(state.m_compared_size);
    const auto common = std::min(expected.size(), bytes.size());
    if (expected.substr(0, common) != bytes.substr(0, common)) {
        return false;
    }
    state.m_compared_size += common;
    bytes.remove_prefix(common);
    return true;
}

bool is_replay_incomplete(const reply_stream& state)
{
    return state.m_replays && state.m_compared_size < state.m_delivered_bytes.size();
}

/// The first chunk contains status and headers. The caller gets them once; the status of a later
/// attempt must match.
bool process_head(reply_stream& state, reply_chunk& chunk, delivery& out)
{
    if (state.m_started) {
        return chunk.m_status == state.m_status;
    }
    state.m_started = true;
    state.m_status = chunk.m_status;
    out.m_starts_response = true;
    out.m_status = chunk.m_status;
    out.m_headers = std::move(chunk.m_headers);
    return true;
}

void process_end(reply_stream& state, const reply_chunk& chunk, delivery& out)
{
    out.m_outcome = chunk.m_outcome;
    if (chunk.m_outcome != ledger::outcome::completed) {
        // Another attempt may still continue from here.
        drop_attempt(state);
        out.m_error = reply_error::attempt_ended;
        return;
    }
    if (is_replay_incomplete(state)) {
        close(state, out, reply_error::replay_differs);
        return;
    }
    close(state, out, reply_error::none);
    out.m_finished = true;
}

/// Whether the chunk is part of the response. The last chunk of an attempt that didn't complete is
/// not: its status and data are ignored.
bool has_answer(const reply_chunk& chunk)
{
    return !chunk.m_last || chunk.m_outcome == ledger::outcome::completed;
}

/// Processes the chunk that is next in order.
void process_chunk(reply_stream& state, reply_chunk chunk, delivery& out)
{
    if (state.m_next == 0 && has_answer(chunk) && !process_head(state, chunk, out)) {
        close(state, out, reply_error::replay_differs);
        return;
    }
    ++state.m_next;
    std::string_view bytes = chunk.m_data;
    if (!has_answer(chunk)) {
        bytes = {};
    }
    if (state.m_replays && !compare_replay(state, bytes)) {
        close(state, out, reply_error::replay_differs);
        return;
    }
    // The bytes after the repeated part of a replay are new.
    state.m_replays = state.m_replays && is_replay_incomplete(state);
    deliver(state, out, bytes);
    if (chunk.m_last) {
        process_end(state, chunk, out);
    }
}

/// Whether the chunk is consistent with the last chunk of the attempt, if that was received.
/// Records the number of the last chunk.
bool is_consistent_with_end(reply_stream& state, const reply_chunk& chunk)
{
    const auto number = chunk.m_number.value();
    if (chunk.m_last) {
        const bool after_data = state.m_held.empty() || state.m_held.rbegin()->first < number;
        const bool only_end = !state.m_last_number || *state.m_last_number == number;
        state.m_last_number = number;
        return after_data && only_end;
    }
    return !state.m_last_number || number < *state.m_last_number;
}

void buffer_chunk(reply_stream& state, reply_chunk chunk, delivery& out)
{
    state.m_out_of_order_size += size_of(chunk);
    const auto number = chunk.m_number.value();
    state.m_held.emplace(number, std::move(chunk));
    if (state.m_out_of_order_size > state.m_options.m_max_held ||
        state.m_held.size() > state.m_options.m_max_chunks_held) {
        close(state, out, reply_error::too_much_held);
    }
}

void process_buffered(reply_stream& state, delivery& out)
{
    while (state.m_owner && !state.m_held.empty() && state.m_held.begin()->first == state.m_next) {
        auto chunk = std::move(state.m_held.begin()->second);
        state.m_held.erase(state.m_held.begin());
        state.m_out_of_order_size -= size_of(chunk);
        process_chunk(state, std::move(chunk), out);
    }
}

bool is_known(const reply_stream& state, std::uint64_t number)
{
    return number < state.m_next || state.m_held.contains(number);
}

}  // namespace

const char* to_string(reply_error value)
{
    switch (value) {
        case reply_error::none:
            return "none";
        case reply_error::too_much_held:
            return "too_much_held";
        case reply_error::replay_differs:
            return "replay_differs";
        case reply_error::malformed:
            return "malformed";
        case reply_error::attempt_ended:
            break;
    }
    return "attempt_ended";
}

bool can_continue(const reply_stream& state, continuation how)
{
    if (state.m_closed) {
        return false;
    }
    switch (how) {
        case continuation::none:
            return !state.m_started;
        case continuation::resume:
            return true;
        case continuation::replay:
            break;
    }
    return has_all_delivered(state);
}

void start_attempt(reply_stream& state, const attempt_id& owner, continuation how)
{
    require(can_continue(state, how), "an answer goes on only where can_continue allows it");
    drop_attempt(state);
    state.m_owner = owner;
    state.m_replays = how == continuation::replay && !state.m_delivered_bytes.empty();
    state.m_compared_size = 0;
}

void drop_attempt(reply_stream& state)
{
    state.m_owner.reset();
    state.m_next = 0;
    state.m_last_number.reset();
    state.m_held.clear();
    state.m_out_of_order_size = {};
}

void reopen(reply_stream& state)
{
    require(state.m_closed, "only an answer that ended is reopened");
    state.m_closed = false;
    drop_attempt(state);
}

delivery accept(reply_stream& state, reply_chunk chunk)
{
    delivery out;
    if (state.m_closed || state.m_owner != chunk.m_attempt ||
        is_known(state, chunk.m_number.value())) {
        return out;
    }
    if (!is_consistent_with_end(state, chunk)) {
        close(state, out, reply_error::malformed);
        return out;
    }
    if (chunk.m_number.value() == state.m_next) {
        process_chunk(state, std::move(chunk), out);
        process_buffered(state, out);
    }
    else {
        buffer_chunk(state, std::move(chunk), out);
    }
    return out;
}

}  // namespace dewbeam::replies
