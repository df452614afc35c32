/// \file
/// A lock-step group of ranks in virtual time, whose demand for experts shifts.
///
/// Agents run their own code: counts as they are told, the balancer, the map protocol, relays. What
/// is modelled are the engines, the steps, links that carry each message for as long as its bytes
/// take, and hosts that take in one message after the other.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <variant>
#include <vector>

#include "dewbeam/fake_engine"
#include "dewbeam/group_map"
#include "dewbeam/src/group/content_codec.h"
#include "dewbeam/src/group/group_router.h"
#include "dewbeam/src/ranks/count_message.h"
#include "dewbeam/src/ranks/count_relay.h"
#include "dewbeam/src/ranks/count_schedule.h"
#include "dewbeam/src/ranks/rank_balancer.h"

namespace dewbeam::bench {

/// What is modelled.
struct rank_site_options {
    std::uint32_t m_ranks = 63;
    ranks::engine_facts m_facts;
    double m_work = 0.029;                ///< seconds for tokens in a step, with an even map
    double m_choices_per_step = 100'000;  ///< of experts of a layer, all ranks together
    double m_popularity_exponent = 0.67;
    byte_count m_link_rate{1'000'000};  ///< bytes a second, of each host and each way
    time_span m_message_time{};         ///< for which a message keeps the processor of its host
    time_span m_shift_interval = std::chrono::milliseconds(2400);
    double m_shifted_share = 0.6;  ///< of a layer's experts, whose popularity changes at once
    bool m_moves = true;           ///< whether maps are changed at all
    bool m_knows_timing = true;    ///< else every uneven map is worked on
    std::uint64_t m_seed = 1;
};

/// Facts of engines in a group of 63: steps of 34 ms and more, experts that take 14 ms to fetch.
ranks::engine_facts large_group_facts();

/// What a run found.
struct rank_site_figures {
    /// From each shift until steps were short again; the whole interval where they never were.
    std::vector<time_span> m_recovery;
    double m_long_share = 0.0;  ///< of the time, in steps over `long_step_share` of the objective
    double m_late_share = 0.0;  ///< of the time, in steps over the pause objective
    double m_mean_skew = 0.0;
    double m_fetched_per_second = 0.0;  ///< experts
    std::uint32_t m_changes = 0;        ///< of the map

    /// Zero where there was no shift.
    [[nodiscard]] time_span mean_recovery() const;
};

/// Steps that take longer than this share of the pause objective leave no room for prompts.
inline constexpr double long_step_share = 0.75;

/// The group. Plays until `run` returns.
class rank_site {
public:
    explicit rank_site(const rank_site_options& options);

    /// Plays for so long. Demand first shifts after one interval.
    rank_site_figures run(time_span length);

private:
    /// A rank's host: its agent, its engine, its link.
    struct host {
        group_map::participant m_participant;
        fake_engine::rank_engine m_engine;
        std::vector<std::uint64_t> m_counts;  ///< as its engine counts
        ranks::reported_counts m_told;
        ranks::count_schedule m_schedule;
        ranks::count_relay m_relay;
        group::group_router m_group_router;
        group::content_codec m_contents;
        time_point m_ticks_at{};
        time_point m_sends_from{};     ///< its link is free to send from then on
        time_point m_receives_from{};  ///< the same to receive
        time_point m_is_busy_until{};  ///< its processor
    };

    using cargo = std::variant<wire::GroupMessage, wire::GroupBundle, group_map::engine_answer>;

    /// Something that arrives at a rank.
    struct arrival {
        time_point m_at;
        std::uint64_t m_sequence = 0;
        std::uint32_t m_rank = 0;
        cargo m_body;

        bool operator<(const arrival& other) const
        {
            return std::tie(other.m_at, other.m_sequence) < std::tie(m_at, m_sequence);
        }
    };

    void start_host(std::uint32_t rank);
    void advance();
    void deliver(arrival item);
    void tick(std::uint32_t rank);
    void tell(std::uint32_t rank);
    void step();
    void shift();
    bool propose(const std::string& content);
    void carry_out(const group_map::coordinator_effects& effects);
    void carry_out(std::uint32_t rank, const group_map::participant_effects& effects);
    void carry_out(std::uint32_t rank, group::routing_result out);
    void take(std::uint32_t rank, const wire::GroupMessage& message);
    void take_counts(std::uint32_t rank, const wire::GroupMessage& message);
    void tell_relayed(std::uint32_t rank);
    void send(std::uint32_t from, std::uint32_t to, cargo body);
    void count_choices();
    void note_step(time_span took, double skew);
    [[nodiscard]] bool is_held() const;
    [[nodiscard]] bool is_fetching() const;
    [[nodiscard]] const ranks::placement& placement_in_force() const;
    [[nodiscard]] time_point next_due() const;

    rank_site_options m_options;
    time_point m_now{};
    std::uint64_t m_sequence = 0;
    random_engine m_random;
    std::vector<host> m_hosts;
    group_map::coordinator m_coordinator;
    std::unique_ptr<ranks::rank_balancer> m_balancer;
    std::map<std::uint64_t, ranks::placement> m_placements;  ///< by map number
    std::uint64_t m_fetched = 0;
    std::vector<std::vector<std::uint32_t>> m_order;  ///< experts by popularity, by layer
    experts::group_counts m_demand;                   ///< choices of a step
    std::priority_queue<arrival> m_due;
    time_point m_next_step{};
    time_point m_next_shift{};
    time_point m_shifted_at{};
    bool m_is_recovering = false;
    double m_steps = 0;
    double m_skews = 0;
    time_span m_long_time{};
    time_span m_late_time{};
    rank_site_figures m_figures;
};

}  // namespace dewbeam::bench
