#include "bench/planning_common/rank_site.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dewbeam/src/group/group_wire.h"
#include "dewbeam/src/ranks/group_timing.h"

namespace dewbeam::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_span hop_delay = milliseconds(1);
constexpr time_span order_delay = milliseconds(3);  ///< an order and the report behind it
constexpr std::size_t frame_bytes = 80;             ///< of each message, beside its body
constexpr std::uint32_t bits_of_sum = 8;            ///< of each count that a relay tells
constexpr double fetch_slowdown = 1.15;
/// At 0.15 of a core, for each place of a layer; 50 ms for 63 ranks with 8 layers and 5 places.
constexpr time_span planning_time_of_place = microseconds(20);
constexpr time_span hold_poll = milliseconds(1);

time_span transfer_time(std::size_t bytes, byte_count rate)
{
    return microseconds(static_cast<std::int64_t>(bytes) * 1'000'000 / rate.m_count);
}

experts::group_shape shape_of(const rank_site_options& options)
{
    return {options.m_ranks, options.m_facts.m_places, options.m_facts.m_experts,
            options.m_facts.m_layers};
}

/// Experts that a rank holds in `to` and not in `from`.
std::uint64_t new_experts(const ranks::placement& from, const ranks::placement& to,
                          std::uint32_t rank)
{
    std::uint64_t result = 0;
    for (std::size_t layer = 0; layer < to.size(); ++layer) {
        const auto& held = from[layer][rank];
        for (const auto expert : to[layer][rank]) {
            result += std::find(held.begin(), held.end(), expert) == held.end() ? 1 : 0;
        }
    }
    return result;
}

/// Load of the busiest rank over the mean, over all layers.
double skew_of(const ranks::placement& placement, const experts::group_counts& demand)
{
    double slowest = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < placement.size(); ++layer) {
        std::vector<double> copies(demand[layer].size(), 0.0);
        for (const auto& held : placement[layer]) {
            for (const auto expert : held) {
                copies[expert] += 1.0;
            }
        }
        double busiest = 0;
        double sum = 0;
        for (const auto& held : placement[layer]) {
            double load = 0;
            for (const auto expert : held) {
                load += demand[layer][expert] / copies[expert];
            }
            busiest = std::max(busiest, load);
            sum += load;
        }
        slowest += busiest;
        mean += sum / static_cast<double>(placement[layer].size());
    }
    return slowest / mean;
}

/// A sample around a mean, with about the variance of a count.
double noisy(double mean, random_engine& random)
{
    const double centred = uniform_unit(random) + uniform_unit(random) + uniform_unit(random) - 1.5;
    return std::max(0.0, mean + 2.0 * centred * std::sqrt(mean));
}

}  // namespace

ranks::engine_facts large_group_facts()
{
    ranks::engine_facts facts;
    facts.m_layers = 8;
    facts.m_experts = 252;
    facts.m_places = 5;
    facts.m_most_new = 2;
    facts.m_expert_size = {320'000'000};
    facts.m_fetch_rate = {22'500'000'000};
    facts.m_timing = {microseconds(33'880), 0.85, milliseconds(120)};
    return facts;
}

time_span rank_site_figures::mean_recovery() const
{
    time_span sum{};
    for (const auto span : m_recovery) {
        sum += span;
    }
    return m_recovery.empty() ? sum : sum / static_cast<time_span::rep>(m_recovery.size());
}

rank_site::rank_site(const rank_site_options& options)
    : m_options(options), m_random(options.m_seed), m_hosts(options.m_ranks)
{
    const auto shape = shape_of(options);
    m_placements[0] = experts::to_lists(experts::initial_map(shape), shape.m_experts);
    for (std::uint32_t layer = 0; layer < shape.m_layers; ++layer) {
        m_order.emplace_back(shape.m_experts);
        for (std::uint32_t expert = 0; expert < shape.m_experts; ++expert) {
            m_order.back()[expert] = expert;
        }
    }
    shift();
    m_is_recovering = false;
    auto known = options.m_facts;
    known.m_timing = options.m_knows_timing ? known.m_timing : experts::step_timing();
    m_balancer = std::make_unique<ranks::rank_balancer>(
        known, options.m_ranks, [this](const std::string& content) { return propose(content); });
    for (std::uint32_t rank = 0; rank < options.m_ranks; ++rank) {
        start_host(rank);
    }
    carry_out(group_map::activate(m_coordinator, 0, m_now));
}

void rank_site::start_host(std::uint32_t rank)
{
    std::vector<std::string> members(m_options.m_ranks);
    auto options =
        group::make_group_options("group", std::move(members), rank_id(rank), incarnation(1), true);
    ranks::set_timing(options);
    auto& subject = m_hosts[rank];
    subject.m_participant = group_map::start_participant(options.m_participant, m_now);
    subject.m_counts.assign(std::size_t{m_options.m_facts.m_layers} * m_options.m_facts.m_experts,
                            0);
    // Agents keep no common time.
    const auto phase = [&](time_span interval) {
        return m_now +
               microseconds(uniform_below(m_random, static_cast<std::uint64_t>(interval.count())));
    };
    subject.m_ticks_at = phase(ranks::tick_interval);
    subject.m_schedule.m_last = phase(milliseconds(500));
    subject.m_group_router = group::make_group_router("group", rank_id(rank), m_options.m_ranks);
    if (rank == 0) {
        m_coordinator = group_map::make_coordinator(options.m_coordinator);
    }
}

rank_site_figures rank_site::run(time_span length)
{
    const auto end = m_now + length;
    m_next_shift = m_now + m_options.m_shift_interval;
    while (m_now < end) {
        advance();
    }
    const double seconds = to_seconds(length);
    m_figures.m_long_share = to_seconds(m_long_time) / seconds;
    m_figures.m_late_share = to_seconds(m_late_time) / seconds;
    m_figures.m_mean_skew = m_skews / m_steps;
    m_figures.m_fetched_per_second = static_cast<double>(m_fetched) / seconds;
    return m_figures;
}

time_point rank_site::next_due() const
{
    auto result = std::min(m_next_step, m_next_shift);
    for (const auto& subject : m_hosts) {
        result = std::min(result, subject.m_ticks_at);
    }
    return result;
}

void rank_site::advance()
{
    const auto due = next_due();
    if (!m_due.empty() && m_due.top().m_at <= due) {
        auto item = m_due.top();
        m_due.pop();
        m_now = std::max(m_now, item.m_at);
        deliver(std::move(item));
        return;
    }
    m_now = due;
    if (m_now >= m_next_shift) {
        m_next_shift = m_now + m_options.m_shift_interval;
        shift();
    }
    if (m_now >= m_next_step) {
        step();
    }
    for (std::uint32_t rank = 0; rank < m_hosts.size(); ++rank) {
        if (m_now >= m_hosts[rank].m_ticks_at) {
            tick(rank);
        }
    }
}

void rank_site::tick(std::uint32_t rank)
{
    auto& subject = m_hosts[rank];
    subject.m_ticks_at = m_now + ranks::tick_interval;
    carry_out(rank, group_map::tick(subject.m_participant, m_now));
    carry_out(rank, group::flush(subject.m_group_router));
    if (ranks::take_turn(subject.m_schedule, m_now)) {
        tell(rank);
    }
    tell_relayed(rank);
    if (rank != 0) {
        return;
    }
    carry_out(group_map::tick(m_coordinator, m_now));
    const bool is_settled = m_coordinator.m_phase == group_map::phase::settled;
    m_balancer->tick(is_settled && m_options.m_moves, m_now);
}

void rank_site::tell(std::uint32_t rank)
{
    auto& subject = m_hosts[rank];
    const auto pace = ranks::report_parameters_for(group::reporter_count(m_options.m_ranks),
                                                   subject.m_counts.size(), m_options.m_link_rate);
    subject.m_schedule.m_interval = pace.m_interval;
    const auto& state = subject.m_engine.m_state;
    ranks::rank_counts counted{1, state.m_step.value(), subject.m_counts};
    ranks::rank_holding holding{1, state.m_current.m_number, {}};
    for (const auto& layer : placement_in_force()) {
        holding.m_held.push_back(layer[rank]);
    }
    wire::GroupMessage message;
    message.set_from_rank(rank);
    *message.mutable_counts() =
        ranks::to_wire(rank_id(rank), counted, holding, 1.0, pace.m_bits, subject.m_told);
    send(rank, subject.m_group_router.m_report_relay.value_or(rank_id(0)).value(),
         std::move(message));
}

void rank_site::tell_relayed(std::uint32_t rank)
{
    auto& relay = m_hosts[rank].m_relay;
    const auto expected = group::block_followers(m_options.m_ranks, rank_id(rank), rank_id(0));
    if (!ranks::is_due(relay, expected, m_now)) {
        return;
    }
    wire::GroupMessage message;
    message.set_from_rank(rank);
    *message.mutable_counts() = *ranks::take_sum(relay, bits_of_sum);
    send(rank, 0, std::move(message));
}

void rank_site::take_counts(std::uint32_t rank, const wire::GroupMessage& message)
{
    if (rank == 0) {
        m_balancer->take(ranks::from_wire(message.counts(), m_now), m_now);
        return;
    }
    ranks::add(m_hosts[rank].m_relay, rank_id(0), message.counts(), m_now);
    tell_relayed(rank);
}

void rank_site::take(std::uint32_t rank, const wire::GroupMessage& message)
{
    auto& subject = m_hosts[rank];
    if (auto command = group::command_from_wire(message)) {
        subject.m_schedule.m_was_commanded = true;
        if (subject.m_contents.unpack(message.command(), *command).ok()) {
            carry_out(rank, group_map::receive(subject.m_participant, *command, m_now));
        }
    }
    else if (const auto report = group::report_from_wire(message)) {
        carry_out(group_map::receive(m_coordinator, *report, m_now));
    }
}

void rank_site::deliver(arrival item)
{
    auto& subject = m_hosts[item.m_rank];
    if (const auto* answer = std::get_if<group_map::engine_answer>(&item.m_body)) {
        carry_out(item.m_rank, group_map::answered(subject.m_participant, *answer, m_now));
        return;
    }
    const auto* message = std::get_if<wire::GroupMessage>(&item.m_body);
    if (message != nullptr && message->has_counts()) {
        take_counts(item.m_rank, *message);
        return;
    }
    carry_out(item.m_rank,
              message != nullptr
                  ? group::take(subject.m_group_router, *message)
                  : group::take(subject.m_group_router, std::get<wire::GroupBundle>(item.m_body)));
}

bool rank_site::propose(const std::string& content)
{
    group_map::coordinator_effects effects;
    auto placement = ranks::placement_from_json(content);
    const bool is_taken =
        placement.ok() &&
        group_map::propose(m_coordinator, std::make_shared<const std::string>(content), m_now,
                           effects);
    if (!is_taken) {
        return false;
    }
    const auto& facts = m_options.m_facts;
    const double expert_seconds = static_cast<double>(facts.m_expert_size.m_count) /
                                  static_cast<double>(facts.m_fetch_rate.m_count);
    for (std::uint32_t rank = 0; rank < m_hosts.size(); ++rank) {
        const auto fetches = new_experts(placement_in_force(), *placement, rank);
        m_fetched += fetches;
        m_hosts[rank].m_engine.m_stage_time = microseconds(
            static_cast<std::int64_t>(static_cast<double>(fetches) * expert_seconds * 1e6));
    }
    m_placements[m_coordinator.m_target.m_map.m_number] = *std::move(placement);
    m_hosts[0].m_sends_from =
        std::max(m_hosts[0].m_sends_from, m_now) +
        planning_time_of_place * facts.m_layers * facts.m_places * m_options.m_ranks;
    carry_out(effects);
    return true;
}

void rank_site::carry_out(const group_map::coordinator_effects& effects)
{
    std::vector<group::outgoing_command> commands;
    for (const auto& message : effects.m_commands) {
        auto sent = group::to_wire("group", rank_id(0), message);
        if (message.m_content) {
            m_hosts[0].m_contents.pack(message, m_coordinator.m_settled, *sent.mutable_command());
        }
        commands.push_back({std::move(sent), message.m_is_repeat, message.m_is_sign_of_life});
    }
    carry_out(0, group::send_commands(m_hosts[0].m_group_router, std::move(commands), m_now));
    if (effects.m_change.m_result != group_map::change_result::none) {
        m_figures.m_changes +=
            effects.m_change.m_result == group_map::change_result::committed ? 1 : 0;
        m_balancer->on_change(effects.m_change, m_now);
    }
}

void rank_site::carry_out(std::uint32_t rank, const group_map::participant_effects& effects)
{
    if (effects.m_order) {
        auto& engine = m_hosts[rank].m_engine;
        m_due.push({m_now + order_delay, ++m_sequence, rank,
                    fake_engine::obey(engine, *effects.m_order, m_now)});
    }
    if (effects.m_report) {
        carry_out(rank, group::send_report(m_hosts[rank].m_group_router,
                                           group::to_wire("group", *effects.m_report)));
    }
}

void rank_site::carry_out(std::uint32_t rank, group::routing_result out)
{
    for (auto& item : out.m_outgoing) {
        std::visit([&](auto& body) { send(rank, item.m_to.value(), std::move(body)); },
                   item.m_body);
    }
    for (const auto& message : out.m_own) {
        take(rank, message);
    }
}

void rank_site::send(std::uint32_t from, std::uint32_t to, cargo body)
{
    if (from == to) {
        m_due.push({m_now, ++m_sequence, to, std::move(body)});
        return;
    }
    const auto* bundle = std::get_if<wire::GroupBundle>(&body);
    const auto bytes = bundle != nullptr ? bundle->ByteSizeLong()
                                         : std::get<wire::GroupMessage>(body).ByteSizeLong();
    const auto time = transfer_time(bytes + frame_bytes, m_options.m_link_rate);
    auto& sends = m_hosts[from].m_sends_from;
    auto& receives = m_hosts[to].m_receives_from;
    auto& busy = m_hosts[to].m_is_busy_until;
    sends = std::max(sends, m_now) + time;
    receives = std::max(sends + hop_delay, receives + time);
    busy = std::max(busy, receives) + m_options.m_message_time;
    m_due.push({busy, ++m_sequence, to, std::move(body)});
}

bool rank_site::is_held() const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](const host& subject) {
        const auto& state = subject.m_engine.m_state;
        return state.m_armed && !state.m_switching && state.m_armed->m_step == state.m_step;
    });
}

bool rank_site::is_fetching() const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](const host& subject) {
        return subject.m_engine.m_staged_at != no_deadline;
    });
}

const ranks::placement& rank_site::placement_in_force() const
{
    return m_placements.at(m_hosts.front().m_engine.m_state.m_current.m_number);
}

void rank_site::step()
{
    if (is_held()) {
        m_next_step = m_now + hold_poll;
        return;
    }
    for (auto& subject : m_hosts) {
        fake_engine::tick(subject.m_engine, m_now);
        fake_engine::begin_step(subject.m_engine);
    }
    const double skew = skew_of(placement_in_force(), m_demand);
    const auto& timing = m_options.m_facts.m_timing;
    const double share = timing.m_expert_share;
    double took = to_seconds(timing.m_fixed) + m_options.m_work * (1.0 - share + share * skew);
    took *= is_fetching() ? fetch_slowdown : 1.0;
    const auto span = microseconds(static_cast<std::int64_t>(took * 1e6));
    m_next_step = m_now + span;
    count_choices();
    note_step(span, skew);
}

void rank_site::count_choices()
{
    const auto experts = m_options.m_facts.m_experts;
    for (auto& subject : m_hosts) {
        for (std::size_t i = 0; i < subject.m_counts.size(); ++i) {
            const double mean = m_demand[i / experts][i % experts] / m_options.m_ranks;
            subject.m_counts[i] += static_cast<std::uint64_t>(std::llround(noisy(mean, m_random)));
        }
    }
}

void rank_site::note_step(time_span took, double skew)
{
    const double objective = to_seconds(m_options.m_facts.m_timing.m_pause_objective);
    const bool is_long = to_seconds(took) > objective * long_step_share;
    m_long_time += is_long ? took : time_span::zero();
    m_late_time += to_seconds(took) > objective ? took : time_span::zero();
    m_steps += 1;
    m_skews += skew;
    if (m_is_recovering && !is_long) {
        m_is_recovering = false;
        m_figures.m_recovery.push_back(m_now - m_shifted_at);
    }
}

void rank_site::shift()
{
    if (m_is_recovering) {
        m_figures.m_recovery.push_back(m_now - m_shifted_at);
    }
    m_shifted_at = m_now;
    m_is_recovering = true;
    m_demand.clear();
    for (auto& order : m_order) {
        const auto swaps = static_cast<std::size_t>(m_options.m_shifted_share / 2 *
                                                    static_cast<double>(order.size()));
        for (std::size_t i = 0; i < swaps; ++i) {
            std::swap(order[uniform_below(m_random, order.size())],
                      order[uniform_below(m_random, order.size())]);
        }
        experts::layer_counts layer(order.size());
        double sum = 0.0;
        for (std::size_t place = 0; place < order.size(); ++place) {
            layer[order[place]] =
                std::pow(static_cast<double>(place + 1), -m_options.m_popularity_exponent);
            sum += layer[order[place]];
        }
        for (auto& value : layer) {
            value *= m_options.m_choices_per_step / sum;
        }
        m_demand.push_back(std::move(layer));
    }
}

}  // namespace dewbeam::bench
