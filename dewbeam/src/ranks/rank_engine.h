/// \file
/// Carries out the expert map protocol's orders at an engine that prepares, arms, holds and goes.
///
/// | the protocol asks for | the engine is told |
/// |---|---|
/// | stage | prepare |
/// | hold at a step | hold |
/// | switch there | arm, and only once that is certain: go |
/// | release | disarm, and only once that is certain: go |
///
/// A rank that is let go without being armed, while another one is, would begin the step under
/// another map than the rest of its group: so `go` is never sent after an `arm` or `disarm` whose
/// end isn't known. Each order brings a report of the engine's state afterwards.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

#include "dewbeam/http"
#include "dewbeam/src/group/engine_port.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// The state that the protocol knows, from an engine's own report.
group_map::engine_state to_state(const rank_report& report);

/// The orders to an engine for one of the protocol's, in their order.
std::vector<rank_order> to_rank_orders(const group_map::engine_order& order,
                                       std::uint64_t formation, const placement* content,
                                       bool must_raise);

/// One engine; lives in a `shared_ptr`, which its calls keep.
class rank_engine : public group::engine_port, public std::enable_shared_from_this<rank_engine> {
public:
    /// `address` is the engine's; orders are meant for the formation of the group that `formation`
    /// holds when they are sent.
    rank_engine(boost::asio::io_context& context, const endpoint& address,
                const http::client_options& options, const rank_format& format,
                std::shared_ptr<const std::atomic<std::uint64_t>> formation);

    void send(const group_map::engine_order& order, group::order_done done) override;
    void cancel() override;

private:
    struct errand;

    void next(const std::shared_ptr<errand>& subject);
    std::shared_ptr<http::client_exchange> call(
        const std::shared_ptr<errand>& subject, std::size_t place, const http::request& wanted,
        std::function<void(const http::response&)> on_answer);
    void send_copy(const std::shared_ptr<errand>& subject, std::size_t place, int copy);
    bool settle(errand& subject, std::size_t place);
    bool is_waiting(const errand& subject, std::size_t place);
    void after_order(const std::shared_ptr<errand>& subject, order_result result);
    void report(const std::shared_ptr<errand>& subject);
    void take_report(const errand& subject, const http::response& got) const;
    void note_raised(const errand& subject);
    bool keep(errand& subject, std::size_t place, std::shared_ptr<http::client_exchange> exchange);

    boost::asio::io_context& m_context;
    http::client m_client;
    const rank_format& m_format;
    std::mutex m_mutex;
    std::shared_ptr<const std::atomic<std::uint64_t>> m_formation;
    fencing_number m_newest;
    bool m_is_newest_harmless = false;    ///< it may be carried out at any time
    std::shared_ptr<errand> m_under_way;  ///< the newest order
    /// An order whose end isn't known, of this process or of an earlier one, may still be carried
    /// out: the next order must be one that raises the fencing number, even if only to read.
    bool m_must_raise = true;
};

}  // namespace dewbeam::ranks
