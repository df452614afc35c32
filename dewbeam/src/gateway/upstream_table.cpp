#include "dewbeam/src/gateway/upstream_table.h"

#include <algorithm>
#include <optional>

#include "dewbeam/src/entry/pool_table.h"

namespace dewbeam::gateway {

namespace {

constexpr const char* service_label = "service";
/// How long an unresponsive upstream is used after its last complete answer. It is about the time
/// that the registries take to find an upstream unresponsive, so that one that only they can't
/// contact stays in use.
constexpr time_span lease_after_answer = std::chrono::seconds(4);
/// A rank with at least this slowdown delays its whole group with the work it is given.
constexpr double slow_rank_threshold = 1.5;
constexpr double max_avoided_share = 0.34;

}  // namespace

std::string pool_name(const std::string& service)
{
    return entry::service_pool(service);
}

configuration::selector service_selector(const std::string& service)
{
    configuration::requirement wanted;
    wanted.m_key = service_label;
    wanted.m_kind = configuration::requirement_kind::in;
    wanted.m_values = {service};
    return {{wanted}};
}

upstream_table::upstream_table(boost::asio::io_context& context, http::client_options options,
                               std::function<void(const upstream_incarnation&)> on_idle_end)
    : m_context(context), m_options(std::move(options)), m_on_idle_end(std::move(on_idle_end))
{
}

std::shared_ptr<http::client> upstream_table::make_client(const registry::announcement& known) const
{
    auto options = m_options;
    if (m_on_idle_end) {
        options.m_on_idle_end = [tell = m_on_idle_end,
                                 where = upstream_incarnation{known.m_name, known.m_incarnation}] {
            tell(where);
        };
    }
    return std::make_shared<http::client>(m_context, known.m_address, std::move(options));
}

std::vector<upstream_id> upstream_table::put(const registry::announcement& known,
                                             bool is_unresponsive, time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_id> returned;
    auto& place = m_items[known.m_name];
    const auto& before = place.m_known.m_group;
    const bool is_formed_again =
        known.m_group && before && before->m_epoch < known.m_group->m_epoch;
    const bool is_started = !place.m_client || place.m_known.m_incarnation != known.m_incarnation;
    // Connections to an earlier incarnation are dead, and some never report an error.
    if (is_started || place.m_known.m_address != known.m_address) {
        place.m_client = make_client(known);
    }
    const bool is_back = place.m_is_unresponsive && !is_unresponsive;
    if (is_formed_again) {
        returned = note_group_return(*known.m_group, now);
        std::erase(returned, known.m_name);
    }
    place.m_known = known;
    place.m_is_unresponsive = is_unresponsive;
    if (is_started || is_back || is_formed_again) {
        note_return(place, now);
    }
    if (known.m_cold_left && !is_unresponsive) {
        slow_start::note_announcement(place.m_warmth, *known.m_cold_left, now);
    }
    return returned;
}

void upstream_table::note_return(item& subject, time_point now) const
{
    const auto service = m_cold_services.find(subject.m_known.m_service);
    if (service != m_cold_services.end()) {
        slow_start::note_return(subject.m_warmth, service->second.m_cold_time, now);
    }
}

/// The other members announce each for themselves. Until then their last announcements may be older
/// than the interruption.
std::vector<upstream_id> upstream_table::note_group_return(const registry::group_place& formed,
                                                           time_point now)
{
    std::vector<upstream_id> result;
    for (auto& [name, subject] : m_items) {
        const auto& group = subject.m_known.m_group;
        if (group && group->m_group == formed.m_group && group->m_epoch < formed.m_epoch &&
            m_cold_services.contains(subject.m_known.m_service)) {
            note_return(subject, now);
            result.push_back(name);
        }
    }
    return result;
}

void upstream_table::set_cold_services(std::map<std::string, routes::service> services)
{
    const std::lock_guard lock(m_mutex);
    m_cold_services = std::move(services);
}

bool upstream_table::is_cold(const upstream_id& name, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    return place != m_items.end() && cold_rate(place->second, now).has_value();
}

std::optional<double> upstream_table::cold_rate(const item& subject, time_point now) const
{
    const auto service = m_cold_services.find(subject.m_known.m_service);
    if (service == m_cold_services.end() || !slow_start::is_cold(subject.m_warmth, now)) {
        return std::nullopt;
    }
    return slow_start::share_of_rate(service->second.m_cold_requests_per_second);
}

std::vector<cold_upstream> upstream_table::cold_upstreams(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<cold_upstream> result;
    if (m_cold_services.empty()) {
        return result;
    }
    for (const auto& [name, subject] : m_items) {
        if (const auto rate = cold_rate(subject, now)) {
            result.push_back({name, *rate});
        }
    }
    return result;
}

std::vector<upstream_id> upstream_table::set_drained_domains(
    const std::set<failure_domain_id>& drained, time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_id> result;
    for (auto& [name, subject] : m_items) {
        const auto& domain = subject.m_known.m_failure_domain;
        const bool was_drained = m_drained.contains(domain);
        if (drained.contains(domain) == was_drained) {
            continue;
        }
        result.push_back(name);
        if (was_drained) {
            note_return(subject, now);
        }
    }
    m_drained = drained;
    return result;
}

void upstream_table::remove(const upstream_id& name)
{
    const std::lock_guard lock(m_mutex);
    m_items.erase(name);
    m_limits.m_limits.erase(name);
}

destination upstream_table::find(const upstream_id& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end()) {
        return {};
    }
    const auto& known = place->second.m_known;
    return {place->second.m_client, known.m_failure_domain, known.m_incarnation, known.m_address,
            is_leaving(place->second)};
}

notices::standing upstream_table::standing_of(const item& subject) const
{
    return notices::find(m_notices, subject.m_known.m_name, subject.m_known.m_incarnation);
}

bool upstream_table::is_leaving(const item& subject) const
{
    return subject.m_known.m_state != registry::upstream_state::ready ||
           standing_of(subject).m_is_leaving;
}

std::optional<dispatch::upstream_info> upstream_table::info(const upstream_id& name,
                                                            time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end()) {
        return std::nullopt;
    }
    const auto& subject = place->second;
    dispatch::upstream_info result;
    result.m_name = name;
    result.m_incarnation = subject.m_known.m_incarnation;
    result.m_failure_domain = subject.m_known.m_failure_domain;
    result.m_labels.set(service_label, subject.m_known.m_service);
    result.m_slots = subject.m_known.m_slots;
    if (subject.m_known.m_group) {
        result.m_group = subject.m_known.m_group->m_group;
        result.m_group_epoch = subject.m_known.m_group->m_epoch;
        result.m_is_group_broken = subject.m_known.m_group->m_is_broken;
    }
    result.m_leaving = is_leaving(subject);
    result.m_backoff_until = standing_of(subject).m_backoff_until;
    result.m_is_drained = m_drained.contains(subject.m_known.m_failure_domain);
    result.m_is_stalled = result.m_is_group_broken || subject.m_is_avoided;
    result.m_report.m_skew = subject.m_pace;
    if (subject.m_is_unresponsive) {
        result.m_lease_deadline = subject.m_answered_at + lease_after_answer;
    }
    const auto limit = m_limits.m_limits.find(name);
    if (limit != m_limits.m_limits.end() &&
        limit->second.m_incarnation == subject.m_known.m_incarnation) {
        result.m_rate_limit = limit->second.m_per_second;
    }
    if (const auto rate = cold_rate(subject, now)) {
        result.m_rate_limit = std::min(*rate, result.m_rate_limit.value_or(*rate));
        result.m_is_cold = true;
    }
    if (subject.m_other_gateways_load_at != time_point{}) {
        result.m_report.m_running = subject.m_other_gateways_load + subject.m_in_flight;
        result.m_report.m_measured_at = now;
        result.m_report.m_others_counted_at = subject.m_other_gateways_load_at;
    }
    return result;
}

std::string upstream_table::pool_of(const upstream_id& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    return place == m_items.end() ? std::string() : pool_name(place->second.m_known.m_service);
}

void upstream_table::begin_attempt(const upstream_id& name)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place != m_items.end()) {
        ++place->second.m_in_flight;
    }
}

void upstream_table::end_attempt(const upstream_id& name, bool has_answered, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end()) {
        return;
    }
    auto& subject = place->second;
    subject.m_in_flight -= subject.m_in_flight > 0 ? 1 : 0;
    if (has_answered) {
        subject.m_answered_at = now;
    }
}

void upstream_table::note_heard(const upstream_id& name, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place != m_items.end()) {
        place->second.m_heard_at = now;
    }
}

time_point upstream_table::heard_at(const upstream_id& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    return place == m_items.end() ? time_point{} : place->second.m_heard_at;
}

bool upstream_table::has_neighbour_answered(const upstream_id& name, time_point since) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end()) {
        return false;
    }
    const auto& self = place->second.m_known;
    return std::any_of(m_items.begin(), m_items.end(), [&](const auto& other) {
        const auto& known = other.second.m_known;
        return other.first != name && known.m_service == self.m_service &&
               known.m_failure_domain == self.m_failure_domain && other.second.m_heard_at >= since;
    });
}

bool upstream_table::do_neighbours_announce(
    const upstream_id& name, const std::set<upstream_id>& recently_unresponsive) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end() || !place->second.m_is_unresponsive) {
        return false;
    }
    const auto& domain = place->second.m_known.m_failure_domain;
    std::size_t announcing = 0;
    std::size_t silent = 0;
    for (const auto& [other, subject] : m_items) {
        if (other == name || subject.m_known.m_failure_domain != domain) {
            continue;
        }
        announcing += subject.m_is_unresponsive ? 0 : 1;
        silent += subject.m_is_unresponsive && recently_unresponsive.contains(other) ? 1 : 0;
    }
    return announcing > silent;
}

bool upstream_table::is_unresponsive(const upstream_id& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    return place != m_items.end() && place->second.m_is_unresponsive;
}

std::vector<upstream_incarnation> upstream_table::at_address(const endpoint& address) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_incarnation> result;
    for (const auto& [name, subject] : m_items) {
        if (subject.m_known.m_address == address) {
            result.push_back({name, subject.m_known.m_incarnation});
        }
    }
    return result;
}

void upstream_table::set_other_gateways_load(const upstream_id& name, std::uint32_t in_flight,
                                             time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place != m_items.end()) {
        place->second.m_other_gateways_load = in_flight;
        place->second.m_other_gateways_load_at = now;
    }
}

void upstream_table::set_slowdowns(const std::map<upstream_id, double>& slowdowns)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t> members;
    std::map<std::string, std::size_t> slow;
    for (auto& [name, subject] : m_items) {
        const auto place = slowdowns.find(name);
        subject.m_pace = place == slowdowns.end() ? 1.0 : place->second;
        ++members[subject.m_known.m_service];
        slow[subject.m_known.m_service] += subject.m_pace >= slow_rank_threshold ? 1 : 0;
    }
    for (auto& [name, subject] : m_items) {
        const auto& service = subject.m_known.m_service;
        const auto most = max_avoided_share * static_cast<double>(members[service]);
        const bool has_others = static_cast<double>(slow[service]) <= most;
        subject.m_is_avoided = has_others && subject.m_pace >= slow_rank_threshold;
    }
}

bool upstream_table::note_limit(const permits::rate_limit& received)
{
    const std::lock_guard lock(m_mutex);
    return permits::note_limit(m_limits, received);
}

bool upstream_table::note_no_limit(const upstream_id& name, incarnation target_incarnation,
                                   time_point sent_at, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_limits.m_limits.find(name);
    if (place == m_limits.m_limits.end() || !place->second.m_per_second ||
        place->second.m_incarnation != target_incarnation || place->second.m_heard_at >= sent_at) {
        return false;
    }
    return permits::note_limit(m_limits, {name, target_incarnation, std::nullopt, now});
}

bool upstream_table::note_notice(const notices::notice& heard, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(heard.m_upstream);
    if (place != m_items.end() && place->second.m_known.m_incarnation != heard.m_incarnation) {
        return false;
    }
    return notices::note(m_notices, heard, now);
}

bool upstream_table::takes_requests(const upstream_id& name, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_items.find(name);
    if (place == m_items.end()) {
        return false;
    }
    const auto standing = standing_of(place->second);
    return !standing.m_is_leaving && standing.m_backoff_until <= now;
}

std::vector<closed_upstream> upstream_table::closed_by_notices(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<closed_upstream> result;
    for (const auto& [name, standing] : m_notices.m_standings) {
        const auto place = m_items.find(name);
        const bool is_current =
            place != m_items.end() && place->second.m_known.m_incarnation == standing.m_incarnation;
        if (is_current && (standing.m_is_leaving || standing.m_backoff_until > now)) {
            result.push_back({name, pool_name(place->second.m_known.m_service),
                              standing.m_backoff_until, standing.m_is_leaving});
        }
    }
    return result;
}

void upstream_table::forget_old_notices(time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& [name, standing] : m_notices.m_standings) {
        if (m_items.contains(name)) {
            standing.m_known_at = now;
        }
    }
    notices::forget_old(m_notices, now);
}

std::vector<permits::rate_limit> upstream_table::limits(time_point now)
{
    const std::lock_guard lock(m_mutex);
    permits::forget_old(m_limits, now);
    std::vector<permits::rate_limit> result;
    for (const auto& [name, limit] : m_limits.m_limits) {
        result.push_back(limit);
    }
    return result;
}

std::vector<upstream_load> upstream_table::loads() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_load> result;
    result.reserve(m_items.size());
    for (const auto& [name, subject] : m_items) {
        result.push_back({name, pool_name(subject.m_known.m_service), subject.m_in_flight});
    }
    return result;
}

std::vector<upstream_id> upstream_table::silent() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_id> result;
    for (const auto& [name, subject] : m_items) {
        if (subject.m_is_unresponsive) {
            result.push_back(name);
        }
    }
    return result;
}

std::size_t upstream_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_items.size();
}

}  // namespace dewbeam::gateway
