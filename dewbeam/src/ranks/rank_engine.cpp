#include "dewbeam/src/ranks/rank_engine.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dewbeam::ranks {

namespace {

using group_map::order_kind;

/// A refusal says that a higher fencing number was seen, but not which.
constexpr std::uint64_t fencing_jump = 10 * group_map::orders_per_epoch;

/// An engine next to its agent answers within about 10 ms.
constexpr std::chrono::milliseconds copy_interval{25};
constexpr int max_copies = 6;

/// Group 0 means that none is known.
incarnation to_group(std::uint64_t formation)
{
    return incarnation(formation + 1);
}

std::uint64_t to_formation(incarnation group)
{
    return group.value() == 0 ? 0 : group.value() - 1;
}

}  // namespace

group_map::engine_state to_state(const rank_report& report)
{
    group_map::engine_state result;
    result.m_group = to_group(report.m_formation);
    result.m_step = group_map::step_number(report.m_step.value() + 1);
    result.m_current = group_map::map_of_number(report.m_map);
    if (report.m_prepared) {
        result.m_staged = group_map::map_of_number(*report.m_prepared);
    }
    if (report.m_armed) {
        result.m_armed = group_map::switch_point{group_map::map_of_number(report.m_armed->m_map),
                                                 report.m_armed->m_step};
        result.m_switching = !report.m_held;
    }
    else if (report.m_held) {
        result.m_armed = group_map::switch_point{result.m_staged, *report.m_held};
    }
    return result;
}

std::vector<rank_order> to_rank_orders(const group_map::engine_order& order,
                                       std::uint64_t formation, const placement* content,
                                       bool must_raise)
{
    using kind = rank_order::kind;
    const auto make = [&](kind wanted) {
        rank_order result;
        result.m_kind = wanted;
        result.m_fencing = order.m_number;
        result.m_formation = formation;
        result.m_map = order.m_target.m_map.m_number;
        result.m_step = order.m_target.m_step;
        result.m_placement = content;
        return result;
    };
    switch (order.m_kind) {
        case order_kind::read:
            // A `go` for a step that started long ago only raises the highest number seen.
            return must_raise || order.m_raises_fencing ? std::vector{make(kind::go)}
                                                        : std::vector<rank_order>();
        case order_kind::stage:
            return {make(kind::prepare)};
        case order_kind::hold:
            return {make(kind::hold)};
        case order_kind::switch_map:
            return {make(kind::arm), make(kind::go)};
        case order_kind::release:
            // Without a prepared map nothing can be armed; map 0 is in use from the start.
            return order.m_target.m_map.m_number == 0
                       ? std::vector{make(kind::go)}
                       : std::vector{make(kind::disarm), make(kind::go)};
    }
    return {};
}

/// An order of the protocol that is in progress.
struct rank_engine::pending_order {
    explicit pending_order(boost::asio::io_context& context) : m_next_copy(context) {}

    group_map::engine_order m_order;
    placement m_content;
    std::vector<rank_order> m_orders;
    std::size_t m_next_index = 0;  ///< index in `m_orders` of the next one to send
    // Guarded by the engine's mutex:
    std::size_t m_answered = 0;  ///< number of `m_orders` answered; the report counts as one more
    std::vector<std::shared_ptr<http::client_exchange>> m_copies;  ///< in flight
    boost::asio::steady_timer m_next_copy;
    bool m_is_accepted = true;
    fencing_number m_highest;
    group::order_done m_done;
};

rank_engine::rank_engine(boost::asio::io_context& context, const endpoint& address,
                         const http::client_options& options, const rank_format& format)
    : m_context(context), m_client(context, address, options), m_format(format)
{
}

void rank_engine::send(const group_map::engine_order& order, group::order_done done)
{
    auto pending = std::make_shared<pending_order>(m_context);
    pending->m_order = order;
    pending->m_highest = order.m_number;
    pending->m_done = std::move(done);
    if (order.m_content) {
        auto content = placement_from_json(*order.m_content);
        if (!content.ok()) {
            pending->m_done(content.status());
            return;
        }
        pending->m_content = *std::move(content);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_is_newest_order_harmless = order.m_kind == order_kind::stage ||
                                     (order.m_kind == order_kind::read && !order.m_raises_fencing);
        m_pending_order = pending;
        pending->m_orders =
            to_rank_orders(order, to_formation(order.m_group), &pending->m_content, m_must_raise);
    }
    send_next(pending);
}

bool rank_engine::track_copy(pending_order& pending, std::size_t index,
                             std::shared_ptr<http::client_exchange> exchange)
{
    const std::lock_guard lock(m_mutex);
    if (pending.m_answered > index || m_pending_order.get() != &pending) {
        return false;
    }
    pending.m_copies.push_back(std::move(exchange));
    return true;
}

/// Records the answer to the order at `index` and cancels its other copies. Only the first answer
/// counts; returns false for later ones.
bool rank_engine::claim_answer(pending_order& pending, std::size_t index)
{
    std::vector<std::shared_ptr<http::client_exchange>> others;
    {
        const std::lock_guard lock(m_mutex);
        if (pending.m_answered > index) {
            return false;
        }
        pending.m_answered = index + 1;
        others.swap(pending.m_copies);
        pending.m_next_copy.cancel();
    }
    for (const auto& copy : others) {
        copy->cancel();
    }
    return true;
}

/// Calls the engine. Only the first result of the calls with the same `index` counts.
std::shared_ptr<http::client_exchange> rank_engine::call(
    const std::shared_ptr<pending_order>& pending, std::size_t index, const http::request& wanted,
    std::function<void(const http::response&)> on_answer)
{
    return http::call(
        m_client, wanted,
        [this, self = shared_from_this(), pending, index,
         on_answer = std::move(on_answer)](const absl::StatusOr<http::response>& reply) {
            if (!claim_answer(*pending, index)) {
                return;
            }
            if (!reply.ok()) {
                pending->m_done(reply.status());
                return;
            }
            on_answer(*reply);
        });
}

void rank_engine::send_next(const std::shared_ptr<pending_order>& pending)
{
    if (pending->m_next_index == pending->m_orders.size()) {
        report(pending);
        return;
    }
    send_copy(pending, pending->m_next_index++, 1);
}

/// Sends the order, and repeats it until one of its copies is answered or the maximum is reached.
/// An engine that loses answers or delays orders does so independently for each, so one of a few
/// copies is answered soon. A copy that arrives late is refused for its fencing number: whatever
/// follows a `hold` or `arm` order always has a higher one.
void rank_engine::send_copy(const std::shared_ptr<pending_order>& pending, std::size_t index,
                            int copy)
{
    const auto order = m_format.m_order_call(pending->m_orders[index]);
    auto exchange = call(pending, index, order, [this, pending](const http::response& reply) {
        after_order(pending, m_format.m_read_order_result(reply.m_status));
    });
    if (!track_copy(*pending, index, std::move(exchange)) || copy == max_copies) {
        return;
    }
    const std::lock_guard lock(m_mutex);  // timers are not thread-safe
    pending->m_next_copy.expires_after(copy_interval);
    pending->m_next_copy.async_wait([this, self = shared_from_this(), pending, index,
                                     copy](const boost::system::error_code& stopped) {
        if (!stopped && is_waiting(*pending, index)) {
            send_copy(pending, index, copy + 1);
        }
    });
}

bool rank_engine::is_waiting(const pending_order& pending, std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    return pending.m_answered == index && m_pending_order.get() == &pending;
}

void rank_engine::after_order(const std::shared_ptr<pending_order>& pending, order_result result)
{
    switch (result) {
        case order_result::done:
            note_fencing_raised(*pending);
            send_next(pending);
            return;
        case order_result::unclear:
            pending->m_done(absl::UnavailableError("the engine's answer has an unexpected status"));
            return;
        case order_result::fenced:
            pending->m_highest = fencing_number(pending->m_order.m_number.value() + fencing_jump);
            break;
        case order_result::refused:
            break;
    }
    const auto& order = pending->m_orders[pending->m_next_index - 1];
    log_event(log_level::info, "order_refused",
              {{"kind", to_string(order.m_kind)},
               {"map", order.m_map},
               {"step", order.m_step.value()},
               {"formation", order.m_formation},
               {"fencing", order.m_fencing.value()},
               {"fenced", result == order_result::fenced}});
    pending->m_is_accepted = false;
    report(pending);
}

void rank_engine::report(const std::shared_ptr<pending_order>& pending)
{
    const auto index = pending->m_orders.size();
    auto exchange =
        call(pending, index, m_format.m_report_call(),
             [this, pending](const http::response& reply) { take_report(*pending, reply); });
    track_copy(*pending, index, std::move(exchange));
}

void rank_engine::take_report(const pending_order& pending, const http::response& reply) const
{
    const auto read = m_format.m_read_report(reply.m_body);
    if (!read.ok()) {
        pending.m_done(read.status());
        return;
    }
    if (!read->m_is_open) {
        pending.m_done(absl::UnavailableError("the engine reports that its group is not running"));
        return;
    }
    group_map::engine_answer answer;
    answer.m_number = pending.m_order.m_number;
    answer.m_accepted = pending.m_is_accepted;
    answer.m_highest = pending.m_highest;
    answer.m_state = to_state(*read);
    pending.m_done(answer);
}

void rank_engine::note_fencing_raised(const pending_order& pending)
{
    const std::lock_guard lock(m_mutex);
    if (m_pending_order.get() == &pending) {
        m_must_raise = false;
    }
}

void rank_engine::cancel()
{
    std::vector<std::shared_ptr<http::client_exchange>> copies;
    {
        const std::lock_guard lock(m_mutex);
        // A `prepare` that arrives late changes no map; at worst it is refused for its old number.
        // A read sends no order.
        m_must_raise |= !m_is_newest_order_harmless;
        if (m_pending_order) {
            copies = m_pending_order->m_copies;
        }
    }
    for (const auto& copy : copies) {
        copy->cancel();
    }
}

}  // namespace dewbeam::ranks
