/// \file
/// Which order goes to which upstream now.
///
/// Orders follow the state that is wanted now, never the changes that led to it, so a burst of
/// changes leads to one order for each upstream. The last able upstream of a model in a failure
/// domain is not taken away while the model is wanted there. Loads keep to the weight store's
/// limit. Each upstream has one order at a time; after a lost answer the contents are read back,
/// and an engine that ignores fencing numbers is first left alone until the order's deadline.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/orders/desired.h"

namespace dewbeam::orders {

/// Limits of the planner.
struct plan_options {
    time_span m_settle = std::chrono::seconds(2);           ///< wants must hold still this long ...
    time_span m_longest_settle = std::chrono::seconds(10);  ///< ... but not longer than this
    time_span m_order_limit = std::chrono::seconds(120);    ///< an order's deadline after sending
    time_span m_read_again = std::chrono::seconds(2);       ///< between reads after a lost answer
    byte_count m_store_rate{10'000'000'000};                ///< a second
    byte_count m_load_rate{2'000'000'000};  ///< a second, that one loading upstream draws
    double m_most_away = 0.34;  ///< share of a model's able upstreams in a domain away at once
};

/// An order: after it the upstream holds exactly `m_wanted`.
struct order {
    upstream_id m_upstream;
    fencing_number m_number;
    time_point m_deadline{};
    contents m_wanted;
    std::vector<artifact> m_load;
    std::vector<artifact> m_drop;
    bool m_drops_first = false;  ///< there is no room for both
};

/// An order that was sent and is not settled.
struct open_order {
    order m_order;
    bool m_is_answered = false;
    bool m_is_answer_lost = false;
    time_point m_ended_at{};       ///< answered, or answer lost
    time_point m_read_at{};        ///< the next read
    fencing_number m_read_number;  ///< of the first read; older orders are refused after it
};

/// When wants changed last, and since when they have kept changing.
struct change_times {
    time_point m_changed_at{};
    time_point m_unsettled_since{};
};

/// What is known of one upstream's orders.
struct upstream_orders {
    std::optional<open_order> m_open;
    desired_upstream m_wanted;
    change_times m_times;
    bool m_is_known = false;
};

/// State of the planner. A new coordinator starts with an epoch above all earlier ones.
struct planner {
    plan_options m_options;
    std::uint32_t m_epoch = 1;
    std::uint32_t m_last_number = 0;
    time_point m_begin_at{};  ///< orders of an earlier coordinator may still be under way before
    change_times m_times;     ///< of all upstreams together
    std::map<upstream_id, upstream_orders> m_upstreams;
};

/// Why an upstream that should change gets no order now.
enum class wait_reason { settling, order_open, unable, last_able, store_limit, new_coordinator };

/// Name of a reason in logs.
const char* to_string(wait_reason value);

/// An upstream that waits.
struct waiting_upstream {
    upstream_id m_upstream;
    wait_reason m_reason = wait_reason::settling;
};

/// Close the connection to an upstream, open a new one and read its contents under this number.
struct read_back {
    upstream_id m_upstream;
    fencing_number m_number;
};

/// What to do now.
struct plan_step {
    std::vector<order> m_orders;
    std::vector<read_back> m_reads;
    std::vector<waiting_upstream> m_waiting;
};

/// A planner that takes over at `now`; no order goes out before `now` plus the order limit unless
/// `is_first`, that is, nobody gave orders before.
planner make_planner(const plan_options& options, std::uint32_t epoch, bool is_first,
                     time_point now);

/// Decides. `desired` and `observed` are in the same order.
plan_step step(planner& state, const std::vector<desired_upstream>& desired,
               const std::vector<observed_upstream>& observed, time_point now);

/// The upstream answered that an order is done or was refused. No further order goes out before
/// the contents were read after that.
void order_answered(planner& state, const upstream_id& upstream, fencing_number number,
                    time_point now);

/// No answer came; it is not known whether the order was carried out.
void answer_lost(planner& state, const upstream_id& upstream, fencing_number number,
                 time_point now);

}  // namespace dewbeam::orders
