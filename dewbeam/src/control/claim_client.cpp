#include "dewbeam/src/control/claim_client.h"

#include <utility>

#include "dewbeam/src/control/claim_wire.h"

namespace dewbeam::control {

namespace {

constexpr std::chrono::milliseconds ask_again_after{1000};
constexpr std::chrono::milliseconds claim_limit{4000};
constexpr std::chrono::milliseconds send_again_after{1000};
/// Beyond this the oldest results are dropped: their keys stay claimed and answer "unknown".
constexpr std::size_t most_unrecorded = 10'000;

claim_reply to_reply(const wire::ClaimReply& source)
{
    claim_reply result;
    result.m_decision = source.decision();
    result.m_holder = link::from_wire(source.attempt());
    result.m_answer = read_kept_answer(source);
    return result;
}

wire::ClaimResult not_run(const wire::ClaimRequest& request)
{
    wire::ClaimResult result;
    result.set_key(request.key());
    *result.mutable_attempt() = request.attempt();
    result.set_outcome(wire::OUTCOME_NOT_RUN);
    return result;
}

}  // namespace

claim_client::claim_client(std::vector<std::string> controls) : m_controls(std::move(controls)) {}

std::string claim_client::next_control()
{
    m_in_use = (m_in_use + 1) % m_controls.size();
    return m_controls[m_in_use];
}

void claim_client::send(link::node& node, const wire::ClaimRequest& request)
{
    wire::Envelope message;
    *message.mutable_claim_request() = request;
    node.send(m_controls[m_in_use], std::move(message));
}

void claim_client::send(link::node& node, const wire::ClaimResult& result)
{
    wire::Envelope message;
    *message.mutable_claim_result() = result;
    node.send(m_controls[m_in_use], std::move(message));
}

void claim_client::claim(link::node& node, const claims::claim_key& key, const attempt_id& attempt,
                         fingerprint content, claim_handler done, time_point now)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_controls.empty()) {
            pending_claim pending;
            pending.m_request.set_request(++m_last_request);
            pending.m_request.set_key(key.value());
            link::to_wire(attempt, *pending.m_request.mutable_attempt());
            pending.m_request.set_fingerprint(content.value());
            pending.m_done = std::move(done);
            pending.m_ask_again_at = now + ask_again_after;
            pending.m_deadline = now + claim_limit;
            send(node, pending.m_request);
            m_claims.emplace(m_last_request, std::move(pending));
            return;
        }
    }
    done({});
}

void claim_client::report(link::node& node, wire::ClaimResult result, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_controls.empty()) {
        return;
    }
    result.set_request(++m_last_request);
    send(node, result);
    m_results.emplace(m_last_request, pending_result{std::move(result), now + send_again_after});
    if (m_results.size() > most_unrecorded) {
        m_results.erase(m_results.begin());
    }
}

void claim_client::take(link::node& node, const wire::ClaimReply& reply, bool hears_quorum,
                        time_point now)
{
    pending_claim ended;
    {
        const std::lock_guard lock(m_mutex);
        const auto place = m_claims.find(reply.request());
        if (place == m_claims.end()) {
            return;
        }
        auto& pending = place->second;
        const bool may_ask_another = hears_quorum && pending.m_refusals + 1 < m_controls.size();
        if (reply.decision() == wire::ClaimReply::DECISION_NO_QUORUM && may_ask_another) {
            ++pending.m_refusals;
            next_control();
            send(node, pending.m_request);
            return;
        }
        ended = std::move(place->second);
        m_claims.erase(place);
    }
    if (reply.decision() == wire::ClaimReply::DECISION_NO_QUORUM) {
        report(node, not_run(ended.m_request), now);
    }
    ended.m_done(to_reply(reply));
}

void claim_client::take(const wire::ClaimResultReply& reply)
{
    const std::lock_guard lock(m_mutex);
    if (reply.recorded()) {
        m_results.erase(reply.request());
    }
}

void claim_client::tick(link::node& node, time_point now)
{
    std::vector<pending_claim> given_up;
    {
        const std::lock_guard lock(m_mutex);
        for (auto place = m_claims.begin(); place != m_claims.end();) {
            auto& pending = place->second;
            if (pending.m_deadline <= now) {
                given_up.push_back(std::move(pending));
                place = m_claims.erase(place);
                continue;
            }
            if (pending.m_ask_again_at <= now) {
                pending.m_ask_again_at = now + ask_again_after;
                next_control();
                send(node, pending.m_request);
            }
            ++place;
        }
        for (auto& [number, pending] : m_results) {
            if (pending.m_send_again_at <= now) {
                pending.m_send_again_at = now + send_again_after;
                next_control();
                send(node, pending.m_result);
            }
        }
    }
    for (auto& pending : given_up) {
        report(node, not_run(pending.m_request), now);
        pending.m_done({});
    }
}

void claim_client::peer_lost(link::node& node, const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    if (m_controls.empty() || m_controls[m_in_use] != address) {
        return;
    }
    next_control();
    for (const auto& [number, pending] : m_claims) {
        send(node, pending.m_request);
    }
}

std::size_t claim_client::unrecorded() const
{
    const std::lock_guard lock(m_mutex);
    return m_results.size();
}

}  // namespace dewbeam::control
