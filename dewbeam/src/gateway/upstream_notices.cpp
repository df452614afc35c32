#include "dewbeam/src/gateway/upstream_notices.h"

#include <algorithm>

#include "dewbeam/src/gateway/forwarder.h"

namespace dewbeam::gateway {

namespace {

std::int64_t to_milliseconds(time_span value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void count_notice(gateway_metrics& metrics, const answer_head& answer)
{
    if (answer.m_backoff) {
        metrics.upstream_notice(answer.m_backoff->m_span ? "backoff" : "unreadable_backoff");
    }
    if (answer.m_is_leaving) {
        metrics.upstream_notice("leaving");
    }
}

notices::notice to_notice(const backoff_limits& limits, const sent_attempt& sent,
                          const answer_head& answer, time_point now)
{
    notices::notice result{sent.m_upstream, sent.m_incarnation, {}, answer.m_is_leaving};
    if (answer.m_backoff) {
        const auto asked = answer.m_backoff->m_span.value_or(limits.m_unreadable);
        result.m_backoff_until = now + std::min(asked, limits.m_longest);
    }
    return result;
}

}  // namespace

void apply_notice(gateway_state& state, const gateway_request::facts& known,
                  const sent_attempt& sent, const answer_head& answer, time_point now)
{
    if (!answer.m_backoff && !answer.m_is_leaving) {
        return;
    }
    count_notice(state.m_metrics, answer);
    const auto heard = to_notice(state.m_backoff_limits, sent, answer, now);
    if (!state.m_upstreams.note_notice(heard, now)) {
        return;
    }
    const bool is_readable = answer.m_backoff && answer.m_backoff->m_span;
    log_event(answer.m_backoff && !is_readable ? log_level::warning : log_level::info,
              "upstream_notice",
              {{"request", known.m_request_id},
               {"attempt", sent.m_number.value()},
               {"upstream", sent.m_upstream.value()},
               {"incarnation", sent.m_incarnation.value()},
               {"status", answer.m_status},
               {"backoff_ms", answer.m_backoff ? to_milliseconds(heard.m_backoff_until - now) : 0},
               {"readable", !answer.m_backoff || is_readable},
               {"leaving", answer.m_is_leaving}});
    update_broker(state, sent.m_upstream, now);
}

std::string name_closed_by_notices(const gateway_state& state, const std::string& pool,
                                   time_point now)
{
    constexpr std::size_t most_named = 8;
    std::string result;
    std::size_t count = 0;
    for (const auto& closed : state.m_upstreams.closed_by_notices(now)) {
        if (closed.m_pool != pool || ++count > most_named) {
            continue;
        }
        result += result.empty() ? "" : ",";
        result += closed.m_name.value() + ":";
        result += closed.m_is_leaving
                      ? "leaving"
                      : std::to_string(to_milliseconds(closed.m_backoff_until - now));
    }
    return count > most_named ? result + ",..." : result;
}

}  // namespace dewbeam::gateway
