#include "dewbeam/src/ranks/group_timing.h"

#include <algorithm>

namespace dewbeam::ranks {

namespace {

/// How long fetching the experts of one plan may take, at most.
constexpr time_span stage_limit = std::chrono::seconds(5);
constexpr time_span arm_limit = std::chrono::seconds(1);
constexpr time_span stage_poll = std::chrono::milliseconds(20);
/// For all copies of an order, six of them 25 ms apart: a group that holds must not wait for long.
constexpr time_span answer_limit = std::chrono::milliseconds(150);
/// Without fencing numbers an unanswered order may still be carried out for so long.
constexpr time_span order_lifetime = std::chrono::seconds(15);
constexpr std::chrono::milliseconds resend_interval{150};
/// The second copy of a map is whole: sent again while most ranks still fetch, it would fill the
/// link of the coordinating host.
constexpr std::chrono::milliseconds stage_resend_of_rank{10};
/// The same for each relay of a group with relays, which passes the copy on to its block.
constexpr std::chrono::milliseconds stage_resend_of_relay{40};
/// A coordinator that stands still while the group holds stops every stream, and callers leave
/// after two seconds: the next rank steps in after the second span, the one after it after twice
/// that.
constexpr time_span heartbeat_interval = std::chrono::milliseconds(200);
/// The same in a group with relays: each round takes longer there, and counts are told with it.
constexpr time_span relayed_heartbeat_interval = std::chrono::milliseconds(100);
constexpr time_span silence_limit = std::chrono::milliseconds(500);
/// Several times what an agent on a busy host takes for its answer.
constexpr time_span patience = std::chrono::milliseconds(300);
/// Steps from the newest known to the switch, at most; short steps need the most of them.
constexpr std::uint64_t first_margin = 3;
/// Arming and committing in a group with nothing lost; what they take otherwise the coordinator
/// learns.
constexpr time_span switch_time = std::chrono::milliseconds(70);

}  // namespace

void set_timing(group::group_options& options)
{
    auto& participant = options.m_participant;
    participant.m_poll_interval = stage_poll;
    participant.m_answer_limit = answer_limit;
    participant.m_order_lifetime = order_lifetime;
    participant.m_silence_limit = silence_limit * (participant.m_rank.value() + 1);
    auto& coordinator = options.m_coordinator;
    coordinator.m_resend_interval = resend_interval;
    const auto ranks = static_cast<std::uint32_t>(options.m_members.size());
    const auto tellers = group::tellers(ranks);
    const bool has_relays = tellers < ranks;
    const auto stage_resend =
        has_relays ? stage_resend_of_relay * tellers : stage_resend_of_rank * ranks;
    coordinator.m_stage_resend_interval = std::max<time_span>(resend_interval, stage_resend);
    coordinator.m_stage_limit = stage_limit;
    coordinator.m_arm_limit = arm_limit;
    coordinator.m_first_margin = first_margin;
    coordinator.m_switch_time = switch_time;
    coordinator.m_unique_numbers = true;
    coordinator.m_heartbeat_interval = has_relays ? relayed_heartbeat_interval : heartbeat_interval;
    coordinator.m_candidates = options.m_candidates;
    options.m_patience = patience;
}

}  // namespace dewbeam::ranks
