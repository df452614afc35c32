/// \file
/// Checks that an answer is the right caller's, whole and there once.
///
/// The stand-in of an engine makes each word of an answer from the prompt, and the stand-in of a
/// plain service sends the body back, so every answer can be told in advance.
#pragma once

#include <string>
#include <string_view>

#include "dewbeam/src/load/experiment.h"

namespace dewbeam::load {

/// What is wrong with an answer.
enum class verdict {
    right,             ///< its own, whole, once
    truncated,         ///< the right beginning, but an end is missing
    repeated,          ///< the right answer, and more after it
    foreign,           ///< words of another prompt
    malformed,         ///< not in the form of the API
    ended_with_error,  ///< the right beginning, then an error event
};

/// Name in results.
const char* to_string(verdict value);

/// The body of the request for `planned`.
std::string request_body(const work& kind, const planned_request& planned);

/// Judges a whole answer with status 200.
verdict judge_whole(const work& kind, const planned_request& planned, std::string_view body);

/// Judges all bytes of a stream; one without its closing `[DONE]` is truncated.
verdict judge_stream(const work& kind, const planned_request& planned, std::string_view body);

}  // namespace dewbeam::load
