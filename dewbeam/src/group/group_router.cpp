#include "dewbeam/src/group/group_router.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace dewbeam::group {

namespace {

/// One host can exchange messages with this many others several times a second.
constexpr std::uint32_t max_ranks_without_relays = 32;
/// Each retry of a lost relay delays its block until the commands are repeated.
constexpr time_span lost_relay_retry_delay = std::chrono::seconds(5);
/// The first link to a relay may have to be replaced before it answers, and the relay needs links
/// to its block, too. A relay that is replaced earlier is followed by one that needs them all anew.
constexpr time_span relay_answer_timeout = std::chrono::milliseconds(600);

struct block {
    std::uint32_t m_first = 0;
    std::uint32_t m_end = 0;
};

block block_of(std::uint32_t ranks, rank_id rank)
{
    const auto size = block_size(ranks);
    const auto first = rank.value() / size * size;
    return {first, std::min(ranks, first + size)};
}

std::uint32_t block_index(const group_router& state, rank_id rank)
{
    return rank.value() / block_size(state.m_ranks);
}

/// Relays whose own answer is missing, or those of most of their blocks.
std::vector<rank_id> find_silent_relays(const group_router& state,
                                        const std::vector<outgoing_command>& commands,
                                        time_point now)
{
    std::map<std::uint32_t, std::uint32_t> missing;  // by relay
    std::set<std::uint32_t> unresponsive;
    for (const auto& item : commands) {
        const rank_id rank(item.m_message.to_rank());
        const bool is_owed = item.m_is_repeat && !item.m_is_sign_of_life;
        const auto relay = is_owed ? relay_of(state, rank, now) : std::nullopt;
        if (relay) {
            ++missing[relay->value()];
            unresponsive.insert(rank.value());
        }
    }
    std::vector<rank_id> result;
    for (const auto& [relay, count] : missing) {
        const auto own_block = block_of(state.m_ranks, rank_id(relay));
        if (unresponsive.contains(relay) || 2 * count > own_block.m_end - own_block.m_first) {
            result.emplace_back(relay);
        }
    }
    return result;
}

void mark_lost_relays(group_router& state, const std::vector<outgoing_command>& commands,
                      routing_result& out, time_point now)
{
    out.m_lost_relays = find_silent_relays(state, commands, now);
    for (const auto relay : out.m_lost_relays) {
        state.m_relay_unused_until[relay.value()] = now + lost_relay_retry_delay;
    }
}

/// Prefers other ranks as relays for blocks that didn't answer in time.
void replace_silent_relays(group_router& state, const std::vector<outgoing_command>& commands,
                           time_point now)
{
    if (now < state.m_relays_due) {
        return;
    }
    state.m_relays_due = now + relay_answer_timeout;
    for (const auto relay : find_silent_relays(state, commands, now)) {
        ++state.m_relay_offsets[block_index(state, relay)];
    }
}

void add(wire::GroupBundle& bundle, wire::GroupMessage message)
{
    message.clear_group();
    if (message.has_command()) {
        auto& command = *message.mutable_command();
        if (!command.packed_content().empty()) {
            bundle.set_packed_content(std::move(*command.mutable_packed_content()));
            command.clear_packed_content();
        }
    }
    *bundle.add_messages() = std::move(message);
}

/// A message of a bundle in the form in which it would have been sent individually.
wire::GroupMessage unbundle(const group_router& state, const wire::GroupBundle& bundle,
                            const wire::GroupMessage& item)
{
    auto result = item;
    result.set_group(state.m_group);
    if (result.has_command()) {
        result.set_relay(state.m_self.value());
        if (result.command().kind() == wire::GroupCommand::KIND_STAGE) {
            result.mutable_command()->set_packed_content(bundle.packed_content());
        }
    }
    return result;
}

void send_gathered(group_router& state, routing_result& out)
{
    if (state.m_gathered_reports.messages().empty()) {
        return;
    }
    auto bundle = std::exchange(state.m_gathered_reports, {});
    bundle.set_group(state.m_group);
    out.m_outgoing.push_back({state.m_gathered_coordinator, std::move(bundle)});
}

void gather(group_router& state, wire::GroupMessage report, routing_result& out)
{
    const rank_id coordinator(report.to_rank());
    if (coordinator != state.m_gathered_coordinator) {
        send_gathered(state, out);
        state.m_gathered_coordinator = coordinator;
    }
    state.m_awaited.erase(report.from_rank());
    add(state.m_gathered_reports, std::move(report));
    if (state.m_awaited.empty()) {
        send_gathered(state, out);
    }
}

void accept_command(group_router& state, wire::GroupMessage message, routing_result& out)
{
    state.m_report_relay =
        message.has_relay() ? std::optional(rank_id(message.relay())) : std::nullopt;
    out.m_own.push_back(std::move(message));
}

}  // namespace

group_router make_group_router(std::string group, rank_id self, std::uint32_t ranks)
{
    group_router result;
    result.m_group = std::move(group);
    result.m_self = self;
    result.m_ranks = ranks;
    result.m_relay_unused_until.resize(ranks);
    result.m_relay_offsets.resize(reporter_count(ranks));
    return result;
}

std::uint32_t block_size(std::uint32_t ranks)
{
    if (ranks <= max_ranks_without_relays) {
        return std::max(1U, ranks);
    }
    return static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks))));
}

std::uint32_t reporter_count(std::uint32_t ranks)
{
    if (ranks <= max_ranks_without_relays) {
        return ranks;
    }
    const auto size = block_size(ranks);
    return (ranks + size - 1) / size;
}

std::uint32_t block_followers(std::uint32_t ranks, rank_id rank, rank_id coordinator)
{
    const auto own_block = block_of(ranks, rank);
    const bool has_coordinator =
        coordinator.value() >= own_block.m_first && coordinator.value() < own_block.m_end;
    return own_block.m_end - own_block.m_first - (has_coordinator ? 1 : 0);
}

std::optional<rank_id> relay_of(const group_router& state, rank_id rank, time_point now)
{
    if (state.m_ranks <= max_ranks_without_relays) {
        return std::nullopt;
    }
    const auto own_block = block_of(state.m_ranks, rank);
    const auto size = own_block.m_end - own_block.m_first;
    const auto offset = state.m_relay_offsets[block_index(state, rank)];
    for (std::uint32_t i = 0; i < size; ++i) {
        const auto candidate = own_block.m_first + (offset + i) % size;
        // The coordinator doesn't relay for its own block, since it has the highest load already.
        if (rank_id(candidate) != state.m_self && state.m_relay_unused_until[candidate] <= now) {
            return rank_id(candidate);
        }
    }
    return std::nullopt;
}

routing_result send_commands(group_router& state, std::vector<outgoing_command> commands,
                             time_point now)
{
    routing_result result;
    // If most ranks are missing, their agents are still starting, their engines are stalled or this
    // host can't reach them. This doesn't show that any one relay is lost, and repeated messages to
    // each rank directly would only load this host. Other ranks are tried as relays instead, once
    // the present ones have had the time to answer.
    const bool are_few = commands.size() <= std::size_t{2} * block_size(state.m_ranks);
    if (are_few) {
        mark_lost_relays(state, commands, result, now);
    }
    else if (commands.back().m_is_repeat) {
        replace_silent_relays(state, commands, now);
    }
    else {
        state.m_relays_due = now + relay_answer_timeout;  // a new round
    }
    std::map<rank_id, wire::GroupBundle> bundles;
    for (auto& item : commands) {
        const rank_id rank(item.m_message.to_rank());
        const bool is_direct = rank == state.m_self || (item.m_is_repeat && are_few);
        const auto relay = is_direct ? std::nullopt : relay_of(state, rank, now);
        if (relay) {
            add(bundles[*relay], std::move(item.m_message));
        }
        else {
            result.m_outgoing.push_back({rank, std::move(item.m_message)});
        }
    }
    for (auto& [relay, bundle] : bundles) {
        bundle.set_group(state.m_group);
        result.m_outgoing.push_back({relay, std::move(bundle)});
    }
    return result;
}

routing_result send_report(group_router& state, wire::GroupMessage report)
{
    routing_result result;
    const rank_id coordinator(report.to_rank());
    if (state.m_report_relay == state.m_self && coordinator != state.m_self) {
        gather(state, std::move(report), result);
    }
    else {
        const auto to =
            coordinator == state.m_self ? coordinator : state.m_report_relay.value_or(coordinator);
        result.m_outgoing.push_back({to, std::move(report)});
    }
    return result;
}

routing_result take(group_router& state, wire::GroupMessage message)
{
    routing_result result;
    if (message.to_rank() != state.m_self.value()) {
        if (message.has_report()) {
            gather(state, std::move(message), result);
        }
    }
    else if (message.has_command()) {
        accept_command(state, std::move(message), result);
    }
    else {
        result.m_own.push_back(std::move(message));
    }
    return result;
}

routing_result take(group_router& state, const wire::GroupBundle& bundle)
{
    routing_result result;
    std::set<std::uint32_t> awaited;
    for (const auto& item : bundle.messages()) {
        auto message = unbundle(state, bundle, item);
        if (message.has_command()) {
            awaited.insert(message.to_rank());
        }
        if (message.to_rank() == state.m_self.value()) {
            auto own = take(state, std::move(message));
            std::move(own.m_own.begin(), own.m_own.end(), std::back_inserter(result.m_own));
        }
        else if (message.has_command() && message.to_rank() < state.m_ranks) {
            result.m_outgoing.push_back({rank_id(message.to_rank()), std::move(message)});
        }
    }
    if (!awaited.empty()) {
        state.m_awaited = std::move(awaited);
    }
    return result;
}

routing_result flush(group_router& state)
{
    routing_result result;
    send_gathered(state, result);
    return result;
}

}  // namespace dewbeam::group
