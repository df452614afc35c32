#include "dewbeam/src/entry/member_wire.h"

#include <algorithm>

#include "dewbeam/link"

namespace dewbeam::entry {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Limit of 7 days for ages and leases: those beyond a day are of no use, and very large ones would
/// overflow.
constexpr std::uint64_t max_milliseconds = 7ULL * 24 * 3600 * 1000;

std::uint64_t milliseconds_of(time_span span)
{
    const auto count = duration_cast<milliseconds>(span).count();
    return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)), max_milliseconds);
}

milliseconds span_of(std::uint64_t count)
{
    return milliseconds(static_cast<std::int64_t>(std::min(count, max_milliseconds)));
}

wire::Announcement::Role role_to_wire(membership::role value)
{
    switch (value) {
        case membership::role::entry:
            return wire::Announcement::ROLE_ENTRY;
        case membership::role::agent:
            return wire::Announcement::ROLE_AGENT;
        case membership::role::control:
            break;
    }
    return wire::Announcement::ROLE_CONTROL;
}

membership::role role_from_wire(wire::Announcement::Role value)
{
    switch (value) {
        case wire::Announcement::ROLE_ENTRY:
            return membership::role::entry;
        case wire::Announcement::ROLE_CONTROL:
            return membership::role::control;
        default:
            return membership::role::agent;
    }
}

}  // namespace

wire::Announcement to_wire(const membership::member& item, time_point now)
{
    wire::Announcement out;
    out.set_host(item.m_host.value());
    out.set_failure_domain(item.m_failure_domain.value());
    out.set_role(role_to_wire(item.m_role));
    out.set_address(item.m_address);
    out.set_http_address(item.m_http_address);
    out.set_incarnation(item.m_incarnation.value());
    out.set_sequence(item.m_sequence);
    out.set_lease_ms(item.m_dead ? milliseconds_of(item.m_lease_deadline - now) : 0);
    out.set_leaving(item.m_leaving);
    out.set_suspect(item.m_suspect);
    out.set_dead(item.m_dead);
    out.set_upstream(item.m_upstream.value());
    link::to_wire(item.m_labels, *out.mutable_labels());
    for (const auto& model : item.m_models) {
        out.add_models(model.value());
    }
    out.set_slots(item.m_slots);
    out.set_upstream_life(item.m_upstream_life.value());
    if (item.m_configuration.m_index != 0) {
        link::to_wire(item.m_configuration, *out.mutable_configuration());
    }
    return out;
}

membership::member from_wire(const wire::Announcement& source, time_point now)
{
    membership::member item;
    item.m_host = host_id(source.host());
    item.m_failure_domain = failure_domain_id(source.failure_domain());
    item.m_role = role_from_wire(source.role());
    item.m_address = source.address();
    item.m_http_address = source.http_address();
    item.m_incarnation = incarnation(source.incarnation());
    item.m_sequence = source.sequence();
    item.m_lease_deadline = now + span_of(source.lease_ms());
    item.m_leaving = source.leaving();
    item.m_suspect = source.suspect();
    item.m_dead = source.dead();
    item.m_upstream = upstream_id(source.upstream());
    item.m_labels = link::from_wire(source.labels());
    for (const auto& model : source.models()) {
        item.m_models.emplace_back(model);
    }
    item.m_slots = source.slots();
    item.m_upstream_life = incarnation(source.upstream_life());
    item.m_configuration = link::from_wire(source.configuration());
    if (source.has_report()) {
        item.m_load = from_wire(source.report(), now);
    }
    return item;
}

wire::EngineReport to_wire(const membership::member_load& load, time_point now)
{
    wire::EngineReport out;
    out.set_running(load.m_running);
    out.set_waiting(load.m_waiting);
    out.set_free_kv_tokens(static_cast<std::uint64_t>(load.m_free_kv.m_count));
    out.set_total_kv_tokens(static_cast<std::uint64_t>(load.m_total_kv.m_count));
    out.set_step_us(static_cast<std::uint64_t>(load.m_step_time.count()));
    out.set_skew(load.m_skew);
    out.set_urgent(load.m_urgent);
    out.set_ordinary_slots(load.m_ordinary_slots);
    out.set_measured_ms(milliseconds_of(now - load.m_measured_at));
    for (const auto prefix : load.m_cached_prefixes) {
        out.add_cached_prefixes(prefix);
    }
    out.set_event_sequence(load.m_event_sequence);
    return out;
}

membership::member_load from_wire(const wire::EngineReport& source, time_point now)
{
    constexpr std::uint64_t max_tokens = 1ULL << 40U;
    constexpr std::uint64_t max_step = 3'600'000'000;
    membership::member_load load;
    load.m_running = source.running();
    load.m_waiting = source.waiting();
    load.m_free_kv = {static_cast<std::int64_t>(std::min(source.free_kv_tokens(), max_tokens))};
    load.m_total_kv = {static_cast<std::int64_t>(std::min(source.total_kv_tokens(), max_tokens))};
    load.m_step_time = time_span(static_cast<std::int64_t>(std::min(source.step_us(), max_step)));
    load.m_skew = source.skew();
    load.m_urgent = source.urgent();
    load.m_ordinary_slots = source.ordinary_slots();
    load.m_measured_at = now - span_of(source.measured_ms());
    load.m_cached_prefixes.assign(source.cached_prefixes().begin(), source.cached_prefixes().end());
    load.m_event_sequence = source.event_sequence();
    return load;
}

wire::Gossip to_wire(const membership::gossip& message, time_point now)
{
    wire::Gossip out;
    for (const auto& item : message.m_deltas) {
        *out.add_deltas() = to_wire(item, now);
    }
    out.set_failure_domain(message.m_failure_domain.value());
    out.set_role(role_to_wire(message.m_role));
    out.set_reply_to(message.m_reply_to);
    if (message.m_heartbeat) {
        out.set_heartbeat_incarnation(message.m_heartbeat->m_incarnation.value());
        out.set_heartbeat_sequence(message.m_heartbeat->m_sequence);
    }
    if (message.m_digest) {
        out.set_digest(*message.m_digest);
    }
    if (message.m_domain_digest) {
        out.set_domain_digest(*message.m_domain_digest);
    }
    if (message.m_parts) {
        out.mutable_parts()->Add(message.m_parts->begin(), message.m_parts->end());
    }
    out.set_parts_answer(message.m_is_parts_answer);
    out.set_full(message.m_wants_domain);
    out.set_wants_self(message.m_wants_self);
    for (const auto& contact : message.m_contacts) {
        auto* added = out.add_contacts();
        added->set_failure_domain(contact.m_failure_domain.value());
        added->set_age_ms(milliseconds_of(now - contact.m_heard_at));
    }
    if (message.m_quorum_heard_at) {
        out.set_quorum_age_ms(milliseconds_of(now - *message.m_quorum_heard_at));
    }
    return out;
}

membership::gossip from_wire(const wire::Gossip& source, const host_id& sender, time_point now)
{
    membership::gossip message;
    message.m_from = sender;
    message.m_failure_domain = failure_domain_id(source.failure_domain());
    message.m_role = role_from_wire(source.role());
    message.m_reply_to = source.reply_to();
    if (source.has_heartbeat_incarnation()) {
        message.m_heartbeat = {incarnation(source.heartbeat_incarnation()),
                               source.heartbeat_sequence()};
    }
    for (const auto& item : source.deltas()) {
        message.m_deltas.push_back(from_wire(item, now));
    }
    if (source.has_digest()) {
        message.m_digest = source.digest();
    }
    if (source.has_domain_digest()) {
        message.m_domain_digest = source.domain_digest();
    }
    if (source.parts_size() == static_cast<int>(membership::digest_parts)) {
        message.m_parts.emplace();
        std::copy(source.parts().begin(), source.parts().end(), message.m_parts->begin());
    }
    message.m_is_parts_answer = source.parts_answer();
    message.m_wants_domain = source.full();
    message.m_wants_self = source.wants_self();
    for (const auto& contact : source.contacts()) {
        message.m_contacts.push_back(
            {failure_domain_id(contact.failure_domain()), now - span_of(contact.age_ms())});
    }
    if (source.has_quorum_age_ms()) {
        message.m_quorum_heard_at = now - span_of(source.quorum_age_ms());
    }
    return message;
}

}  // namespace dewbeam::entry
