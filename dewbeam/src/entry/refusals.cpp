#include "dewbeam/src/entry/refusals.h"

namespace dewbeam::entry {

namespace {

struct error_template {
    int m_status;
    const char* m_type;
    const char* m_message;
    caller::run_outcome m_outcome;
};

error_template error_template_for(dispatch::refusal reason)
{
    using caller::run_outcome;
    switch (reason) {
        case dispatch::refusal::no_able_upstream:
            return {503, "upstream_error", "no upstream that can serve this request is there",
                    run_outcome::not_run};
        case dispatch::refusal::overloaded:
            return {429, "overloaded_error", "there is more work than the upstreams can do",
                    run_outcome::not_run};
        case dispatch::refusal::deadline_passed:
            return {504, "timeout_error", "the request's time ran out before it could begin",
                    run_outcome::not_run};
        case dispatch::refusal::retries_exhausted:
            return {503, "upstream_error", "no upstream took the request", run_outcome::not_run};
        case dispatch::refusal::maybe_run:
            return {502, "upstream_error",
                    "the upstream was lost while the request may have been running",
                    run_outcome::unknown};
        case dispatch::refusal::backing_off:
            return {503, "upstream_error", "all upstreams that can serve this request want a pause",
                    run_outcome::not_run};
        case dispatch::refusal::quarantined:
            break;
    }
    return {503, "quarantine_error", "requests with this content ended their upstreams",
            run_outcome::not_run};
}

/// The error for a request that some upstream may have run: the status must not promise that none
/// did.
error_template to_possibly_run(const error_template& plain)
{
    const bool is_timeout = plain.m_status == 504;
    return {is_timeout ? 504 : 502, plain.m_type,
            "no attempt was answered, and the request may have run", caller::run_outcome::unknown};
}

}  // namespace

caller::error to_error(const dispatch::action& refusal, bool may_have_run, time_point now)
{
    auto text = error_template_for(refusal.m_refusal);
    if (may_have_run) {
        // The reason of the refusal says nothing about earlier attempts, which may have run.
        text = to_possibly_run(text);
    }
    caller::error fault;
    fault.m_status = text.m_status;
    fault.m_type = text.m_type;
    fault.m_code = dispatch::to_string(refusal.m_refusal);
    fault.m_message = text.m_message;
    fault.m_outcome = text.m_outcome;
    if (text.m_outcome == caller::run_outcome::not_run && refusal.m_retry_at > now) {
        fault.m_retry_after = refusal.m_retry_at - now;
    }
    return fault;
}

caller::error no_selector(const configuration::label_set& labels)
{
    auto fault =
        caller::bad_request("no_selector", "no selector matches a request with these labels: " +
                                               configuration::to_string(labels));
    fault.m_status = 404;
    fault.m_outcome = caller::run_outcome::not_run;
    return fault;
}

caller::error unconfirmed_configuration()
{
    caller::error fault;
    fault.m_status = 503;
    fault.m_type = "upstream_error";
    fault.m_code = "unconfirmed_configuration";
    fault.m_message = "whether a newer configuration admits this request can't be told now";
    fault.m_outcome = caller::run_outcome::not_run;
    fault.m_retry_after = std::chrono::milliseconds(500);
    return fault;
}

caller::error not_authorized()
{
    auto fault = caller::bad_request("not_authorized", "a valid bearer token is needed");
    fault.m_status = 401;
    fault.m_type = "authentication_error";
    fault.m_outcome = caller::run_outcome::not_run;
    return fault;
}

caller::error unknown_workspace()
{
    auto fault = caller::bad_request("unknown_workspace",
                                     "there is no workspace of this name in the configuration",
                                     "X-Dewbeam-Workspace");
    fault.m_outcome = caller::run_outcome::not_run;
    return fault;
}

caller::error key_required(const std::string& selector)
{
    auto fault = caller::bad_request(
        "idempotency_key_required",
        "requests of selector '" + selector + "' need an Idempotency-Key", "Idempotency-Key");
    fault.m_outcome = caller::run_outcome::not_run;
    return fault;
}

caller::error deadline_exceeded()
{
    caller::error fault;
    fault.m_status = 504;
    fault.m_type = "timeout_error";
    fault.m_code = "deadline_exceeded";
    fault.m_message = "the request's time ran out while it was running";
    fault.m_outcome = caller::run_outcome::unknown;
    return fault;
}

caller::error broken_stream()
{
    caller::error fault;
    fault.m_status = 502;
    fault.m_type = "upstream_error";
    fault.m_code = "broken_stream";
    fault.m_message = "the upstream's answer broke off and can't be continued";
    fault.m_outcome = caller::run_outcome::unknown;
    return fault;
}

caller::error claim_refused(wire::ClaimReply::Decision decision)
{
    caller::error fault;
    fault.m_type = "idempotency_error";
    fault.m_param = "Idempotency-Key";
    fault.m_status = 409;
    fault.m_outcome = caller::run_outcome::unknown;
    switch (decision) {
        case wire::ClaimReply::DECISION_RUNNING:
            fault.m_code = "still_running";
            fault.m_message = "a request with this key is still running";
            fault.m_retry_after = std::chrono::seconds(1);
            return fault;
        case wire::ClaimReply::DECISION_FINISHED:
            fault.m_code = "answer_not_held";
            fault.m_message = "a request with this key has run; its answer is no longer held";
            return fault;
        case wire::ClaimReply::DECISION_UNKNOWN:
            fault.m_code = "maybe_run";
            fault.m_message = "a request with this key may have run and is not run again";
            return fault;
        case wire::ClaimReply::DECISION_MISMATCH:
            fault.m_status = 422;
            fault.m_code = "key_reused";
            fault.m_message = "this key was used for another request";
            fault.m_outcome = caller::run_outcome::not_run;
            return fault;
        default:
            break;
    }
    fault.m_status = 503;
    fault.m_code = "no_quorum";
    fault.m_message = "the key can't be claimed now, so the request was not run";
    fault.m_outcome = caller::run_outcome::not_run;
    fault.m_retry_after = std::chrono::seconds(1);
    return fault;
}

caller::error stopping(bool may_have_run)
{
    caller::error fault;
    fault.m_status = may_have_run ? 504 : 503;
    fault.m_type = "upstream_error";
    fault.m_code = "stopping";
    fault.m_message = "this entry stops before the request can be finished";
    fault.m_outcome = may_have_run ? caller::run_outcome::unknown : caller::run_outcome::not_run;
    if (!may_have_run) {
        fault.m_retry_after = std::chrono::milliseconds(100);  // another entry can serve it
    }
    return fault;
}

caller::error not_ready()
{
    caller::error fault;
    fault.m_status = 503;
    fault.m_type = "upstream_error";
    fault.m_code = "not_ready";
    fault.m_message = "this entry does not take requests now";
    fault.m_outcome = caller::run_outcome::not_run;
    fault.m_retry_after = std::chrono::seconds(1);
    return fault;
}

}  // namespace dewbeam::entry
