#include "dewbeam/src/entry/pool_table.h"

#include <utility>

#include "dewbeam/src/program/program.h"

namespace dewbeam::entry {

std::string model_pool(const model_id& model)
{
    return "model:" + model.value();
}

std::string service_pool(const std::string& service)
{
    return "service:" + service;
}

std::vector<std::string> pools_of(const membership::member& member)
{
    std::vector<std::string> result;
    for (const auto& model : member.m_models) {
        result.push_back(model_pool(model));
    }
    if (const auto* service = member.m_labels.find("service")) {
        result.push_back(service_pool(*service));
    }
    return result;
}

dispatch::upstream_info to_upstream(const membership::member& member,
                                    const configuration::label_set& labels)
{
    const auto* drain = labels.find(configuration::drain_label);
    dispatch::upstream_info info;
    info.m_name = member.m_upstream;
    info.m_failure_domain = member.m_failure_domain;
    info.m_labels = labels;
    info.m_incarnation = member.m_upstream_life;
    info.m_slots = member.m_slots;
    info.m_leaving = member.m_leaving || (drain != nullptr && *drain == "true");
    info.m_is_out_of_contact = member.m_suspect;
    info.m_lease_deadline = member.m_lease_deadline;
    info.m_report.m_running = member.m_load.m_running;
    info.m_report.m_waiting = member.m_load.m_waiting;
    info.m_report.m_urgent = member.m_load.m_urgent;
    info.m_report.m_ordinary_slots = member.m_load.m_ordinary_slots;
    info.m_report.m_free_kv = member.m_load.m_free_kv;
    info.m_report.m_total_kv = member.m_load.m_total_kv;
    info.m_report.m_step_time = member.m_load.m_step_time;
    info.m_report.m_skew = member.m_load.m_skew;
    info.m_report.m_measured_at = member.m_load.m_measured_at;
    return info;
}

pool_table::pool_table(dispatch::broker_options options) : m_options(std::move(options)) {}

std::shared_ptr<pool_table::locked_broker> pool_table::find(const std::string& name) const
{
    const std::shared_lock lock(m_mutex);
    const auto place = m_pools.find(name);
    return place == m_pools.end() ? nullptr : place->second;
}

std::shared_ptr<pool_table::locked_broker> pool_table::find_or_make(const std::string& name)
{
    if (auto known = find(name)) {
        return known;
    }
    const std::unique_lock lock(m_mutex);
    auto& place = m_pools[name];
    if (!place) {
        place = std::make_shared<locked_broker>();
        place->m_broker.m_options = m_options;
        place->m_broker.m_suspicions.m_options = m_options.m_quarantine;
        place->m_broker.m_retry_budget = retry::make_budget(m_options.m_retries);
        place->m_broker.m_options.m_overload.m_is_active = m_controlled.contains(name);
        place->m_random = program::seeded_engine();
    }
    return place;
}

dispatch::actions pool_table::submit(const std::string& pool, dispatch::request_info info,
                                     time_point now)
{
    // If requests may wait for upstreams, a request may create its pool.
    const auto target = m_options.m_waits_for_upstreams ? find_or_make(pool) : find(pool);
    if (!target) {
        dispatch::action refusal;
        refusal.m_kind = dispatch::action::kind::refuse;
        refusal.m_ticket = info.m_ticket;
        refusal.m_refusal = dispatch::refusal::no_able_upstream;
        refusal.m_retry_at = now + std::chrono::seconds(1);
        return {refusal};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::submit(target->m_broker, std::move(info), now, target->m_random);
}

bool pool_table::first_token(const std::string& pool, dispatch::ticket request, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return false;
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::first_token(target->m_broker, request, now);
}

dispatch::actions pool_table::attempt_ended(const std::string& pool, dispatch::ticket request,
                                            dispatch::attempt_end end, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return {};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::attempt_ended(target->m_broker, request, end, now, target->m_random);
}

dispatch::actions pool_table::note_unresponsive_upstream(const std::string& pool,
                                                         dispatch::ticket request, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return {};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::note_unresponsive_upstream(target->m_broker, request, now, target->m_random);
}

void pool_table::note_backoff(const std::string& pool, dispatch::ticket request, time_point until,
                              time_point now)
{
    if (const auto target = find(pool)) {
        const std::lock_guard lock(target->m_mutex);
        dispatch::note_backoff(target->m_broker, request, until, now, target->m_random);
    }
}

dispatch::actions pool_table::cancel(const std::string& pool, dispatch::ticket request,
                                     time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return {};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::cancel(target->m_broker, request, now, target->m_random);
}

dispatch::actions pool_table::update_upstream(const std::string& pool,
                                              const dispatch::upstream_info& info, time_point now)
{
    const auto target = find_or_make(pool);
    const std::lock_guard lock(target->m_mutex);
    return dispatch::update_upstream(target->m_broker, info, now, target->m_random);
}

dispatch::actions pool_table::remove_upstream(const std::string& pool, const upstream_id& name,
                                              time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return {};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::remove_upstream(target->m_broker, name, now, target->m_random);
}

dispatch::actions pool_table::tick(time_point now)
{
    std::vector<std::shared_ptr<locked_broker>> all;
    {
        const std::shared_lock lock(m_mutex);
        for (const auto& [name, one] : m_pools) {
            all.push_back(one);
        }
    }
    dispatch::actions result;
    for (const auto& one : all) {
        const std::lock_guard lock(one->m_mutex);
        const auto more = dispatch::tick(one->m_broker, now, one->m_random);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

std::vector<pool_suspicion> pool_table::take_suspicions()
{
    std::vector<pool_suspicion> result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        for (auto& record : dispatch::take_suspicions(target->m_broker)) {
            result.push_back({name, std::move(record)});
        }
    }
    return result;
}

std::vector<pool_suspicion> pool_table::all_suspicions() const
{
    std::vector<pool_suspicion> result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        for (auto& record : quarantine::all_records(target->m_broker.m_suspicions)) {
            result.push_back({name, std::move(record)});
        }
    }
    return result;
}

dispatch::actions pool_table::merge_suspicion(const std::string& pool,
                                              const quarantine::suspicion& record, time_point now)
{
    const auto target = find_or_make(pool);
    const std::lock_guard lock(target->m_mutex);
    return dispatch::merge_suspicion(target->m_broker, record, now, target->m_random);
}

std::vector<fingerprint> pool_table::wanted_turns() const
{
    std::vector<fingerprint> result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        const auto more = dispatch::wanted_turns(target->m_broker);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

dispatch::actions pool_table::set_exclusive_grants(const std::vector<fingerprint>& granted,
                                                   bool is_cut_off, time_point now)
{
    dispatch::actions result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        const auto more = dispatch::set_exclusive_grants(target->m_broker, granted, is_cut_off, now,
                                                         target->m_random);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

void pool_table::suspend_exclusive_grant(const std::string& pool, fingerprint content)
{
    if (const auto target = find(pool)) {
        const std::lock_guard lock(target->m_mutex);
        dispatch::suspend_exclusive_grant(target->m_broker, content);
    }
}

void pool_table::lift_quarantine(const std::string& pool, fingerprint content, time_point now)
{
    if (const auto target = find(pool)) {
        const std::lock_guard lock(target->m_mutex);
        dispatch::lift_quarantine(target->m_broker, content, now);
    }
}

std::vector<permits::demand> pool_table::wanted_permits(time_point now) const
{
    std::vector<permits::demand> result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        const auto more = dispatch::wanted_permits(target->m_broker, now);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

dispatch::actions pool_table::add_permits(const std::string& pool, const upstream_id& name,
                                          std::uint32_t count, time_point deadline, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return {};
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::add_permits(target->m_broker, name, count, deadline, now, target->m_random);
}

bool pool_table::note_result(const std::string& pool, const upstream_id& name,
                             dispatch::upstream_result how, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return false;
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::note_result(target->m_broker, name, how, now);
}

bool pool_table::note_group_refusal(const std::string& pool, const upstream_id& name,
                                    time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return false;
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::note_group_refusal(target->m_broker, name, now);
}

bool pool_table::next_event(const std::string& pool, dispatch::ticket request, time_point now)
{
    const auto target = find(pool);
    if (!target) {
        return false;
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::next_event(target->m_broker, request, now);
}

std::vector<std::string> pool_table::take_stalled_groups()
{
    std::vector<std::string> result;
    for (const auto& name : names()) {
        const auto target = find(name);
        const std::lock_guard lock(target->m_mutex);
        for (auto& group : dispatch::take_stalled_groups(target->m_broker)) {
            result.push_back(std::move(group));
        }
    }
    return result;
}

bool pool_table::is_overtaken(const std::string& pool, dispatch::ticket request,
                              time_span margin) const
{
    const auto target = find(pool);
    if (!target) {
        return false;
    }
    const std::lock_guard lock(target->m_mutex);
    return dispatch::is_overtaken(target->m_broker, request, margin);
}

void pool_table::set_sharing(std::uint32_t entries, const retry::budget_options& retries)
{
    const std::unique_lock lock(m_mutex);
    m_options.m_sharing_entry_count = entries;
    m_options.m_retries = retries;
    for (const auto& [name, one] : m_pools) {
        const std::lock_guard broker_lock(one->m_mutex);
        dispatch::set_sharing(one->m_broker, entries, retries);
    }
}

bool pool_table::is_overload_controlled(const std::string& pool) const
{
    const std::shared_lock lock(m_mutex);
    return m_controlled.contains(pool);
}

void pool_table::set_overload_controlled(std::set<std::string> pools, time_point now)
{
    const std::unique_lock lock(m_mutex);
    m_controlled = std::move(pools);
    for (const auto& [name, one] : m_pools) {
        const std::lock_guard broker_lock(one->m_mutex);
        dispatch::set_overload_control(one->m_broker, m_controlled.contains(name), now);
    }
}

std::map<std::string, group_limits> pool_table::limits_of_groups(time_point now) const
{
    std::map<std::string, group_limits> result;
    for (const auto& name : names()) {
        const auto pool = find(name);
        const std::lock_guard lock(pool->m_mutex);
        for (const auto& [group, limits] : pool->m_broker.m_table.m_step_limits) {
            result[group] = {overload::share_of_slots(limits.m_concurrency),
                             overload::pace_of(limits.m_prefill, now)};
        }
    }
    return result;
}

std::size_t pool_table::in_flight() const
{
    std::size_t result = 0;
    for (const auto& name : names()) {
        const auto pool = find(name);
        const std::lock_guard lock(pool->m_mutex);
        result += dispatch::in_flight(pool->m_broker);
    }
    return result;
}

retry_totals pool_table::retries() const
{
    retry_totals result;
    for (const auto& name : names()) {
        const auto one = retries_of(name);
        result.m_sent += one.m_sent;
        result.m_left += one.m_left;
        result.m_arriving += one.m_arriving;
    }
    return result;
}

retry_totals pool_table::retries_of(const std::string& name) const
{
    const auto pool = find(name);
    if (!pool) {
        return {};
    }
    const std::lock_guard lock(pool->m_mutex);
    const auto& budget = pool->m_broker.m_retry_budget;
    return {budget.m_retries, budget.m_tokens, retry::arriving_retries(budget)};
}

std::vector<std::string> pool_table::names() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<std::string> result;
    for (const auto& [name, one] : m_pools) {
        result.push_back(name);
    }
    return result;
}

}  // namespace dewbeam::entry
