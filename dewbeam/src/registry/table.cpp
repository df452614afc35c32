#include "dewbeam/src/registry/table.h"

namespace dewbeam::registry {

namespace {

/// Whether followers must learn of the difference; the number alone tells them nothing.
bool differs(const announcement& known, const announcement& heard)
{
    auto same_number = heard;
    same_number.m_number = known.m_number;
    return same_number != known;
}

merge_result mark_changed(table& state, record& subject)
{
    subject.m_change = ++state.m_last_change;
    return merge_result::changed;
}

}  // namespace

const char* to_string(upstream_state value)
{
    switch (value) {
        case upstream_state::ready:
            return "ready";
        case upstream_state::leaving:
            return "leaving";
        case upstream_state::gone:
            break;
    }
    return "gone";
}

merge_result merge(table& state, const announcement& heard, time_point now)
{
    if (heard.m_state == upstream_state::gone) {
        return end_upstream(state, heard.m_name, now);
    }
    const auto [place, is_new] = state.m_records.try_emplace(heard.m_name);
    auto& known = place->second;
    if (is_new) {
        known.m_announced = heard;
        known.m_heard_at = now;
        return mark_changed(state, known);
    }
    const bool is_over = known.m_announced.m_state == upstream_state::gone;
    if (is_over || heard.m_number <= known.m_announced.m_number) {
        return merge_result::nothing;
    }
    const bool is_news = differs(known.m_announced, heard) || known.m_is_silent;
    known.m_announced = heard;
    known.m_heard_at = now;
    known.m_is_silent = false;
    return is_news ? mark_changed(state, known) : merge_result::renewed;
}

merge_result end_upstream(table& state, const upstream_id& name, time_point now)
{
    auto& known = state.m_records[name];
    if (known.m_announced.m_state == upstream_state::gone) {
        return merge_result::nothing;
    }
    known.m_announced.m_name = name;
    known.m_announced.m_state = upstream_state::gone;
    known.m_heard_at = now;
    known.m_is_silent = false;
    return mark_changed(state, known);
}

void note_silence(table& state, time_point now)
{
    for (auto& [name, known] : state.m_records) {
        const bool is_over = known.m_announced.m_state == upstream_state::gone;
        if (!is_over && !known.m_is_silent &&
            known.m_heard_at + state.m_options.m_silent_after <= now) {
            known.m_is_silent = true;
            mark_changed(state, known);
        }
    }
}

merge_result merge_silence(table& state, const upstream_id& name, announcement_number number)
{
    const auto place = state.m_records.find(name);
    if (place == state.m_records.end()) {
        return merge_result::nothing;
    }
    auto& known = place->second;
    const bool is_over = known.m_announced.m_state == upstream_state::gone;
    if (is_over || known.m_is_silent || number < known.m_announced.m_number) {
        return merge_result::nothing;
    }
    known.m_is_silent = true;
    return mark_changed(state, known);
}

void forget_old(table& state, time_point now)
{
    std::erase_if(state.m_records, [&](const auto& item) {
        const auto& known = item.second;
        const bool is_over = known.m_announced.m_state == upstream_state::gone;
        const auto kept_for =
            is_over ? state.m_options.m_end_kept_for : state.m_options.m_silent_kept_for;
        return (is_over || known.m_is_silent) && known.m_heard_at + kept_for <= now;
    });
}

std::vector<const record*> changes_since(const table& state, std::uint64_t change)
{
    std::vector<const record*> result;
    for (const auto& [name, known] : state.m_records) {
        if (known.m_change > change) {
            result.push_back(&known);
        }
    }
    return result;
}

}  // namespace dewbeam::registry
