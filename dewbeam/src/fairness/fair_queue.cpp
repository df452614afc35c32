#include "dewbeam/src/fairness/fair_queue.h"

#include <algorithm>

namespace dewbeam::fairness {

namespace {

constexpr double mean_gain = 0.05;
constexpr double least_weight = 0.01;

void note_cost(fair_queue& queue, double cost)
{
    queue.m_mean_cost = queue.m_mean_cost == 0.0
                            ? cost
                            : queue.m_mean_cost + mean_gain * (cost - queue.m_mean_cost);
}

flow& flow_of(fair_queue& queue, const workspace_id& workspace)
{
    const auto [place, is_new] = queue.m_flows.try_emplace(workspace);
    auto& result = place->second;
    if (is_new) {
        result.m_workspace = workspace;
        result.m_weight = 0.0;
        queue.m_turns.push_back(result);
    }
    return result;
}

void forget_if_empty(fair_queue& queue, flow& subject)
{
    if (!subject.m_items.empty()) {
        return;
    }
    queue.m_weight = queue.m_flows.size() == 1 ? 0.0 : queue.m_weight - subject.m_weight;
    queue.m_turns.erase(queue.m_turns.iterator_to(subject));
    queue.m_flows.erase(workspace_id(subject.m_workspace));
}

void end_turn(fair_queue& queue)
{
    auto& first = queue.m_turns.front();
    queue.m_turns.pop_front();
    queue.m_turns.push_back(first);
    auto& next = queue.m_turns.front();
    next.m_deficit += next.m_weight * std::max(1.0, queue.m_mean_cost);
}

}  // namespace

void push(fair_queue& queue, queue_item& item, const workspace_id& workspace, double weight)
{
    require(item.m_flow == nullptr, "an item may be in one queue at a time");
    note_cost(queue, item.m_cost);
    auto& subject = flow_of(queue, workspace);
    const double wanted = std::max(weight, least_weight);
    queue.m_weight += wanted - subject.m_weight;
    subject.m_weight = wanted;
    subject.m_items.push_back(item);
    subject.m_backlog += item.m_cost;
    item.m_flow = &subject;
    queue.m_backlog += item.m_cost;
    ++queue.m_size;
}

queue_item* front(fair_queue& queue)
{
    if (queue.m_turns.empty()) {
        return nullptr;
    }
    if (queue.m_turns.size() == 1) {
        return &queue.m_turns.front().m_items.front();
    }
    while (queue.m_turns.front().m_deficit < queue.m_turns.front().m_items.front().m_cost) {
        end_turn(queue);
    }
    return &queue.m_turns.front().m_items.front();
}

void pop(fair_queue& queue, queue_item& item)
{
    auto& subject = *item.m_flow;
    subject.m_deficit = std::max(0.0, subject.m_deficit - item.m_cost);
    erase(queue, item);
}

void erase(fair_queue& queue, queue_item& item)
{
    require(item.m_flow != nullptr, "only an item of the queue can be taken from it");
    auto& subject = *item.m_flow;
    subject.m_items.erase(subject.m_items.iterator_to(item));
    subject.m_backlog -= item.m_cost;
    item.m_flow = nullptr;
    --queue.m_size;
    queue.m_backlog = queue.m_size == 0 ? 0.0 : queue.m_backlog - item.m_cost;
    forget_if_empty(queue, subject);
}

void skip_turn(fair_queue& queue)
{
    if (queue.m_turns.size() > 1) {
        end_turn(queue);
    }
}

const flow* find_flow(const fair_queue& queue, const workspace_id& workspace)
{
    const auto place = queue.m_flows.find(workspace);
    return place == queue.m_flows.end() ? nullptr : &place->second;
}

}  // namespace dewbeam::fairness
