#include "dewbeam/src/dispatch/choose.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::dispatch {

namespace {

/// Time constant in seconds of the decay of own recent work.
constexpr double recent_lifetime = 1.0;

/// State of one choice.
struct search {
    const choice_context& m_context;
    const pending_request& m_request;
    bool m_may_repeat = false;  ///< may choose upstreams that were tried before
    std::vector<upstream_index> m_seen{};
    std::optional<choice> m_best{};
    double m_best_score = 0.0;
};

double missing_tokens(const choice_context& context, const request_info& info, upstream_index index)
{
    const auto prompt = static_cast<double>(info.m_prompt_tokens.m_count);
    if (info.m_prefix.empty()) {
        return prompt;
    }
    const double held = context.m_prefixes.expected_blocks(index, info.m_prefix);
    return prompt * (1.0 - held / static_cast<double>(info.m_prefix.size()));
}

/// Weight of a reported count of other entries' work: it is as old as the report, and the requests
/// that it counted last for about `lifetime`.
double freshness(const choice_context& context, const upstream_state& upstream, time_span lifetime)
{
    const auto age = context.m_now - upstream.m_info.m_report.m_measured_at;
    return std::exp(-std::max(0.0, to_seconds(age)) / to_seconds(lifetime));
}

/// Tokens of KV cache memory that must be freed before the request fits.
double missing_kv(const upstream_state& upstream, const request_info& info)
{
    const auto& report = upstream.m_info.m_report;
    if (report.m_total_kv.m_count == 0) {
        return 0.0;
    }
    const double free_kv =
        static_cast<double>(report.m_free_kv.m_count) - upstream.m_tokens_since_report;
    return std::max(0.0, static_cast<double>(info.m_prompt_tokens.m_count) - free_kv);
}

choice assess(const search& state, upstream_index index)
{
    const auto& context = state.m_context;
    const auto& info = state.m_request.m_info;
    const auto& upstream = *context.m_table.m_upstreams[index];
    const auto prompt = static_cast<double>(info.m_prompt_tokens.m_count);
    const auto running_lifetime = context.m_options.m_running_lifetime;
    const double others_waiting =
        upstream.m_others_waiting *
        freshness(context, upstream, context.m_options.m_waiting_lifetime);
    const double others_running =
        upstream.m_others_running * freshness(context, upstream, running_lifetime);
    const double taken = upstream.m_in_flight + others_running;
    const auto own_urgent = upstream.m_in_flight - upstream.m_ordinary_in_flight;
    const auto slots = std::max(1U, upstream.m_info.m_slots);
    routing::choice_facts facts;
    facts.m_missing_tokens = missing_tokens(context, info, index);
    facts.m_queued_tokens = upstream.m_pending_work + others_waiting * prompt;
    facts.m_occupancy = taken / slots;
    // Slots are reserved for urgent work, so only the urgent work there counts against it.
    facts.m_urgent_share = info.m_class == configuration::work_class::urgent
                               ? (own_urgent + upstream.m_others_urgent *
                                                   freshness(context, upstream, running_lifetime)) /
                                     slots
                               : 0.0;
    facts.m_skew = upstream.m_info.m_report.m_skew;
    const auto slow =
        relative_slowness_of(upstream.m_slowness, context.m_pool_speed, context.m_now);
    facts.m_slowness = slow.m_ratio;
    facts.m_excess_seconds = slow.m_excess_seconds;
    facts.m_missing_kv = missing_kv(upstream, info);
    facts.m_recent_tokens = recent_work(upstream, context.m_now);
    return {index, facts.m_missing_tokens, routing::expected_wait(facts, context.m_speed)};
}

void consider(search& state, upstream_index index)
{
    const auto& upstream = *state.m_context.m_table.m_upstreams[index];
    const bool is_seen =
        std::find(state.m_seen.begin(), state.m_seen.end(), index) != state.m_seen.end();
    if (is_seen || upstream.m_info.m_lease_deadline <= state.m_context.m_now ||
        (!state.m_may_repeat && was_tried(state.m_request, upstream))) {
        return;
    }
    state.m_seen.push_back(index);
    const auto found = assess(state, index);
    const bool is_near = upstream.m_info.m_failure_domain == state.m_context.m_failure_domain;
    const double score =
        found.m_seconds + (is_near ? 0.0 : to_seconds(state.m_context.m_options.m_spill_margin));
    if (!state.m_best || score < state.m_best_score) {
        state.m_best = found;
        state.m_best_score = score;
    }
}

void consider_samples(search& state, const routing::index_set& open, random_engine& random)
{
    const auto wanted = state.m_context.m_options.m_samples;
    if (open.size() <= wanted) {
        // All entries use the same order; with a random start they break ties differently.
        const auto first = open.empty() ? 0 : uniform_below(random, open.size());
        for (std::size_t i = 0; i < open.size(); ++i) {
            consider(state, open[(first + i) % open.size()]);
        }
        return;
    }
    for (std::size_t i = 0; i < wanted; ++i) {
        consider(state, open[uniform_below(random, open.size())]);
    }
}

/// For the rare request that was tried before: a sample might hold only upstreams already tried.
void consider_all(search& state, const open_sets& open)
{
    for (std::size_t i = 0; i < open.m_near.size(); ++i) {
        consider(state, open.m_near[i]);
    }
    for (std::size_t i = 0; i < open.m_far.size(); ++i) {
        consider(state, open.m_far[i]);
    }
}

bool is_open(const open_sets& open, upstream_index index)
{
    return open.m_near.contains(index) || open.m_far.contains(index);
}

void consider_holders(search& state, const open_sets& open)
{
    const auto holders = state.m_context.m_prefixes.find_holders(state.m_request.m_info.m_prefix);
    for (std::size_t i = 0; i < holders.m_count; ++i) {
        if (is_open(open, holders.m_items[i])) {
            consider(state, holders.m_items[i]);
        }
    }
}

/// Considers the upstream that the request names, if it has room.
void consider_pinned(search& state, const open_sets& open)
{
    const auto& info = state.m_request.m_info;
    if (!info.m_pinned_first) {
        return;
    }
    const auto index = find_upstream(state.m_context.m_table, info.m_first);
    if (index && is_open(open, *index)) {
        consider(state, *index);
    }
}

}  // namespace

double recent_work(const upstream_state& upstream, time_point now)
{
    return upstream.m_recent_work *
           std::exp(-to_seconds(now - upstream.m_last_dispatch) / recent_lifetime);
}

bool was_tried(const pending_request& request, const upstream_state& upstream)
{
    const auto& tried = request.m_tried;
    return std::find(tried.begin(), tried.end(), upstream.m_info.m_name) != tried.end();
}

bool has_untried(const route_table& table, const pending_request& request, time_point now)
{
    const auto& members = request.m_route->m_members;
    return std::any_of(members.begin(), members.end(), [&](upstream_index index) {
        const auto& upstream = *table.m_upstreams[index];
        return upstream.m_is_able && !notices::is_backing_off(upstream.m_ramp, now) &&
               !was_tried(request, upstream);
    });
}

std::optional<choice> choose(const choice_context& context, const pending_request& request,
                             random_engine& random)
{
    const auto& open = open_sets_of(request);
    search state{context, request};
    state.m_may_repeat =
        request.m_tried.empty() || !has_untried(context.m_table, request, context.m_now);
    consider_pinned(state, open);
    if (state.m_best) {
        return state.m_best;
    }
    if (!request.m_tried.empty()) {
        consider_all(state, open);
        return state.m_best;
    }
    consider_holders(state, open);
    consider_samples(state, open.m_near, random);
    if (!state.m_best || state.m_best_score > to_seconds(context.m_options.m_spill_margin)) {
        consider_samples(state, open.m_far, random);
    }
    return state.m_best;
}

}  // namespace dewbeam::dispatch
