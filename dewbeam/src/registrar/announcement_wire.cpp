#include "dewbeam/src/registrar/announcement_wire.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

/// Caps received times so that sums with the present can't overflow. Exceeds any start of an
/// upstream.
constexpr std::uint64_t max_cold_us = 3'600'000'000;

wire::AnnouncedUpstream::State to_wire(registry::upstream_state value)
{
    switch (value) {
        case registry::upstream_state::ready:
            return wire::AnnouncedUpstream::STATE_READY;
        case registry::upstream_state::leaving:
            return wire::AnnouncedUpstream::STATE_LEAVING;
        case registry::upstream_state::gone:
            break;
    }
    return wire::AnnouncedUpstream::STATE_GONE;
}

registry::upstream_state from_wire(wire::AnnouncedUpstream::State value)
{
    switch (value) {
        case wire::AnnouncedUpstream::STATE_READY:
            return registry::upstream_state::ready;
        case wire::AnnouncedUpstream::STATE_LEAVING:
            return registry::upstream_state::leaving;
        default:
            return registry::upstream_state::gone;
    }
}

}  // namespace

void to_wire(const registry::record& from, wire::AnnouncedUpstream& to)
{
    const auto& known = from.m_announced;
    to.set_name(known.m_name.value());
    to.set_incarnation(known.m_incarnation.value());
    to.set_state(to_wire(known.m_state));
    to.set_sequence(known.m_number.value());
    if (known.m_state == registry::upstream_state::gone) {
        return;
    }
    to.set_service(known.m_service);
    to.set_address(to_string(known.m_address));
    to.set_failure_domain(known.m_failure_domain.value());
    to.set_software(known.m_software);
    to.set_slots(known.m_slots);
    to.set_silent(from.m_is_unresponsive);
    if (known.m_cold_left) {
        to.set_cold_left_us(static_cast<std::uint64_t>(known.m_cold_left->count()));
    }
    if (known.m_group) {
        to.set_group(known.m_group->m_group);
        to.set_group_epoch(known.m_group->m_epoch);
        to.set_rank(known.m_group->m_rank.value());
        to.set_group_broken(known.m_group->m_is_broken);
    }
}

absl::StatusOr<registry::announcement> from_wire(const wire::AnnouncedUpstream& from)
{
    registry::announcement result;
    result.m_name = upstream_id(from.name());
    result.m_incarnation = incarnation(from.incarnation());
    result.m_state = from_wire(from.state());
    result.m_number = registry::announcement_number(from.sequence());
    if (result.m_state == registry::upstream_state::gone) {
        const auto status = check_name("/name", from.name());
        return status.ok() ? absl::StatusOr<registry::announcement>(result) : status;
    }
    auto address = parse_endpoint(from.address());
    if (!address.ok()) {
        return address.status();
    }
    result.m_address = *std::move(address);
    result.m_service = from.service();
    result.m_failure_domain = failure_domain_id(from.failure_domain());
    result.m_software = from.software();
    result.m_slots = from.slots();
    if (from.has_cold_left_us()) {
        result.m_cold_left = time_span(std::min<std::uint64_t>(from.cold_left_us(), max_cold_us));
    }
    if (!from.group().empty()) {
        result.m_group = registry::group_place{from.group(), from.group_epoch(),
                                               rank_id(from.rank()), from.group_broken()};
    }
    if (auto status = registry::check_names(result); !status.ok()) {
        return status;
    }
    return result;
}

registry::merge_result merge(registry::table& state, const wire::AnnouncedUpstream& received,
                             time_point now)
{
    auto announced = from_wire(received);
    if (!announced.ok()) {
        log_event(
            log_level::warning, "announcement_passed_over",
            {{"upstream", received.name()}, {"reason", std::string(announced.status().message())}});
        return registry::merge_result::nothing;
    }
    const auto result = registry::merge(state, *announced, now);
    if (!received.silent()) {
        return result;
    }
    const auto silenced = registry::merge_silence(state, *announced);
    return silenced == registry::merge_result::changed ? silenced : result;
}

}  // namespace dewbeam::registrar
