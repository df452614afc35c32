#include "dewbeam/src/ranks/rank_engine.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dewbeam::ranks {

namespace {

using group_map::order_kind;

/// A refused fencing number says that a higher one was seen, not which. Numbers count microseconds
/// of the wall clock at a process's start, so this jumps over lives that began later by a clock
/// that was ahead.
constexpr std::uint64_t fencing_jump = 10'000'000;

/// An engine beside its agent answers within some 10 ms.
constexpr std::chrono::milliseconds copy_interval{25};
constexpr int most_copies = 6;

}  // namespace

group_map::engine_state to_state(const rank_report& report)
{
    group_map::engine_state result;
    result.m_group = incarnation(report.m_formation + 1);  // 0 stands for no group
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
            // Going on at a step that has long begun changes nothing but the highest number seen.
            return must_raise ? std::vector{make(kind::go)} : std::vector<rank_order>();
        case order_kind::stage:
            return {make(kind::prepare)};
        case order_kind::hold:
            return {make(kind::hold)};
        case order_kind::switch_map:
            return {make(kind::arm), make(kind::go)};
        case order_kind::release:
            // Without a prepared map nothing can be armed, and number 0 is in use from the start.
            return order.m_target.m_map.m_number == 0
                       ? std::vector{make(kind::go)}
                       : std::vector{make(kind::disarm), make(kind::go)};
    }
    return {};
}

/// One order of the protocol under way.
struct rank_engine::errand {
    explicit errand(boost::asio::io_context& context) : m_next_copy(context) {}

    group_map::engine_order m_order;
    placement m_content;
    std::vector<rank_order> m_orders;
    std::size_t m_next = 0;  ///< of `m_orders`, to be sent
    // Under the engine's mutex:
    std::size_t m_settled = 0;  ///< of `m_orders`, answered; the report comes behind them
    std::vector<std::shared_ptr<http::client_exchange>> m_copies;  ///< of the order under way
    boost::asio::steady_timer m_next_copy;
    bool m_is_accepted = true;
    fencing_number m_highest;
    group::order_done m_done;
};

rank_engine::rank_engine(boost::asio::io_context& context, const endpoint& address,
                         const http::client_options& options, const rank_format& format,
                         std::shared_ptr<const std::atomic<std::uint64_t>> formation)
    : m_context(context),
      m_client(context, address, options),
      m_format(format),
      m_formation(std::move(formation))
{
}

void rank_engine::send(const group_map::engine_order& order, group::order_done done)
{
    auto subject = std::make_shared<errand>(m_context);
    subject->m_order = order;
    subject->m_highest = order.m_number;
    subject->m_done = std::move(done);
    if (order.m_content) {
        auto content = placement_from_json(*order.m_content);
        if (!content.ok()) {
            subject->m_done(content.status());
            return;
        }
        subject->m_content = *std::move(content);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_newest = std::max(m_newest, order.m_number);
        m_is_newest_harmless = order.m_kind == order_kind::stage;
        m_under_way = subject;
        subject->m_orders = to_rank_orders(order, *m_formation, &subject->m_content, m_must_raise);
    }
    next(subject);
}

bool rank_engine::keep(errand& subject, std::size_t place,
                       std::shared_ptr<http::client_exchange> exchange)
{
    const std::lock_guard lock(m_mutex);
    if (subject.m_settled > place || subject.m_order.m_number != m_newest) {
        return false;
    }
    subject.m_copies.push_back(std::move(exchange));
    return true;
}

/// Only the first answer to an order counts.
bool rank_engine::settle(errand& subject, std::size_t place)
{
    std::vector<std::shared_ptr<http::client_exchange>> others;
    {
        const std::lock_guard lock(m_mutex);
        if (subject.m_settled > place) {
            return false;
        }
        subject.m_settled = place + 1;
        others.swap(subject.m_copies);
        subject.m_next_copy.cancel();
    }
    for (const auto& copy : others) {
        copy->cancel();
    }
    return true;
}

/// Calls the engine; only the first end of a call at this place counts.
std::shared_ptr<http::client_exchange> rank_engine::call(
    const std::shared_ptr<errand>& subject, std::size_t place, const http::request& wanted,
    std::function<void(const http::response&)> on_answer)
{
    return http::call(
        m_client, wanted,
        [this, self = shared_from_this(), subject, place,
         on_answer = std::move(on_answer)](const absl::StatusOr<http::response>& got) {
            if (!settle(*subject, place)) {
                return;
            }
            if (!got.ok()) {
                subject->m_done(got.status());
                return;
            }
            on_answer(*got);
        });
}

void rank_engine::next(const std::shared_ptr<errand>& subject)
{
    if (subject->m_next == subject->m_orders.size()) {
        report(subject);
        return;
    }
    send_copy(subject, subject->m_next++, 1);
}

/// Sends the order once more for as long as no copy of it is answered. An engine that loses answers
/// or puts orders off does so with each one by itself, so that one of a few copies is answered
/// soon. A copy that lands late is refused for its fencing number: what follows an order that holds
/// or arms always has a higher one.
void rank_engine::send_copy(const std::shared_ptr<errand>& subject, std::size_t place, int copy)
{
    const auto order = m_format.m_order_call(subject->m_orders[place]);
    auto exchange = call(subject, place, order, [this, subject](const http::response& got) {
        after_order(subject, m_format.m_read_order_result(got.m_status));
    });
    if (!keep(*subject, place, std::move(exchange)) || copy == most_copies) {
        return;
    }
    const std::lock_guard lock(m_mutex);  // a timer is no object for several threads
    subject->m_next_copy.expires_after(copy_interval);
    subject->m_next_copy.async_wait([this, self = shared_from_this(), subject, place,
                                     copy](const boost::system::error_code& stopped) {
        if (!stopped && is_waiting(*subject, place)) {
            send_copy(subject, place, copy + 1);
        }
    });
}

bool rank_engine::is_waiting(const errand& subject, std::size_t place)
{
    const std::lock_guard lock(m_mutex);
    return subject.m_settled == place && subject.m_order.m_number == m_newest;
}

void rank_engine::after_order(const std::shared_ptr<errand>& subject, order_result result)
{
    switch (result) {
        case order_result::done:
            note_raised(*subject);
            next(subject);
            return;
        case order_result::unclear:
            subject->m_done(absl::UnavailableError("the engine's answer says nothing"));
            return;
        case order_result::fenced:
            subject->m_highest = fencing_number(subject->m_order.m_number.value() + fencing_jump);
            break;
        case order_result::refused:
            break;
    }
    const auto& order = subject->m_orders[subject->m_next - 1];
    log_event(log_level::info, "order_refused",
              {{"kind", to_string(order.m_kind)},
               {"map", order.m_map},
               {"step", order.m_step.value()},
               {"formation", order.m_formation},
               {"fencing", order.m_fencing.value()},
               {"fenced", result == order_result::fenced}});
    subject->m_is_accepted = false;
    report(subject);
}

void rank_engine::report(const std::shared_ptr<errand>& subject)
{
    const auto place = subject->m_orders.size();
    auto exchange =
        call(subject, place, m_format.m_report_call(),
             [this, subject](const http::response& got) { take_report(*subject, got); });
    keep(*subject, place, std::move(exchange));
}

void rank_engine::take_report(const errand& subject, const http::response& got) const
{
    const auto read = m_format.m_read_report(got.m_body);
    if (!read.ok()) {
        subject.m_done(read.status());
        return;
    }
    if (!read->m_is_open) {
        subject.m_done(absl::UnavailableError("the group does not run"));
        return;
    }
    group_map::engine_answer answer;
    answer.m_number = subject.m_order.m_number;
    answer.m_accepted = subject.m_is_accepted;
    answer.m_highest = subject.m_highest;
    answer.m_state = to_state(*read);
    subject.m_done(answer);
}

void rank_engine::note_raised(const errand& subject)
{
    const std::lock_guard lock(m_mutex);
    if (subject.m_order.m_number == m_newest) {
        m_must_raise = false;
    }
}

void rank_engine::cancel()
{
    std::vector<std::shared_ptr<http::client_exchange>> copies;
    {
        const std::lock_guard lock(m_mutex);
        // A `prepare` that lands late changes no map: at worst it is refused for its old number.
        m_must_raise |= !m_is_newest_harmless;
        if (m_under_way) {
            copies = m_under_way->m_copies;
        }
    }
    for (const auto& copy : copies) {
        copy->cancel();
    }
}

}  // namespace dewbeam::ranks
