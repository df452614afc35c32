/// \file
/// State that the modules of one entry share.
///
/// Each part does its own locking. HTTP threads, the link's thread and the frame's thread use the
/// state concurrently, without a lock around the whole.
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
#include "dewbeam/src/entry/burn_recorder.h"
#include "dewbeam/src/entry/link_loss_history.h"
#include "dewbeam/src/entry/member_table.h"
#include "dewbeam/src/entry/membership_runner.h"
#include "dewbeam/src/entry/metrics.h"
#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/entry/request_table.h"

namespace dewbeam::entry {

/// Once no member has changed for this long, all are assumed to be known: membership digests are
/// compared each second.
inline constexpr std::chrono::milliseconds membership_settling_time{1500};
/// Value of `entry_state::m_last_member_change` until the first member is learned. An entry without
/// any other member is therefore ready only after the time for which a start waits for control.
inline constexpr time_point no_member_change = no_deadline - membership_settling_time;

/// The parts of one entry, in order of construction; they are destroyed in the reverse order. The
/// owner must stop `m_node` first, since the link's thread uses parts that are destroyed before it.
struct entry_state {
    /// `on_configuration` is called after each adoption of a configuration.
    entry_state(program::program& frame, const nlohmann::json& settings,
                std::function<void()> on_configuration);

    program::program& m_frame;
    nlohmann::json m_settings;
    incarnation m_incarnation;
    caller::call_limits m_limits;
    std::shared_ptr<replies::answer_budget> m_answer_budget;
    metrics m_metrics;
    burn_recorder m_burn;
    control::subscriber m_configuration;
    control::claim_client m_claims;
    pool_table m_pools;
    member_table m_members;
    std::mutex m_update_mutex;  ///< held while a member is copied from the table to the pools
    request_table m_requests;
    link_loss_history m_losses;
    std::atomic<std::uint64_t> m_last_ticket = 0;
    std::atomic<std::uint64_t> m_last_attempt = 0;
    std::atomic<time_point> m_next_interest = time_point{};  ///< next request for load reports
    /// When a member last changed during the start.
    std::atomic<time_point> m_last_member_change = no_member_change;
    std::atomic<bool> m_is_started = false;  ///< the parts below have been created
    std::unique_ptr<membership_runner> m_membership;
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<http::server> m_server;
};

/// Returns an id for a new attempt that is distinct from those of all other entries. Incarnations
/// alone don't distinguish entries: they are times, and two processes may start at the same time.
attempt_id next_attempt_id(entry_state& state);

/// The id of a request that its caller receives; distinct from those of all other entries.
std::string request_id_of(const entry_state& state, dispatch::ticket request);

}  // namespace dewbeam::entry
