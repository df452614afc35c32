#include "dewbeam/src/load/runner.h"

#include <absl/strings/numbers.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "dewbeam/http"

namespace dewbeam::load {

namespace {

namespace asio = boost::asio;
using std::chrono::steady_clock;

constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr std::size_t most_idle_connections = 256;
constexpr std::size_t most_answer_bytes = 16U << 20U;

/// One planned request while it runs.
struct running_request {
    planned_request m_planned;
    steady_clock::time_point m_arrival;
    steady_clock::time_point m_first_byte{};  ///< epoch: none yet
    asio::steady_timer m_deadline;
    asio::steady_timer m_resend;
    std::shared_ptr<http::client_exchange> m_exchange;
    std::uint64_t m_resends = 0;
    int m_status = 0;
    http::fields m_head{};
    std::string m_body{};
    bool m_is_over = false;

    running_request(asio::io_context& context, planned_request planned,
                    steady_clock::time_point arrival)
        : m_planned(std::move(planned)), m_arrival(arrival), m_deadline(context), m_resend(context)
    {
    }
};

using request_pointer = std::shared_ptr<running_request>;

time_span since(steady_clock::time_point start, steady_clock::time_point end)
{
    return std::chrono::floor<time_span>(end - start);
}

/// Drives all requests on one thread.
class runner {
public:
    explicit runner(const experiment& wanted)
        : m_wanted(wanted),
          m_plan(plan_requests(wanted)),
          m_found(make_results(wanted)),
          m_arrival_timer(m_context),
          m_start(steady_clock::now())
    {
        http::client_options options;
        options.m_silence_limit = wanted.m_time_limit;
        options.m_most_idle = most_idle_connections;
        for (const auto& entry : wanted.m_entries) {
            m_clients.push_back(std::make_unique<http::client>(m_context, entry, options));
        }
    }

    results run()
    {
        schedule_next();
        while (m_ended < m_plan.size() && m_context.run_one() > 0) {
        }
        return std::move(m_found);
    }

private:
    void schedule_next()
    {
        if (m_next == m_plan.size()) {
            return;
        }
        m_arrival_timer.expires_at(m_start + m_plan[m_next].m_at);
        m_arrival_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                begin(m_plan[m_next++]);
                schedule_next();
            }
        });
    }

    void begin(planned_request& planned)
    {
        const auto arrival = m_start + planned.m_at;
        m_found.m_latest_send =
            std::max(m_found.m_latest_send, since(arrival, steady_clock::now()));
        auto one = std::make_shared<running_request>(m_context, std::move(planned), arrival);
        one->m_deadline.expires_at(arrival + m_wanted.m_time_limit);
        one->m_deadline.async_wait([this, one](const boost::system::error_code& error) {
            if (!error) {
                finish(one, ending::timed_out, verdict::right);
            }
        });
        send(one);
    }

    [[nodiscard]] const work& work_of(const request_pointer& one) const
    {
        return m_wanted.m_work[one->m_planned.m_work];
    }

    [[nodiscard]] http::request make_request(const request_pointer& one) const
    {
        const auto& kind = work_of(one);
        http::request request{"POST",
                              kind.m_path,
                              {{"Content-Type", "application/json"}},
                              request_body(kind, one->m_planned)};
        if (!one->m_planned.m_workspace.empty()) {
            request.m_fields.push_back({"X-Dewbeam-Workspace", one->m_planned.m_workspace});
        }
        if (!kind.m_labels.empty()) {
            request.m_fields.push_back({"X-Dewbeam-Labels", kind.m_labels});
        }
        if (kind.m_has_key) {
            request.m_fields.push_back({"Idempotency-Key", one->m_planned.m_marker});
        }
        return request;
    }

    void send(const request_pointer& one)
    {
        one->m_status = 0;
        one->m_body.clear();
        http::client_handlers handlers;
        handlers.m_on_head = [one](int status, const http::fields& head) {
            one->m_status = status;
            one->m_head = head;
        };
        handlers.m_on_data = [this, one](std::string bytes) { take(one, std::move(bytes)); };
        handlers.m_on_end = [this, one](const absl::Status& status, http::progress) {
            end(one, status);
        };
        auto& client = *m_clients[m_turn++ % m_clients.size()];
        one->m_exchange = client.start(make_request(one), std::move(handlers));
    }

    void take(const request_pointer& one, std::string bytes)
    {
        if (one->m_first_byte == steady_clock::time_point{}) {
            one->m_first_byte = steady_clock::now();
        }
        one->m_body += bytes;
        if (one->m_body.size() > most_answer_bytes) {
            finish(one, ending::wrong, verdict::malformed);
        }
    }

    void end(const request_pointer& one, const absl::Status& status)
    {
        if (one->m_is_over) {
            return;
        }
        if (one->m_status == status_ok) {
            judge(one, status.ok());
        }
        else if (!resend_later(one)) {
            finish(one, one->m_status == 0 ? ending::failed : ending::refused, verdict::right);
        }
    }

    /// An answer that broke off in the open, or ended with an error event, failed; one that looks
    /// whole must be right.
    void judge(const request_pointer& one, bool looks_whole)
    {
        const auto& kind = work_of(one);
        const bool is_stream = kind.m_streams && !kind.m_model.empty();
        const auto found = is_stream ? judge_stream(kind, one->m_planned, one->m_body)
                                     : judge_whole(kind, one->m_planned, one->m_body);
        if (found == verdict::right && looks_whole) {
            finish(one, ending::answered, found);
        }
        else if (found == verdict::ended_with_error ||
                 (!looks_whole && found != verdict::foreign)) {
            finish(one, ending::failed, found);
        }
        else {
            finish(one, ending::wrong, found);
        }
    }

    bool resend_later(const request_pointer& one)
    {
        const bool may_come_back =
            one->m_status == status_too_many || one->m_status == status_unavailable;
        std::int64_t seconds = 0;
        const auto text = std::string(http::find_field(one->m_head, "Retry-After"));
        if (!may_come_back || one->m_resends >= m_wanted.m_most_resends ||
            !absl::SimpleAtoi(text, &seconds) || seconds < 0) {
            return false;
        }
        ++one->m_resends;
        one->m_resend.expires_after(std::chrono::seconds(seconds));
        one->m_resend.async_wait([this, one](const boost::system::error_code& error) {
            if (!error && !one->m_is_over) {
                send(one);
            }
        });
        return true;
    }

    void finish(const request_pointer& one, ending kind, verdict found)
    {
        if (one->m_is_over) {
            return;
        }
        one->m_is_over = true;
        ++m_ended;
        one->m_deadline.cancel();
        one->m_resend.cancel();
        if (one->m_exchange != nullptr && kind == ending::timed_out) {
            one->m_exchange->cancel();
        }
        const auto now = steady_clock::now();
        add(m_found, {one->m_planned.m_work, kind, found, one->m_status, one->m_resends,
                      since(one->m_arrival, one->m_first_byte), since(one->m_arrival, now),
                      one->m_planned.m_marker});
    }

    const experiment& m_wanted;
    std::vector<planned_request> m_plan;
    results m_found;
    asio::io_context m_context;
    asio::steady_timer m_arrival_timer;
    steady_clock::time_point m_start;
    std::vector<std::unique_ptr<http::client>> m_clients;
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
    std::size_t m_turn = 0;
};

}  // namespace

results run(const experiment& wanted)
{
    return runner(wanted).run();
}

}  // namespace dewbeam::load
