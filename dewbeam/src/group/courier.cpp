#include "dewbeam/src/group/courier.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace dewbeam::group {

namespace {

/// One host can speak to so many others several times a second.
constexpr std::uint32_t most_ranks_without_relays = 32;
/// Each new try of a lost relay costs its block the time until the repeat.
constexpr time_span unused_span = std::chrono::seconds(5);

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

/// A relay is lost that owes its own answer, or those of most of its block.
void note_unanswered(courier& state, const std::vector<outgoing_command>& commands, deliveries& out,
                     time_point now)
{
    std::map<std::uint32_t, std::uint32_t> missing;  // by relay
    std::set<std::uint32_t> silent;
    for (const auto& item : commands) {
        const rank_id rank(item.m_message.to_rank());
        const bool is_owed = item.m_is_repeat && !item.m_is_sign_of_life;
        const auto relay = is_owed ? relay_of(state, rank, now) : std::nullopt;
        if (relay) {
            ++missing[relay->value()];
            silent.insert(rank.value());
        }
    }
    for (const auto& [relay, count] : missing) {
        const auto around = block_of(state.m_ranks, rank_id(relay));
        if (silent.contains(relay) || 2 * count > around.m_end - around.m_first) {
            state.m_unused_until[relay] = now + unused_span;
            out.m_lost_relays.emplace_back(relay);
        }
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

/// A message of a bundle, as it would have come by itself.
wire::GroupMessage unbundle(const courier& state, const wire::GroupBundle& bundle,
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

void send_gathered(courier& state, deliveries& out)
{
    if (state.m_gathered.messages().empty()) {
        return;
    }
    auto bundle = std::exchange(state.m_gathered, {});
    bundle.set_group(state.m_group);
    out.m_parcels.push_back({state.m_gathered_for, std::move(bundle)});
}

void gather(courier& state, wire::GroupMessage report, deliveries& out)
{
    const rank_id coordinator(report.to_rank());
    if (coordinator != state.m_gathered_for) {
        send_gathered(state, out);
        state.m_gathered_for = coordinator;
    }
    state.m_awaited.erase(report.from_rank());
    add(state.m_gathered, std::move(report));
    if (state.m_awaited.empty()) {
        send_gathered(state, out);
    }
}

void take_command(courier& state, wire::GroupMessage message, deliveries& out)
{
    state.m_reports_through =
        message.has_relay() ? std::optional(rank_id(message.relay())) : std::nullopt;
    out.m_own.push_back(std::move(message));
}

}  // namespace

courier make_courier(std::string group, rank_id self, std::uint32_t ranks)
{
    courier result;
    result.m_group = std::move(group);
    result.m_self = self;
    result.m_ranks = ranks;
    result.m_unused_until.resize(ranks);
    return result;
}

std::uint32_t block_size(std::uint32_t ranks)
{
    if (ranks <= most_ranks_without_relays) {
        return std::max(1U, ranks);
    }
    return static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks))));
}

std::uint32_t tellers(std::uint32_t ranks)
{
    if (ranks <= most_ranks_without_relays) {
        return ranks;
    }
    const auto size = block_size(ranks);
    return (ranks + size - 1) / size;
}

std::uint32_t block_followers(std::uint32_t ranks, rank_id rank, rank_id coordinator)
{
    const auto around = block_of(ranks, rank);
    const bool has_coordinator =
        coordinator.value() >= around.m_first && coordinator.value() < around.m_end;
    return around.m_end - around.m_first - (has_coordinator ? 1 : 0);
}

std::optional<rank_id> relay_of(const courier& state, rank_id rank, time_point now)
{
    if (state.m_ranks <= most_ranks_without_relays) {
        return std::nullopt;
    }
    const auto around = block_of(state.m_ranks, rank);
    const auto size = around.m_end - around.m_first;
    for (std::uint32_t i = 0; i < size; ++i) {
        const auto candidate = around.m_first + (state.m_turn + i) % size;
        // The coordinator leaves its own block to another rank: it has more to do than any other.
        if (rank_id(candidate) != state.m_self && state.m_unused_until[candidate] <= now) {
            return rank_id(candidate);
        }
    }
    return std::nullopt;
}

deliveries send_commands(courier& state, std::vector<outgoing_command> commands, time_point now)
{
    deliveries result;
    // Where most ranks are missing, their agents are still starting, their engines stand still or
    // this host can't be heard. That says nothing of one relay, and to call each rank by itself
    // again and again would only keep this host busy: other ranks try as relays.
    const bool are_few = commands.size() <= std::size_t{2} * block_size(state.m_ranks);
    if (are_few) {
        note_unanswered(state, commands, result, now);
    }
    else if (commands.back().m_is_repeat) {
        ++state.m_turn;
    }
    std::map<rank_id, wire::GroupBundle> bundles;
    for (auto& item : commands) {
        const rank_id rank(item.m_message.to_rank());
        const bool goes_straight = rank == state.m_self || (item.m_is_repeat && are_few);
        const auto relay = goes_straight ? std::nullopt : relay_of(state, rank, now);
        if (relay) {
            add(bundles[*relay], std::move(item.m_message));
        }
        else {
            result.m_parcels.push_back({rank, std::move(item.m_message)});
        }
    }
    for (auto& [relay, bundle] : bundles) {
        bundle.set_group(state.m_group);
        result.m_parcels.push_back({relay, std::move(bundle)});
    }
    return result;
}

deliveries send_report(courier& state, wire::GroupMessage report)
{
    deliveries result;
    const rank_id coordinator(report.to_rank());
    if (state.m_reports_through == state.m_self && coordinator != state.m_self) {
        gather(state, std::move(report), result);
    }
    else {
        const auto to = coordinator == state.m_self ? coordinator
                                                    : state.m_reports_through.value_or(coordinator);
        result.m_parcels.push_back({to, std::move(report)});
    }
    return result;
}

deliveries take(courier& state, wire::GroupMessage message)
{
    deliveries result;
    if (message.to_rank() != state.m_self.value()) {
        if (message.has_report()) {
            gather(state, std::move(message), result);
        }
    }
    else if (message.has_command()) {
        take_command(state, std::move(message), result);
    }
    else {
        result.m_own.push_back(std::move(message));
    }
    return result;
}

deliveries take(courier& state, const wire::GroupBundle& bundle)
{
    deliveries result;
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
            result.m_parcels.push_back({rank_id(message.to_rank()), std::move(message)});
        }
    }
    if (!awaited.empty()) {
        state.m_awaited = std::move(awaited);
    }
    return result;
}

deliveries flush(courier& state)
{
    deliveries result;
    send_gathered(state, result);
    return result;
}

}  // namespace dewbeam::group
