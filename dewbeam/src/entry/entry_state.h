/// \file
/// What the modules of one entry share.
///
/// Each part guards itself; callers of HTTP, the link's thread and the frame's thread meet here
/// without a lock around the whole.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "dewbeam/caller"
#include "dewbeam/http"
#include "dewbeam/link"
#include "dewbeam/program"
#include "dewbeam/src/control/claim_client.h"
#include "dewbeam/src/control/subscriber.h"
#include "dewbeam/src/entry/burn_book.h"
#include "dewbeam/src/entry/loss_memory.h"
#include "dewbeam/src/entry/member_table.h"
#include "dewbeam/src/entry/membership_runner.h"
#include "dewbeam/src/entry/metrics.h"
#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/entry/request_table.h"

namespace dewbeam::entry {

/// Without a new member for this long all are known: digests are compared each second.
inline constexpr std::chrono::milliseconds settling_time{1500};
/// Stands in `entry_state::m_members_heard_at` until the first member is heard of: a lone entry is
/// ready only after the time that a start waits for control.
inline constexpr time_point no_heard = no_deadline - settling_time;

/// The parts of one entry, in the order in which they begin; they end in the reverse one. Whoever
/// holds it stops `m_node` before that, since the link's thread uses the parts that end earlier.
struct entry_state {
    /// `on_configuration` is called after each adoption of a configuration.
    entry_state(program::program& frame, const nlohmann::json& settings,
                std::function<void()> on_configuration);

    program::program& m_frame;
    nlohmann::json m_settings;
    incarnation m_incarnation;
    caller::call_limits m_limits;
    metrics m_metrics;
    burn_book m_burn;
    control::subscriber m_configuration;
    control::claim_client m_claims;
    pool_table m_pools;
    member_table m_members;
    std::mutex m_update_mutex;  ///< held while a member is read from the table and shown to pools
    request_table m_requests;
    loss_memory m_losses;
    std::atomic<std::uint64_t> m_last_ticket = 0;
    std::atomic<std::uint64_t> m_last_attempt = 0;
    std::atomic<time_point> m_next_interest = time_point{};  ///< when load reports are asked for
    /// When membership last brought news during the start.
    std::atomic<time_point> m_members_heard_at = no_heard;
    std::atomic<bool> m_is_started = false;  ///< the parts below are there
    std::unique_ptr<membership_runner> m_membership;
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<http::server> m_server;
};

/// An id for a new attempt, unlike that of any other entry's attempts. Incarnations alone don't
/// tell entries apart: they are times, and two processes may start at the same one.
attempt_id next_attempt_id(entry_state& state);

/// The id of a request, as its caller sees it; unique like those of attempts.
std::string request_id_of(const entry_state& state, dispatch::ticket request);

}  // namespace dewbeam::entry
