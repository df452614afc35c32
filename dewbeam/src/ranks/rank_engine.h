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

#include <memory>
#include <mutex>

#include "dewbeam/http"
#include "dewbeam/src/agent/engine_port.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// The state that the protocol knows, from an engine's own report.
group_map::engine_state to_state(const rank_report& report);

/// The orders to an engine for one of the protocol's, in their order.
std::vector<rank_order> to_rank_orders(const group_map::engine_order& order,
                                       std::uint64_t formation, const placement* content);

/// One engine.
class rank_engine : public agent::engine_port {
public:
    /// `client` leads to the engine and outlives this object.
    rank_engine(http::client& client, const rank_format& format);

    /// Orders are meant for this formation of the group from now on.
    void set_formation(std::uint64_t formation);

    void send(const group_map::engine_order& order, agent::order_done done) override;
    void cancel() override;

private:
    struct errand;

    void next(const std::shared_ptr<errand>& subject);
    void after_order(const std::shared_ptr<errand>& subject, order_result result);
    void report(const std::shared_ptr<errand>& subject);
    void keep(const errand& subject, std::shared_ptr<http::client_exchange> exchange);

    http::client& m_client;
    const rank_format& m_format;
    std::mutex m_mutex;
    std::uint64_t m_formation = 0;
    fencing_number m_newest;
    std::shared_ptr<http::client_exchange> m_exchange;  ///< of the newest order
};

}  // namespace dewbeam::ranks
