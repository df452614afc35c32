/// \file
/// The attempts of requests at agents: begun, cancelled, ended, and watched for their deadlines.
#pragma once

#include <string>
#include <string_view>

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Reason of attempts whose agent can't be heard any more.
inline constexpr std::string_view link_lost = "link_lost";

/// Carries out what a broker decided, in its order.
void perform(entry_state& state, const dispatch::actions& wanted, time_point now);

/// Tells the agent that the answer is not wanted any more.
void cancel_attempt(entry_state& state, const request_pointer& request);

/// Ends the attempt for the request, which is then retried or refused. `reason` is for the log.
void end_attempt(entry_state& state, const request_pointer& request, const attempt_id& id,
                 dispatch::attempt_end end, std::string_view reason, time_point now);

/// The process at an address is gone, or can't be heard: its attempts end here. They are cancelled
/// there too: a dispatch may go out on the connection that comes after the lost one, and nobody
/// would wait for its answer.
void end_attempts_at(entry_state& state, const std::string& address, std::string_view reason,
                     time_point now);

/// Answers all requests in flight, which a stop can't wait for.
void give_up_all(entry_state& state, time_point now);

/// Deadlines of one request in flight.
void watch_deadlines(entry_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::entry
