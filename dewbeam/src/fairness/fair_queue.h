/// \file
/// Weighted deficit round robin over workspaces by token cost.
///
/// A workspace has a flow only while it has something waiting, so idle workspaces cost no memory.
/// Each decision is O(1) amortized for weights that are not far below 1: a flow gets the mean cost
/// times its weight a turn, so an item of mean cost needs one turn.
#pragma once

#include <boost/intrusive/list.hpp>
#include <unordered_map>

#include "dewbeam/base"

namespace dewbeam::fairness {

struct flow;

/// A queue may be destroyed with items in it, so the hooks don't check that they are unlinked.
using unchecked = boost::intrusive::link_mode<boost::intrusive::normal_link>;

/// What waits in a fair queue; the waiting object derives from it.
struct queue_item : boost::intrusive::list_base_hook<unchecked> {
    double m_cost = 1.0;     ///< tokens; a selector of weight 2 halves them
    flow* m_flow = nullptr;  ///< null while the item is in no queue
};

using item_list = boost::intrusive::list<queue_item>;

/// What one workspace has waiting.
struct flow : boost::intrusive::list_base_hook<unchecked> {
    workspace_id m_workspace;
    double m_weight = 1.0;
    double m_deficit = 0.0;  ///< cost that it may still take in this turn
    double m_backlog = 0.0;  ///< cost of all its items
    item_list m_items;
};

using flow_list = boost::intrusive::list<flow>;

/// The queue. The map is only looked up, never walked: the turn order is the list's.
struct fair_queue {
    std::unordered_map<workspace_id, flow> m_flows;
    flow_list m_turns;
    std::size_t m_size = 0;
    double m_backlog = 0.0;    ///< cost of all items
    double m_weight = 0.0;     ///< of all flows
    double m_mean_cost = 0.0;  ///< moving average; the quantum of a flow of weight 1
};

/// Adds an item to the end of its workspace's flow. The latest weight holds for the whole flow.
void push(fair_queue& queue, queue_item& item, const workspace_id& workspace, double weight);

/// The item whose turn it is, or null; stays in the queue.
queue_item* front(fair_queue& queue);

/// Takes the item that `front` gave and charges its flow.
void pop(fair_queue& queue, queue_item& item);

/// Takes any item away without a charge.
void erase(fair_queue& queue, queue_item& item);

/// Ends the turn of the front flow, for when its item can't go now.
void skip_turn(fair_queue& queue);

/// The flow of a workspace, or null where it has nothing waiting.
const flow* find_flow(const fair_queue& queue, const workspace_id& workspace);

}  // namespace dewbeam::fairness
