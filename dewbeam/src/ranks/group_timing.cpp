#include "dewbeam/src/ranks/group_timing.h"

#include <algorithm>

namespace dewbeam::ranks {

namespace {

/// Time limit for fetching the experts of one plan.
constexpr time_span stage_limit = std::chrono::seconds(5);
constexpr time_span arm_limit = std::chrono::seconds(1);
constexpr time_span stage_poll = std::chrono::milliseconds(20);
/// For all copies of an order, six of them 25 ms apart. It is short because the whole group waits
/// while it holds at a step.
constexpr time_span answer_limit = std::chrono::milliseconds(150);
/// Without fencing numbers, an unanswered order may still be carried out for this long.
constexpr time_span order_lifetime = std::chrono::seconds(15);
constexpr std::chrono::milliseconds resend_interval{150};
/// Per rank. The second copy of a map is complete instead of a difference: resent while most ranks
/// are still fetching, it would fill the coordinator's link.
constexpr std::chrono::milliseconds stage_resend_of_rank{10};
/// The same per relay of a group with relays. A relay forwards the copy to its block.
constexpr std::chrono::milliseconds stage_resend_of_relay{40};
/// A coordinator that stalls while the group holds stops every stream, and callers disconnect after
/// two seconds. The next rank therefore takes over after `silence_limit` without a heartbeat, the
/// one after it after twice as long.
constexpr time_span heartbeat_interval = std::chrono::milliseconds(200);
/// The same in a group with relays, where each round takes longer and counts are reported at each
/// heartbeat.
constexpr time_span relayed_heartbeat_interval = std::chrono::milliseconds(100);
constexpr time_span silence_limit = std::chrono::milliseconds(500);
/// Several times the response time of an agent on a busy host.
constexpr time_span patience = std::chrono::milliseconds(300);
/// Maximum number of steps from the newest known one to the switch; the shorter the steps, the more
/// of them are needed.
constexpr std::uint64_t first_margin = 3;
/// Duration of arming and committing in a group without message loss; the coordinator learns longer
/// durations at run time.
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
    const auto reporter_count = group::reporter_count(ranks);
    const bool has_relays = reporter_count < ranks;
    const auto stage_resend =
        has_relays ? stage_resend_of_relay * reporter_count : stage_resend_of_rank * ranks;
    coordinator.m_stage_resend_interval = std::max<time_span>(resend_interval, stage_resend);
    coordinator.m_stage_limit = stage_limit;
    coordinator.m_arm_limit = arm_limit;
    coordinator.m_first_margin = first_margin;
    coordinator.m_switch_time = switch_time;
    coordinator.m_unique_numbers = true;
    coordinator.m_heartbeat_interval = has_relays ? relayed_heartbeat_interval : heartbeat_interval;
    coordinator.m_candidates = options.m_candidates;
    options.m_late_answer_timeout = patience;
}

}  // namespace dewbeam::ranks
