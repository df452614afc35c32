#include "dewbeam/src/engine/reach.h"

namespace dewbeam::engine {

namespace {

/// An engine is lost at this doubt: two refused or silent polls, or eight silent ones on a host
/// that is itself late.
constexpr std::uint32_t doubt_of_lost = 8;
constexpr std::uint32_t doubt_of_failed_poll = doubt_of_lost / 2;
constexpr std::uint32_t doubt_of_silence_on_late_host = 1;
/// A tenth of a poll's time limit.
constexpr time_span late_host_delay = std::chrono::milliseconds(100);

std::uint32_t doubt_of(poll_end end, time_span host_delay)
{
    switch (end) {
        case poll_end::answered:
            return 0;
        case poll_end::refused:
            return doubt_of_failed_poll;
        case poll_end::silent:
            return host_delay < late_host_delay ? doubt_of_failed_poll
                                                : doubt_of_silence_on_late_host;
        case poll_end::other_engine:
            break;
    }
    return doubt_of_lost;
}

}  // namespace

void note_poll(reach& state, poll_end end, time_span host_delay)
{
    state.m_doubt = end == poll_end::answered ? 0 : state.m_doubt + doubt_of(end, host_delay);
    state.m_is_lost = state.m_doubt >= doubt_of_lost;
}

}  // namespace dewbeam::engine
