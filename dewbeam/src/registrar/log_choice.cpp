#include "dewbeam/src/registrar/log_choice.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

std::ptrdiff_t count_of(const log_choice& state, log_id log)
{
    return std::count_if(state.m_reported.begin(), state.m_reported.end(),
                         [&](const auto& item) { return item.second == log; });
}

}  // namespace

void record_log(log_choice& state, const std::string& address, log_id reported, std::size_t seeds,
                time_point now)
{
    if (reported == log_id{} || state.m_chosen != log_id{}) {
        return;
    }
    state.m_reported[address] = reported;
    if (state.m_choice_deadline == no_deadline) {
        state.m_choice_deadline = now + log_choice_timeout;
    }
    const auto most = std::max_element(
        state.m_reported.begin(), state.m_reported.end(), [&](const auto& a, const auto& b) {
            return count_of(state, a.second) < count_of(state, b.second);
        });
    const auto votes = static_cast<std::size_t>(count_of(state, most->second));
    if (votes > seeds / 2 || state.m_choice_deadline <= now) {
        state.m_chosen = most->second;
    }
}

bool may_apply_update(const log_choice& state, log_id reported)
{
    return reported == log_id{} || reported == state.m_chosen;
}

}  // namespace dewbeam::registrar
