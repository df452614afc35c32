/// \file
/// Starts, cancels and ends the attempts of requests at agents, and checks their deadlines.
#pragma once

#include <string>
#include <string_view>

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Log reason of attempts that end because the link to their agent was lost.
inline constexpr std::string_view link_lost = "link_lost";

/// Performs the actions that a broker decided on, in the given order.
void perform(entry_state& state, const dispatch::actions& wanted, time_point now);

/// Cancels the request's current attempt at its agent, because its answer is no longer needed.
void cancel_attempt(entry_state& state, const request_pointer& request);

/// Ends an attempt and notifies the broker, which may retry or refuse the request. `reason` is for
/// the log. Does nothing if the request no longer owns the attempt.
void end_attempt(entry_state& state, const request_pointer& request, const attempt_id& id,
                 dispatch::attempt_end end, std::string_view reason, time_point now);

/// Ends all attempts at the agent with this link address, whose process was replaced or whose link
/// was lost. They are cancelled at the agent too, since a dispatch may still be sent on the
/// connection that replaces the lost one, and no request would wait for its answer.
void end_attempts_at(entry_state& state, const std::string& address, std::string_view reason,
                     time_point now);

/// Fails all requests in flight; used when the process can't wait for them any longer.
void fail_all_requests(entry_state& state, time_point now);

/// Checks the deadlines of one request in flight, and ends its attempt or the request if one
/// passed.
void check_request_deadlines(entry_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::entry
