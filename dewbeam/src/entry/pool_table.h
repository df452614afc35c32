/// \file
/// The brokers of an entry: one per pool, each with its own lock.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

#include "dewbeam/dispatch"
#include "dewbeam/membership"

namespace dewbeam::entry {

/// Name of the pool for requests to a model.
std::string model_pool(const model_id& model);

/// Name of the pool for requests to a plain service.
std::string service_pool(const std::string& service);

/// The pools that a member serves: one for each of its models and one for its service, if any.
std::vector<std::string> pools_of(const membership::member& member);

/// What a broker needs to know about a member, with its effective labels.
dispatch::upstream_info to_upstream(const membership::member& member,
                                    const configuration::label_set& labels);

/// A suspicion and the pool that it belongs to.
struct pool_suspicion {
    std::string m_pool;
    quarantine::suspicion m_record;
};

/// Retries of a process.
struct retry_totals {
    std::uint64_t m_sent = 0;
    double m_left = 0.0;         ///< that it may still send
    std::size_t m_arriving = 0;  ///< that were sent and may not have arrived yet
};

/// What overload control allows this gateway to send to a group.
struct group_limits {
    double m_share_of_slots = 1.0;
    std::optional<double> m_prompt_pace;  ///< prompts per second; empty: not paced
};

/// All brokers of an entry. A pool is created by the first upstream that serves it, by the first
/// suspicion about it or, if requests may wait for upstreams, by the first request. Thread-safe; no
/// lock is held while a caller performs the returned actions.
class pool_table {
public:
    explicit pool_table(dispatch::broker_options options);

    dispatch::actions submit(const std::string& pool, dispatch::request_info info, time_point now);
    bool first_token(const std::string& pool, dispatch::ticket request, time_point now);
    dispatch::actions attempt_ended(const std::string& pool, dispatch::ticket request,
                                    dispatch::attempt_end end, time_point now);
    dispatch::actions note_unresponsive_upstream(const std::string& pool, dispatch::ticket request,
                                                 time_point now);
    /// Records that the upstream of a running request asked for a backoff.
    void note_backoff(const std::string& pool, dispatch::ticket request, time_point until,
                      time_point now);
    dispatch::actions cancel(const std::string& pool, dispatch::ticket request, time_point now);
    dispatch::actions update_upstream(const std::string& pool, const dispatch::upstream_info& info,
                                      time_point now);
    dispatch::actions remove_upstream(const std::string& pool, const upstream_id& name,
                                      time_point now);
    dispatch::actions tick(time_point now);

    /// Suspicions that are new since the last call.
    std::vector<pool_suspicion> take_suspicions();
    /// All suspicions, to be sent to an entry that has none.
    [[nodiscard]] std::vector<pool_suspicion> all_suspicions() const;

    /// Merges a suspicion, also before the first upstream of its pool is known.
    dispatch::actions merge_suspicion(const std::string& pool, const quarantine::suspicion& record,
                                      time_point now);
    void lift_quarantine(const std::string& pool, fingerprint content, time_point now);

    /// Suspected contents for which this process wants to get or keep the exclusive grant to run
    /// them.
    [[nodiscard]] std::vector<fingerprint> wanted_turns() const;
    dispatch::actions set_exclusive_grants(const std::vector<fingerprint>& granted, bool is_cut_off,
                                           time_point now);
    void suspend_exclusive_grant(const std::string& pool, fingerprint content);

    /// Records that an attempt failed by its upstream's fault, or that the upstream answered.
    /// Returns true if the upstream's circuit breaker opens.
    bool note_result(const std::string& pool, const upstream_id& name,
                     dispatch::upstream_result how, time_point now);

    /// Records that an upstream refused because of another rank of its group. Returns true if the
    /// group's circuit breaker opens.
    bool note_group_refusal(const std::string& pool, const upstream_id& name, time_point now);

    /// Records an event of a running stream after its first. Returns true if its group, which had
    /// been found stalled, makes progress again.
    bool next_event(const std::string& pool, dispatch::ticket request, time_point now);

    /// Groups that were found stalled since the last call.
    std::vector<std::string> take_stalled_groups();

    /// Whether a running request is late because of its upstream.
    [[nodiscard]] bool is_overtaken(const std::string& pool, dispatch::ticket request,
                                    time_span margin) const;

    /// The additional permits that each pool needs for its limited upstreams.
    [[nodiscard]] std::vector<permits::demand> wanted_permits(time_point now) const;

    dispatch::actions add_permits(const std::string& pool, const upstream_id& name,
                                  std::uint32_t count, time_point deadline, time_point now);

    /// Retries of all pools together.
    [[nodiscard]] retry_totals retries() const;

    /// Retries of one pool.
    [[nodiscard]] retry_totals retries_of(const std::string& name) const;

    /// Sets for all pools how many entries share the upstreams, and this entry's retry budget.
    void set_sharing(std::uint32_t entries, const retry::budget_options& retries);

    /// Sets which pools are under overload control.
    void set_overload_controlled(std::set<std::string> pools, time_point now);

    /// Whether a pool is under overload control.
    [[nodiscard]] bool is_overload_controlled(const std::string& pool) const;

    /// What overload control allows each group now.
    [[nodiscard]] std::map<std::string, group_limits> limits_of_groups(time_point now) const;

    /// Attempts in flight over all pools. Each occupies a slot at its upstream.
    [[nodiscard]] std::size_t in_flight() const;

    /// Names of all pools, sorted.
    [[nodiscard]] std::vector<std::string> names() const;

private:
    struct locked_broker {
        std::mutex m_mutex;
        dispatch::broker m_broker;
        random_engine m_random;
    };

    [[nodiscard]] std::shared_ptr<locked_broker> find(const std::string& name) const;
    std::shared_ptr<locked_broker> find_or_make(const std::string& name);

    dispatch::broker_options m_options;  ///< guarded by m_mutex
    std::set<std::string> m_controlled;  ///< the same; pools under overload control
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<locked_broker>> m_pools;
};

}  // namespace dewbeam::entry
