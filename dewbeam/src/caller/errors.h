/// \file
/// Errors towards callers, in the usual shape of the API.
#pragma once

#include <string>
#include <string_view>

#include "dewbeam/base"
#include "dewbeam/http"

namespace dewbeam::caller {

/// What became of the request, as far as it is known.
enum class run_outcome {
    not_run,  ///< certainly not run
    unknown,  ///< may have run
    none,     ///< the question does not arise, e.g. for a syntax error
};

/// An error to a caller.
struct error {
    int m_status = 500;
    std::string m_type;     ///< `invalid_request_error`, `overloaded_error`, `upstream_error`, ...
    std::string m_code;     ///< stable, for programs
    std::string m_message;  ///< one sentence for a person
    std::string m_param;    ///< the field at fault, or empty
    run_outcome m_outcome = run_outcome::none;
    time_span m_retry_after = time_span::zero();  ///< zero: no advice
};

/// `{"error": {"message", "type", "code", "param", "outcome"}}`
std::string to_json(const error& fault);

/// The whole response, with `Retry-After` in whole seconds and `X-Dewbeam-Outcome`.
http::response to_response(const error& fault, std::string_view request_id);

/// The error as an event of a stream that can't go on.
std::string to_event(const error& fault);

/// An error of the request itself (400).
error bad_request(std::string code, std::string message, std::string param = {});

}  // namespace dewbeam::caller
