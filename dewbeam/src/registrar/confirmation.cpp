#include "dewbeam/src/registrar/confirmation.h"

#include "dewbeam/src/consensus/confirmed_time.h"

namespace dewbeam::registrar {

namespace {

/// The time before which everything acknowledged is at most the update's newest revision.
std::optional<time_point> confirmed_at(const wire::WatchNews& news, time_point now)
{
    if (!news.has_confirmed_age_us()) {
        // Registries of earlier versions tell no age.
        return news.is_sure() ? std::optional(now) : std::nullopt;
    }
    if (news.watch_sent_at() == 0) {
        return std::nullopt;
    }
    const time_point asked_at{time_span(static_cast<std::int64_t>(news.watch_sent_at()))};
    const std::chrono::microseconds age(static_cast<std::int64_t>(news.confirmed_age_us()));
    return consensus::confirmed_time(asked_at, age, now);
}

}  // namespace

void put_confirmation(std::optional<time_span> age, const wire::Watch& watch, wire::WatchNews& news)
{
    news.set_watch_sent_at(watch.sent_at());
    news.set_is_sure(age && *age <= sure_limit);
    if (age) {
        news.set_confirmed_age_us(consensus::to_age_us(*age));
    }
}

void take_confirmation(confirmation& state, const std::string& registry,
                       const wire::WatchNews& news, time_point now)
{
    const auto at = confirmed_at(news, now);
    const revisions::revision_number newest(news.newest_revision());
    if (at && *at > state.m_at && newest >= state.m_newest) {
        state = {newest, *at, registry};
    }
}

bool is_confirmed(const confirmation& state, revisions::revision_number held, time_point since)
{
    return is_confirmed(state, held) && state.m_at >= since;
}

bool is_confirmed(const confirmation& state, revisions::revision_number held)
{
    return state.m_at != time_point{} && state.m_newest <= held;
}

}  // namespace dewbeam::registrar
