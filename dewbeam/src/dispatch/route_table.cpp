#include "dewbeam/src/dispatch/route_table.h"

#include <algorithm>

#include "dewbeam/src/dispatch/group_gate.h"
#include "dewbeam/src/dispatch/permits.h"

namespace dewbeam::dispatch {

namespace {

constexpr std::size_t max_idle_routes = 64;
/// Reports older than this are not used; an agent that is full answers `not_run`.
constexpr time_span report_lifetime = std::chrono::seconds(3);

bool is_near(const route_options& options, const upstream_state& upstream)
{
    return upstream.m_info.m_failure_domain == options.m_failure_domain;
}

void leave_routes(upstream_state& upstream, upstream_index index)
{
    for (auto* member_of : upstream.m_routes) {
        std::erase(member_of->m_members, index);
        member_of->m_able -= upstream.m_is_able ? 1 : 0;
        for (auto& open : member_of->m_open) {
            open.m_near.erase(index);
            open.m_far.erase(index);
        }
    }
    upstream.m_routes.clear();
    upstream.m_is_able = false;
}

void leave(route_table& table, route& subject)
{
    for (const auto index : subject.m_members) {
        std::erase(table.m_upstreams[index]->m_routes, &subject);
    }
    subject.m_members.clear();
    subject.m_able = 0;
    subject.m_open = {};
}

void join(route_table& table, route& subject, const std::vector<upstream_index>& members)
{
    for (const auto index : members) {
        auto& upstream = *table.m_upstreams[index];
        subject.m_members.push_back(index);
        subject.m_able += upstream.m_is_able ? 1 : 0;
        upstream.m_routes.push_back(&subject);
    }
}

/// Determines again which upstreams belong to a route.
void rebuild(route_table& table, const route_options& options, route& subject, time_point now)
{
    leave(table, subject);
    std::vector<routing::subset_candidate> near;
    std::vector<routing::subset_candidate> far;
    for (const auto& [name, index] : table.m_names) {
        const auto& upstream = *table.m_upstreams[index];
        if (configuration::matches(subject.m_upstreams, upstream.m_info.m_labels)) {
            (is_near(options, upstream) ? near : far).push_back({index, name});
        }
    }
    for (const auto& candidates : {near, far}) {
        join(table, subject,
             routing::choose_subset(candidates, options.m_entry, options.m_subset_size));
    }
    for (const auto index : std::vector<upstream_index>(subject.m_members)) {
        refresh(table, options, index, now);
    }
}

void rebuild_all(route_table& table, const route_options& options, time_point now)
{
    for (const auto& subject : table.m_routes) {
        rebuild(table, options, *subject, now);
    }
}

upstream_index new_position(route_table& table)
{
    if (table.m_unused.empty()) {
        table.m_upstreams.push_back(std::make_unique<upstream_state>());
        return static_cast<upstream_index>(table.m_upstreams.size() - 1);
    }
    const auto index = table.m_unused.back();
    table.m_unused.pop_back();
    *table.m_upstreams[index] = upstream_state{};
    return index;
}

std::uint32_t less_or_zero(std::uint32_t value, std::uint32_t taken)
{
    return value - std::min(value, taken);
}

bool is_urgent(const pending_request& request)
{
    return request.m_info.m_class == configuration::work_class::urgent;
}

/// Splits the counts of a report into own requests and those of other entries.
void note_report(upstream_state& upstream)
{
    const auto& report = upstream.m_info.m_report;
    const auto measured = report.m_measured_at;
    std::erase_if(upstream.m_ended,
                  [&](const ended_run& run) { return run.m_ended_at <= measured; });
    std::uint32_t own = 0;
    std::uint32_t own_waiting = 0;
    std::uint32_t own_urgent = 0;
    upstream.m_tokens_since_report = 0.0;
    for (const auto& request : upstream.m_running) {
        const bool is_counted = request.m_dispatched_at <= measured;
        own += is_counted ? 1 : 0;
        own_urgent += is_counted && is_urgent(request) ? 1 : 0;
        own_waiting += is_counted && !request.m_has_first_token ? 1 : 0;
        upstream.m_tokens_since_report +=
            is_counted ? 0.0 : static_cast<double>(request.m_info.m_prompt_tokens.m_count);
    }
    for (const auto& run : upstream.m_ended) {
        own += run.m_started_at <= measured ? 1 : 0;
        own_urgent += run.m_started_at <= measured && run.m_is_urgent ? 1 : 0;
    }
    upstream.m_others_running = less_or_zero(report.m_running + report.m_waiting, own);
    upstream.m_others_urgent = less_or_zero(report.m_urgent, own_urgent);
    upstream.m_others_waiting = less_or_zero(report.m_waiting, own_waiting);
}

/// Whether the upstream's last report is recent enough to count the other entries' work.
bool has_fresh_report(const upstream_state& upstream, time_point now)
{
    const auto measured = upstream.m_info.m_report.m_measured_at;
    return measured != time_point{} && now - measured < report_lifetime;
}

/// Slots that this entry may use; only its share if the other entries' use is unknown.
std::uint32_t usable_slots(const upstream_state& upstream, const route_options& options,
                           bool is_reported)
{
    const auto slots = upstream.m_info.m_slots;
    if (is_reported || options.m_sharing_entry_count <= 1) {
        return slots;
    }
    return std::max(1U, slots / options.m_sharing_entry_count);
}

bool is_group_closed(const route_table& table, const upstream_state& upstream, time_point now)
{
    if (table.m_broken_groups.contains(upstream.m_info.m_group)) {
        return true;
    }
    const auto place = table.m_closed_groups.find(upstream.m_info.m_group);
    return place != table.m_closed_groups.end() && place->second > now;
}

/// Whether the upstream would take a request if it had a slot.
bool is_serving(const route_table& table, const upstream_state& upstream, time_point now)
{
    return upstream.m_is_able && !upstream.m_info.m_is_stalled &&
           !notices::is_backing_off(upstream.m_ramp, now) &&
           upstream.m_health.m_closed_until <= now && !is_group_closed(table, upstream, now);
}

/// Prompts that urgent lanes may send ahead of the pace of a group. The other lanes make up for
/// them.
constexpr double urgent_advance = 2.0;

bool is_prefill_held(const route_table& table, const upstream_state& upstream,
                     configuration::work_class wanted, time_point now)
{
    const auto place = table.m_step_limits.find(step_key(upstream.m_info));
    const double advance = wanted == configuration::work_class::urgent ? urgent_advance : 0.0;
    return place != table.m_step_limits.end() &&
           !overload::is_open(place->second.m_prefill, advance, now);
}

bool has_room(const route_table& table, const upstream_state& upstream,
              const route_options& options, configuration::work_class wanted, time_point now)
{
    if (!is_serving(table, upstream, now) || upstream.m_closed_until > now ||
        !notices::may_send(upstream.m_ramp, now) || upstream.m_runs_isolated ||
        upstream.m_held_for != ticket{} || lacks_permit(upstream, now)) {
        return false;
    }
    const bool is_reported = has_fresh_report(upstream, now);
    if (options.m_is_overload_controlled) {
        // The class shares below rely on agents that enforce them by their own count. Without
        // agents they would let each entry send two more requests to an upstream that is full.
        const auto counted_at = upstream.m_info.m_report.m_others_counted_at;
        const bool is_counted = now - counted_at < report_lifetime;
        const auto most = is_counted && upstream.m_max_in_flight
                              ? *upstream.m_max_in_flight
                              : usable_slots(upstream, options, false);
        return upstream.m_in_flight < most && !is_prefill_held(table, upstream, wanted, now);
    }
    const auto others = is_reported ? upstream.m_others_running : 0;
    const auto slots = usable_slots(upstream, options, is_reported);
    const bool has_slot = upstream.m_in_flight + others < slots;
    if (table.m_reserved_until <= now) {
        return has_slot;
    }
    // The count of the other entries' work is outdated. The agent enforces the class shares by its
    // own count, so each class may use its reserved slots even if all slots appear taken.
    const auto ordinary_limit = ordinary_slots_of(upstream, options, slots);
    if (wanted == configuration::work_class::ordinary) {
        const auto floor = slots - fairness::urgent_slots(options.m_classes, slots);
        const auto own_floor = std::max(1U, floor / std::max(1U, options.m_sharing_entry_count));
        return upstream.m_in_flight < slots && upstream.m_ordinary_in_flight < ordinary_limit &&
               (has_slot || upstream.m_ordinary_in_flight < own_floor);
    }
    const auto urgent = upstream.m_in_flight - upstream.m_ordinary_in_flight;
    return has_slot || (upstream.m_in_flight < slots &&
                        urgent + upstream.m_others_urgent < slots - ordinary_limit);
}

void drop_idle_routes(route_table& table)
{
    if (table.m_routes.size() < max_idle_routes) {
        return;
    }
    std::erase_if(table.m_routes, [&](const std::unique_ptr<route>& subject) {
        if (subject->m_users > 0) {
            return false;
        }
        leave(table, *subject);
        return true;
    });
}

}  // namespace

void set_lane(pending_request& request, bool is_overload_controlled)
{
    const auto of_class = place_of(request.m_info.m_class);
    request.m_lane = is_overload_controlled ? request.m_info.m_priority : of_class;
    auto& subject = request.m_route->m_lanes[request.m_lane];
    if (!is_overload_controlled) {
        subject.m_open_place = of_class;
    }
}

const open_sets& open_sets_of(const pending_request& request)
{
    const auto& subject = *request.m_route;
    return subject.m_open[subject.m_lanes.at(request.m_lane).m_open_place];
}

const std::string& step_key(const upstream_info& upstream)
{
    return upstream.m_group.empty() ? upstream.m_name.value() : upstream.m_group;
}

route& route_of(route_table& table, const route_options& options,
                const configuration::selector& upstreams, time_point now)
{
    for (const auto& known : table.m_routes) {
        if (known->m_upstreams == upstreams) {
            return *known;
        }
    }
    drop_idle_routes(table);
    auto& result = *table.m_routes.emplace_back(std::make_unique<route>());
    result.m_upstreams = upstreams;
    rebuild(table, options, result, now);
    return result;
}

upstream_index put_upstream(route_table& table, const route_options& options,
                            const upstream_info& info, time_point now)
{
    const auto [place, is_new] = table.m_names.try_emplace(info.m_name, 0);
    if (is_new) {
        place->second = new_position(table);
    }
    const auto index = place->second;
    auto& upstream = *table.m_upstreams[index];
    const bool is_moved = is_new || upstream.m_info.m_labels != info.m_labels ||
                          upstream.m_info.m_failure_domain != info.m_failure_domain;
    const bool is_reported = upstream.m_info.m_report.m_measured_at != info.m_report.m_measured_at;
    if (info.m_is_out_of_contact && !upstream.m_info.m_is_out_of_contact) {
        upstream.m_out_of_contact_until = now + options.m_max_doubt;
    }
    const bool is_formation_changed = is_new || upstream.m_info.m_group != info.m_group ||
                                      upstream.m_info.m_group_epoch != info.m_group_epoch ||
                                      upstream.m_info.m_is_group_broken != info.m_is_group_broken;
    upstream.m_info = info;
    upstream.m_is_known = true;
    if (is_reported) {
        note_report(upstream);
    }
    refresh(table, options, index, now);
    if (is_moved) {
        rebuild_all(table, options, now);
    }
    if (is_formation_changed) {
        update_formation(table, options, info.m_group, now);
    }
    return index;
}

void drop_upstream(route_table& table, const route_options& options, const upstream_id& name,
                   time_point now)
{
    const auto place = table.m_names.find(name);
    if (place == table.m_names.end()) {
        return;
    }
    const auto index = place->second;
    auto& upstream = *table.m_upstreams[index];
    const auto group = upstream.m_info.m_group;
    leave_routes(upstream, index);
    upstream.m_is_known = false;
    upstream.m_held_for = ticket{};
    table.m_names.erase(place);
    free_if_unused(table, index);
    rebuild_all(table, options, now);
    update_formation(table, options, group, now);
}

void refresh(route_table& table, const route_options& options, upstream_index index, time_point now)
{
    auto& upstream = *table.m_upstreams[index];
    const bool was_able = upstream.m_is_able;
    upstream.m_is_able = upstream.m_is_known && !upstream.m_info.m_leaving &&
                         !upstream.m_info.m_is_drained && !upstream.m_info.m_is_out_of_contact &&
                         upstream.m_info.m_lease_deadline > now;
    const std::array<bool, 2> is_open = {
        has_room(table, upstream, options, configuration::work_class::urgent, now),
        has_room(table, upstream, options, configuration::work_class::ordinary, now)};
    const bool is_own = is_near(options, upstream);
    for (auto* subject : upstream.m_routes) {
        subject->m_able += upstream.m_is_able ? 1 : 0;
        subject->m_able -= was_able ? 1 : 0;
        for (std::size_t i = 0; i < is_open.size(); ++i) {
            subject->m_open[i].m_near.set(index, is_open[i] && is_own);
            subject->m_open[i].m_far.set(index, is_open[i] && !is_own);
        }
    }
}

void refresh_members(route_table& table, const route_options& options, const route& subject,
                     time_point now)
{
    for (const auto index : subject.m_members) {
        refresh(table, options, index, now);
    }
}

bool may_regain_member(const route_table& table, const route& subject, time_point now)
{
    return std::any_of(
        subject.m_members.begin(), subject.m_members.end(), [&](upstream_index index) {
            const auto& upstream = *table.m_upstreams[index];
            return upstream.m_info.m_is_out_of_contact && !upstream.m_info.m_leaving &&
                   !upstream.m_info.m_is_drained && upstream.m_out_of_contact_until > now;
        });
}

std::optional<time_point> end_of_backoffs(const route_table& table, const route& subject,
                                          time_point now)
{
    if (table.m_backoffs_until <= now) {
        return std::nullopt;
    }
    std::optional<time_point> first;
    bool is_any_backing_off = false;
    for (const auto index : subject.m_members) {
        const auto& upstream = *table.m_upstreams[index];
        if (!upstream.m_is_able) {
            continue;
        }
        const auto opens_at =
            std::max(upstream.m_ramp.m_opens_at, upstream.m_health.m_closed_until);
        if (opens_at <= now) {
            return std::nullopt;
        }
        is_any_backing_off = is_any_backing_off || notices::is_backing_off(upstream.m_ramp, now);
        first = std::min(first.value_or(opens_at), opens_at);
    }
    return is_any_backing_off ? first : std::nullopt;
}

bool is_drained(const route_table& table, const route& subject)
{
    return !subject.m_members.empty() &&
           std::all_of(
               subject.m_members.begin(), subject.m_members.end(),
               [&](upstream_index index) { return table.m_upstreams[index]->m_info.m_is_drained; });
}

bool has_serving_member(const route_table& table, const route& subject, time_point now)
{
    return std::any_of(
        subject.m_members.begin(), subject.m_members.end(),
        [&](upstream_index index) { return is_serving(table, *table.m_upstreams[index], now); });
}

std::optional<upstream_index> find_upstream(const route_table& table, const upstream_id& name)
{
    const auto place = table.m_names.find(name);
    if (place == table.m_names.end()) {
        return std::nullopt;
    }
    return place->second;
}

std::uint32_t ordinary_slots_of(const upstream_state& upstream, const route_options& options,
                                std::uint32_t slots)
{
    const auto reported = upstream.m_info.m_report.m_ordinary_slots;
    return reported > 0 ? std::min(reported, slots)
                        : fairness::ordinary_slots(options.m_classes, slots, {});
}

void free_if_unused(route_table& table, upstream_index index)
{
    const auto& upstream = *table.m_upstreams[index];
    if (!upstream.m_is_known && upstream.m_in_flight == 0) {
        table.m_unused.push_back(index);
    }
}

}  // namespace dewbeam::dispatch
