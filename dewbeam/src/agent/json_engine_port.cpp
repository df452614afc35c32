#include "dewbeam/src/agent/json_engine_port.h"

#include <utility>

#include "dewbeam/src/engine/order_json.h"

namespace dewbeam::agent {

namespace {

constexpr int status_ok = 200;

absl::StatusOr<group_map::engine_answer> read_answer(const absl::StatusOr<http::response>& got)
{
    if (!got.ok()) {
        return got.status();
    }
    if (got->m_status != status_ok) {
        return absl::UnavailableError("the order got no answer");
    }
    return engine::answer_from_json(got->m_body);
}

}  // namespace

void json_engine_port::send(const group_map::engine_order& order, group::order_done done)
{
    http::request wanted{
        "POST", "/orders", {{"Content-Type", "application/json"}}, engine::order_to_json(order)};
    auto exchange = http::call(m_client, std::move(wanted),
                               [done = std::move(done)](const absl::StatusOr<http::response>& got) {
                                   done(read_answer(got));
                               });
    const std::lock_guard lock(m_mutex);
    if (order.m_number > m_newest) {
        m_newest = order.m_number;
        m_exchange = std::move(exchange);
    }
}

void json_engine_port::cancel()
{
    const std::lock_guard lock(m_mutex);
    if (m_exchange) {
        std::exchange(m_exchange, nullptr)->cancel();
    }
}

}  // namespace dewbeam::agent
