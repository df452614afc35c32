#include "dewbeam/src/orders/plan.h"

#include <algorithm>
#include <set>

namespace dewbeam::orders {

namespace {

constexpr unsigned epoch_shift = 32;

fencing_number next_number(planner& state)
{
    ++state.m_last_number;
    return fencing_number((std::uint64_t{state.m_epoch} << epoch_shift) | state.m_last_number);
}

void note_change(const planner& state, change_times& times, time_point now)
{
    const bool was_still = now - times.m_changed_at >= state.m_options.m_settle;
    times.m_unsettled_since = was_still ? now : times.m_unsettled_since;
    times.m_changed_at = now;
}

/// Notes when the wants of an upstream change; what a new upstream wants is no change.
void note_wanted(planner& state, upstream_orders& item, const desired_upstream& wanted,
                 time_point now)
{
    if (item.m_is_known && item.m_wanted == wanted) {
        return;
    }
    note_change(state, item.m_times, now);
    if (item.m_is_known) {
        note_change(state, state.m_times, now);
    }
    item.m_wanted = wanted;
    item.m_is_known = true;
}

/// Whether the changes are over: of this upstream, and of all others unless that takes too long.
bool is_settled(const planner& state, const upstream_orders& item, time_point now)
{
    const auto& options = state.m_options;
    const auto is_still = [&](const change_times& times) {
        return now - times.m_changed_at >= options.m_settle;
    };
    const auto is_overdue = [&](const change_times& times) {
        return now - times.m_unsettled_since >= options.m_longest_settle;
    };
    return is_overdue(item.m_times) ||
           (is_still(item.m_times) && (is_still(state.m_times) || is_overdue(state.m_times)));
}

/// Whether a read shows that a lost order is over: it ended, and none like it can still arrive.
bool is_lost_order_over(const open_order& open, const observed_upstream& seen, time_point now)
{
    if (seen.m_is_busy || seen.m_read_at <= open.m_ended_at) {
        return false;
    }
    if (seen.m_checks_fencing) {
        return open.m_read_number != fencing_number() &&
               seen.m_highest_number >= open.m_read_number;
    }
    return now >= open.m_order.m_deadline && seen.m_read_at >= open.m_order.m_deadline;
}

/// Closes the books on an order whose answer was lost, or reads the contents back again.
void settle_lost(planner& state, upstream_orders& item, const observed_upstream& seen,
                 time_point now, plan_step& out)
{
    auto& open = *item.m_open;
    if (is_lost_order_over(open, seen, now)) {
        item.m_open.reset();
        return;
    }
    if (now >= open.m_read_at) {
        open.m_read_at = now + state.m_options.m_read_again;
        if (open.m_read_number == fencing_number()) {
            open.m_read_number = next_number(state);
        }
        out.m_reads.push_back({seen.m_name, open.m_read_number});
    }
}

/// Whether an upstream can serve a model now and for as long as its open order runs.
bool is_able_for(const planner& state, const observed_upstream& seen, const std::string& model)
{
    if (!seen.m_is_able || !holds_model(seen.m_contents, model)) {
        return false;
    }
    const auto place = state.m_upstreams.find(seen.m_name);
    if (place == state.m_upstreams.end() || !place->second.m_open) {
        return true;
    }
    const auto& open = place->second.m_open->m_order;
    const auto is_dropped = [&](const artifact& item) {
        return item.m_kind == artifact_kind::model && item.m_name == model;
    };
    return std::none_of(open.m_drop.begin(), open.m_drop.end(), is_dropped);
}

/// The state of one model in one failure domain.
struct model_count {
    std::uint32_t m_holders = 0;  ///< have it, busy with an order or not
    std::uint32_t m_able = 0;
    bool m_is_wanted = false;
};

/// Counts over one step, kept up to date while orders are chosen.
class able_counts {
public:
    able_counts(const planner& state, const std::vector<desired_upstream>& desired,
                const std::vector<observed_upstream>& observed)
    {
        for (std::size_t i = 0; i < observed.size(); ++i) {
            for (const auto& item : observed[i].m_contents.m_artifacts) {
                if (item.m_kind == artifact_kind::model && observed[i].m_is_able) {
                    auto& count = at(observed[i], item.m_name);
                    ++count.m_holders;
                    count.m_able += is_able_for(state, observed[i], item.m_name) ? 1 : 0;
                }
            }
            for (const auto& item : desired[i].m_contents.m_artifacts) {
                if (item.m_kind == artifact_kind::model) {
                    at(observed[i], item.m_name).m_is_wanted = true;
                }
            }
        }
    }

    model_count& at(const observed_upstream& upstream, const std::string& model)
    {
        return m_counts[upstream.m_failure_domain.value() + '/' + model];
    }

private:
    std::map<std::string, model_count> m_counts;
};

/// Whether the models that an order drops, some for a while only, can be spared.
bool can_spare(const planner& state, able_counts& counts, const observed_upstream& seen,
               const std::vector<artifact>& dropped)
{
    for (const auto& item : dropped) {
        if (item.m_kind != artifact_kind::model) {
            continue;
        }
        const auto& count = counts.at(seen, item.m_name);
        if (!count.m_is_wanted || !is_able_for(state, seen, item.m_name)) {
            continue;
        }
        const auto away = count.m_holders - count.m_able;
        const bool is_crowded =
            away > 0 && away + 1 > state.m_options.m_most_away * count.m_holders;
        if (count.m_able <= 1 || is_crowded) {
            return false;
        }
    }
    return true;
}

void take_away(able_counts& counts, const observed_upstream& seen,
               const std::vector<artifact>& dropped)
{
    for (const auto& item : dropped) {
        if (item.m_kind == artifact_kind::model) {
            auto& count = counts.at(seen, item.m_name);
            count.m_able -= std::min(count.m_able, 1U);
        }
    }
}

std::size_t models_in(const std::vector<artifact>& items)
{
    return static_cast<std::size_t>(
        std::count_if(items.begin(), items.end(),
                      [](const artifact& item) { return item.m_kind == artifact_kind::model; }));
}

/// The order that brings an upstream to what is wanted.
order make_order(const observed_upstream& seen, const desired_upstream& wanted)
{
    order result;
    result.m_upstream = seen.m_name;
    result.m_wanted = wanted.m_contents;
    result.m_load = missing(seen.m_contents, wanted.m_contents);
    result.m_drop = superfluous(seen.m_contents, wanted.m_contents);
    const auto needed = models_in(seen.m_contents.m_artifacts) + models_in(result.m_load);
    result.m_drops_first = needed > seen.m_room;
    const bool changes_role =
        !wanted.m_contents.m_role.empty() && wanted.m_contents.m_role != seen.m_contents.m_role;
    if (changes_role) {
        result.m_drop = seen.m_contents.m_artifacts;  // serves nothing while its role changes
    }
    return result;
}

std::size_t most_loads(const plan_options& options)
{
    const auto rate = std::max<std::int64_t>(1, options.m_load_rate.m_count);
    return static_cast<std::size_t>(std::max<std::int64_t>(1, options.m_store_rate.m_count / rate));
}

/// Loads that may still draw from the store.
std::size_t open_loads(const planner& state, time_point now)
{
    std::size_t count = 0;
    for (const auto& [name, item] : state.m_upstreams) {
        const bool may_draw =
            item.m_open && !item.m_open->m_is_answered && now < item.m_open->m_order.m_deadline;
        count += may_draw && !item.m_open->m_order.m_load.empty() ? 1 : 0;
    }
    return count;
}

/// Forgets upstreams that are gone, once their last order can't be under way any more.
void forget_gone(planner& state, const std::vector<observed_upstream>& observed, time_point now)
{
    std::set<upstream_id> present;
    for (const auto& seen : observed) {
        present.insert(seen.m_name);
    }
    std::erase_if(state.m_upstreams, [&](const auto& item) {
        const auto& open = item.second.m_open;
        return !present.contains(item.first) && (!open || now >= open->m_order.m_deadline);
    });
}

/// An upstream that may get an order, and how scarce the models that it would add are.
struct candidate {
    std::size_t m_index = 0;
    std::uint32_t m_scarcity = 0;  ///< able upstreams of the scarcest added model
};

std::uint32_t scarcity_of(able_counts& counts, const observed_upstream& seen,
                          const desired_upstream& wanted)
{
    std::uint32_t least = ~0U;
    for (const auto& item : missing(seen.m_contents, wanted.m_contents)) {
        if (item.m_kind == artifact_kind::model) {
            least = std::min(least, counts.at(seen, item.m_name).m_able);
        }
    }
    return least;
}

/// Whether an upstream is ready for an order; notes why not.
bool is_ready(const planner& state, const upstream_orders& item, const observed_upstream& seen,
              time_point now, plan_step& out)
{
    if (!item.m_wanted.m_is_placed ||
        (!item.m_open && meets(seen.m_contents, item.m_wanted.m_contents))) {
        return false;
    }
    std::optional<wait_reason> reason;
    if (item.m_open) {
        reason = wait_reason::order_open;
    }
    else if (!seen.m_is_able) {
        reason = wait_reason::unable;
    }
    else if (!is_settled(state, item, now)) {
        reason = wait_reason::settling;
    }
    else if (now < state.m_begin_at) {
        reason = wait_reason::new_coordinator;
    }
    if (reason) {
        out.m_waiting.push_back({seen.m_name, *reason});
    }
    return !reason;
}

/// Sends an order or notes what it waits for.
void try_order(planner& state, const observed_upstream& seen, const desired_upstream& wanted,
               able_counts& counts, std::size_t& loads, time_point now, plan_step& out)
{
    auto item = make_order(seen, wanted);
    if (!can_spare(state, counts, seen, item.m_drop)) {
        out.m_waiting.push_back({seen.m_name, wait_reason::last_able});
        return;
    }
    const bool draws = !item.m_load.empty();
    if (draws && loads >= most_loads(state.m_options)) {
        out.m_waiting.push_back({seen.m_name, wait_reason::store_limit});
        return;
    }
    loads += draws ? 1 : 0;
    take_away(counts, seen, item.m_drop);
    item.m_number = next_number(state);
    item.m_deadline = now + state.m_options.m_order_limit;
    state.m_upstreams[seen.m_name].m_open = open_order{item, false, false, {}, {}, {}};
    out.m_orders.push_back(std::move(item));
}

/// An answered order is settled by the first read after it; one that was never answered is lost
/// at its deadline.
void settle_open(planner& state, upstream_orders& item, const observed_upstream& seen,
                 time_point now, plan_step& out)
{
    if (!item.m_open) {
        return;
    }
    if (!item.m_open->m_is_answered && now >= item.m_open->m_order.m_deadline) {
        answer_lost(state, seen.m_name, item.m_open->m_order.m_number, now);
    }
    if (item.m_open->m_is_answered) {
        if (seen.m_read_at > item.m_open->m_ended_at && !seen.m_is_busy) {
            item.m_open.reset();
        }
    }
    else if (item.m_open->m_is_answer_lost) {
        settle_lost(state, item, seen, now, out);
    }
}

}  // namespace

const char* to_string(wait_reason value)
{
    switch (value) {
        case wait_reason::settling:
            return "settling";
        case wait_reason::order_open:
            return "order_open";
        case wait_reason::unable:
            return "unable";
        case wait_reason::last_able:
            return "last_able";
        case wait_reason::store_limit:
            return "store_limit";
        case wait_reason::new_coordinator:
            break;
    }
    return "new_coordinator";
}

planner make_planner(const plan_options& options, std::uint32_t epoch, bool is_first,
                     time_point now)
{
    planner state;
    state.m_options = options;
    state.m_epoch = epoch;
    state.m_times = {now - options.m_settle, now};
    state.m_begin_at = is_first ? now : now + options.m_order_limit;
    return state;
}

plan_step step(planner& state, const std::vector<desired_upstream>& desired,
               const std::vector<observed_upstream>& observed, time_point now)
{
    require(desired.size() == observed.size(), "desired and observed upstreams must match");
    plan_step out;
    forget_gone(state, observed, now);
    for (std::size_t i = 0; i < observed.size(); ++i) {
        auto& item = state.m_upstreams[observed[i].m_name];
        note_wanted(state, item, desired[i], now);
        settle_open(state, item, observed[i], now, out);
    }
    able_counts counts(state, desired, observed);
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < observed.size(); ++i) {
        if (is_ready(state, state.m_upstreams[observed[i].m_name], observed[i], now, out)) {
            candidates.push_back({i, scarcity_of(counts, observed[i], desired[i])});
        }
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b) { return a.m_scarcity < b.m_scarcity; });
    auto loads = open_loads(state, now);
    for (const auto& item : candidates) {
        try_order(state, observed[item.m_index], desired[item.m_index], counts, loads, now, out);
    }
    return out;
}

void order_answered(planner& state, const upstream_id& upstream, fencing_number number,
                    time_point now)
{
    const auto place = state.m_upstreams.find(upstream);
    if (place == state.m_upstreams.end() || !place->second.m_open) {
        return;
    }
    auto& open = *place->second.m_open;
    if (open.m_order.m_number == number && !open.m_is_answer_lost) {
        open.m_is_answered = true;
        open.m_ended_at = now;
    }
}

void answer_lost(planner& state, const upstream_id& upstream, fencing_number number, time_point now)
{
    const auto place = state.m_upstreams.find(upstream);
    if (place == state.m_upstreams.end() || !place->second.m_open) {
        return;
    }
    auto& open = *place->second.m_open;
    if (open.m_order.m_number == number && !open.m_is_answered && !open.m_is_answer_lost) {
        open.m_is_answer_lost = true;
        open.m_ended_at = now;
        open.m_read_at = now;
    }
}

}  // namespace dewbeam::orders
