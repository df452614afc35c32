#include "dewbeam/src/consensus/log.h"

#include <algorithm>

namespace dewbeam::consensus {

namespace {

const membership_at no_membership;

/// Drops the memberships that are no longer in force at the base.
void trim_memberships(log& state)
{
    auto& all = state.m_memberships;
    while (all.size() > 1 && all[1].m_index <= state.m_base.m_index) {
        all.erase(all.begin());
    }
}

/// Bytes of the entries up to `index`.
std::int64_t bytes_up_to(const log& state, std::uint64_t index)
{
    std::int64_t result = 0;
    for (const auto& item : state.m_entries) {
        if (item.m_position.m_index > index) {
            break;
        }
        result += static_cast<std::int64_t>(item.m_payload.size());
    }
    return result;
}

}  // namespace

position last(const log& state)
{
    return state.m_entries.empty() ? state.m_base : state.m_entries.back().m_position;
}

std::optional<std::uint64_t> term_at(const log& state, std::uint64_t index)
{
    if (index == state.m_base.m_index) {
        return state.m_base.m_term;
    }
    if (index < state.m_base.m_index || index > last(state).m_index) {
        return std::nullopt;
    }
    return entry_at(state, index).m_position.m_term;
}

const entry& entry_at(const log& state, std::uint64_t index)
{
    require(index > state.m_base.m_index && index <= last(state).m_index,
            "entry_at needs an index that the log holds");
    return state.m_entries[index - state.m_base.m_index - 1];
}

const membership_at& newest_membership(const log& state)
{
    return state.m_memberships.empty() ? no_membership : state.m_memberships.back();
}

const membership& membership_in_force(const log& state, std::uint64_t index)
{
    const auto place =
        std::find_if(state.m_memberships.rbegin(), state.m_memberships.rend(),
                     [index](const membership_at& item) { return item.m_index <= index; });
    return place == state.m_memberships.rend() ? no_membership.m_members : place->m_members;
}

void append(log& state, entry item)
{
    require(item.m_position.m_index == last(state).m_index + 1, "append needs the next index");
    if (item.m_kind == entry_kind::members) {
        state.m_memberships.push_back({item.m_position.m_index, item.m_members});
    }
    state.m_entries.push_back(std::move(item));
}

void truncate_from(log& state, std::uint64_t index)
{
    require(index > state.m_base.m_index, "truncate_from needs an index after the base");
    while (last(state).m_index >= index && !state.m_entries.empty()) {
        state.m_entries.pop_back();
    }
    while (!state.m_memberships.empty() && state.m_memberships.back().m_index >= index) {
        state.m_memberships.pop_back();
    }
}

void compact(log& state, std::shared_ptr<const snapshot> taken, const kept_log& kept)
{
    const auto index = taken->m_position.m_index;
    state.m_snapshot = std::move(taken);
    auto bytes = bytes_up_to(state, index);
    const auto is_too_long = [&] {
        return state.m_base.m_index + kept.m_entries < index || bytes > kept.m_bytes.m_count;
    };
    while (!state.m_entries.empty() && state.m_base.m_index < index && is_too_long()) {
        bytes -= static_cast<std::int64_t>(state.m_entries.front().m_payload.size());
        state.m_base = state.m_entries.front().m_position;
        state.m_entries.pop_front();
    }
    trim_memberships(state);
}

void reset(log& state, std::shared_ptr<const snapshot> received)
{
    state.m_base = received->m_position;
    state.m_entries.clear();
    state.m_memberships = {{received->m_position.m_index, received->m_members}};
    state.m_snapshot = std::move(received);
}

const member* find_member(const membership& members, replica_id id)
{
    const auto place = std::find_if(members.begin(), members.end(), [id](const member& item) {
        return item.m_identity.m_id == id;
    });
    return place == members.end() ? nullptr : &*place;
}

std::size_t count_voters(const membership& members)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [](const member& item) { return item.m_votes; }));
}

}  // namespace dewbeam::consensus
