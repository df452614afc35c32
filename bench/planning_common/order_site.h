/// \file
/// Upstreams that carry out orders in virtual time, and lose some of them.
#pragma once

#include <vector>

#include "dewbeam/orders"

namespace dewbeam::bench {

/// What goes wrong, in percent of the orders.
struct order_faults {
    std::uint64_t m_lost_orders = 0;
    std::uint64_t m_lost_answers = 0;
    std::uint64_t m_late_orders = 0;  ///< arrive seconds later
};

/// A set of upstreams with one artifact store.
class order_site {
public:
    order_site(std::vector<orders::observed_upstream> upstreams, time_span load_time,
               std::uint64_t seed);

    /// Moves on to `now`: carries orders out and gives answers to `state`.
    void advance(orders::planner& state, time_point now);
    /// Takes the orders and reads of one step.
    void take(orders::planner& state, const orders::plan_step& step, time_point now);

    /// What a coordinator sees: the contents as they are, read at `now`.
    [[nodiscard]] std::vector<orders::observed_upstream> observe(time_point now) const;

    /// Able upstreams of a model in a domain.
    [[nodiscard]] std::size_t able(const failure_domain_id& domain, const std::string& model) const;
    [[nodiscard]] std::size_t running_loads() const;
    [[nodiscard]] std::size_t most_loads_of_one() const;
    [[nodiscard]] std::size_t all_loads() const;
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] bool has_overlapped() const { return m_has_overlapped; }

    order_faults m_faults;

private:
    struct arriving {
        orders::order m_order;
        time_point m_at{};
    };
    struct upstream {
        orders::observed_upstream m_state;
        std::vector<arriving> m_arriving;
        std::vector<orders::order> m_running;  ///< more than one: two orders overlapped
        time_point m_done_at{};
        std::size_t m_loads = 0;
    };

    void begin(upstream& item, const orders::order& order, time_point now);
    void finish(orders::planner& state, upstream& item, time_point now);
    bool happens(std::uint64_t percent);

    std::vector<upstream> m_upstreams;
    time_span m_load_time;
    random_engine m_random;
    bool m_has_overlapped = false;
};

}  // namespace dewbeam::bench
