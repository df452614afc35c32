/// \file
/// Translates the expert map protocol's orders for an engine that prepares, arms, holds and goes.
///
/// | order of the protocol | orders to the engine |
/// |---|---|
/// | stage | prepare |
/// | hold at a step | hold |
/// | switch there | arm, and once that is confirmed: go |
/// | release | disarm, and once that is confirmed: go |
///
/// If one rank is released without being armed while another one is armed, it starts the step with
/// a different map from the rest of its group. Therefore `go` is never sent after an `arm` or
/// `disarm` whose result isn't known. After each order the engine's state is read.
#pragma once

#include <functional>
#include <memory>
#include <mutex>

#include "dewbeam/http"
#include "dewbeam/src/group/engine_port.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// Converts an engine's report to the protocol's engine state.
group_map::engine_state to_state(const rank_report& report);

/// The orders to an engine for one order of the protocol, in sequence. With `must_raise`, or if the
/// order says so, a read is done by an order that raises the engine's fencing number.
std::vector<rank_order> to_rank_orders(const group_map::engine_order& order,
                                       std::uint64_t formation, const placement* content,
                                       bool must_raise);

/// One engine. Must be owned by a `shared_ptr`, which its calls in flight hold.
class rank_engine : public group::engine_port, public std::enable_shared_from_this<rank_engine> {
public:
    /// `address` is the engine's.
    rank_engine(boost::asio::io_context& context, const endpoint& address,
                const http::client_options& options, const rank_format& format);

    void send(const group_map::engine_order& order, group::order_done done) override;
    void cancel() override;

private:
    struct pending_order;

    void send_next(const std::shared_ptr<pending_order>& pending);
    std::shared_ptr<http::client_exchange> call(
        const std::shared_ptr<pending_order>& pending, std::size_t index,
        const http::request& wanted, std::function<void(const http::response&)> on_answer);
    void send_copy(const std::shared_ptr<pending_order>& pending, std::size_t index, int copy);
    bool claim_answer(pending_order& pending, std::size_t index);
    bool is_waiting(const pending_order& pending, std::size_t index);
    void after_order(const std::shared_ptr<pending_order>& pending, order_result result);
    void report(const std::shared_ptr<pending_order>& pending);
    void take_report(const pending_order& pending, const http::response& reply) const;
    void note_fencing_raised(const pending_order& pending);
    bool track_copy(pending_order& pending, std::size_t index,
                    std::shared_ptr<http::client_exchange> exchange);

    boost::asio::io_context& m_context;
    http::client m_client;
    const rank_format& m_format;
    std::mutex m_mutex;
    bool m_is_newest_order_harmless = false;         ///< the order may safely be carried out late
    std::shared_ptr<pending_order> m_pending_order;  ///< the newest order
    /// An order whose result isn't known may still be carried out. The next order must therefore
    /// raise the fencing number, even if it only reads.
    bool m_must_raise = false;
};

}  // namespace dewbeam::ranks
