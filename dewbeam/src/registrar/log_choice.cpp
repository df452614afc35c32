#include "dewbeam/src/registrar/log_choice.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

std::ptrdiff_t count_of(const log_choice& state, log_id log)
{
    return std::count_if(state.m_told.begin(), state.m_told.end(),
                         [&](const auto& item) { return item.second == log; });
}

}  // namespace

void note_log(log_choice& state, const std::string& address, log_id told, std::size_t seeds,
              time_point now)
{
    if (told == log_id{} || state.m_chosen != log_id{}) {
        return;
    }
    state.m_told[address] = told;
    if (state.m_decide_at == no_deadline) {
        state.m_decide_at = now + log_choice_patience;
    }
    const auto most = std::max_element(
        state.m_told.begin(), state.m_told.end(), [&](const auto& a, const auto& b) {
            return count_of(state, a.second) < count_of(state, b.second);
        });
    const auto votes = static_cast<std::size_t>(count_of(state, most->second));
    if (votes > seeds / 2 || state.m_decide_at <= now) {
        state.m_chosen = most->second;
    }
}

bool may_take(const log_choice& state, log_id told)
{
    return told == log_id{} || told == state.m_chosen;
}

}  // namespace dewbeam::registrar
