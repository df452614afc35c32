/// \file
/// What one entry does with its requests in a bench: dewbeam's broker, or a baseline.
#pragma once

#include <functional>
#include <memory>

#include "dewbeam/dispatch"

namespace dewbeam::bench {

/// One entry's decisions, in the shape of the broker's functions.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    policy(policy&&) = delete;
    policy& operator=(policy&&) = delete;
    virtual ~policy() = default;

    virtual dispatch::actions submit(const dispatch::request_info& info, time_point now) = 0;
    virtual void first_token(dispatch::ticket request, time_point now) = 0;
    virtual dispatch::actions ended(dispatch::ticket request, dispatch::attempt_end end,
                                    time_point now) = 0;
    virtual dispatch::actions cancel(dispatch::ticket request, time_point now) = 0;
    virtual dispatch::actions update(const dispatch::upstream_info& info, time_point now) = 0;
    virtual dispatch::actions remove(const upstream_id& name, time_point now) = 0;
    virtual dispatch::actions tick(time_point now) = 0;
    virtual void cache_event(const upstream_id& name, const routing::cache_event& event) = 0;
    virtual std::vector<quarantine::suspicion> take_suspicions() = 0;
    virtual dispatch::actions merge(const quarantine::suspicion& record, time_point now) = 0;
};

/// Makes the policy of the entry with the given number.
using policy_maker = std::function<std::unique_ptr<policy>(std::size_t entry)>;

/// Dewbeam's broker, by the very functions that the entry program calls.
policy_maker broker_policy(const dispatch::broker_options& options);

/// The broker behind a policy that `broker_policy` made.
const dispatch::broker& broker_of(const policy& subject);

/// How a baseline picks an upstream. `session_hash` is a pure prefix hash that is told how far
/// the prefix of one chat reaches: the bench gives it the chat's number as the fingerprint.
enum class pick { random, round_robin, least_reported_load, prefix_hash, session_hash };

/// How a baseline orders what waits.
enum class order { fifo, strict_priority };

/// A baseline: picks among all upstreams; where `m_limit` is set, at most so many run at each
/// upstream and the rest waits in `m_order`.
struct baseline_options {
    pick m_pick = pick::random;
    order m_order = order::fifo;
    std::uint32_t m_limit = 0;        ///< attempts of this entry at one upstream; 0: no limit
    std::size_t m_most_queued = 0;    ///< beyond it a request is refused; 0: no limit
    std::size_t m_hashed_blocks = 1;  ///< of the prompt, for `prefix_hash`
    std::uint32_t m_most_tries = 1;   ///< tries in all after failures
};

/// The baseline.
policy_maker baseline_policy(const baseline_options& options);

}  // namespace dewbeam::bench
