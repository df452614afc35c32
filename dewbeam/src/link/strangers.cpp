#include "dewbeam/src/link/strangers.h"

namespace dewbeam::link {

namespace {

/// Whoever can connect can claim any name: beyond this number all are forgotten.
constexpr std::size_t most_strangers = 1'000;

}  // namespace

bool is_strange(const origin& own, const origin& theirs)
{
    const bool know_logs = own.m_log != log_id{} && theirs.m_log != log_id{};
    return own.m_deployment != theirs.m_deployment || (know_logs && own.m_log != theirs.m_log);
}

bool note_stranger(strangers& state, const std::string& who, const origin& theirs, time_point now)
{
    if (state.m_known.size() >= most_strangers && !state.m_known.contains(who)) {
        state.m_known.clear();
    }
    auto& known = state.m_known[who];
    const bool is_news = known.m_origin != theirs || known.m_log_again_at <= now;
    known.m_origin = theirs;
    known.m_leave_alone_until = now + stranger_pause;
    if (is_news) {
        known.m_log_again_at = now + stranger_log_interval;
    }
    return is_news;
}

bool is_left_alone(const strangers& state, const std::string& address, time_point now)
{
    const auto place = state.m_known.find(address);
    return place != state.m_known.end() && now < place->second.m_leave_alone_until;
}

}  // namespace dewbeam::link
