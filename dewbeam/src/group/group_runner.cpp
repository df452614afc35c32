#include "dewbeam/src/group/group_runner.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/group/group_wire.h"
#include "dewbeam/src/program/program.h"

namespace dewbeam::group {

namespace {

/// If more than one in this many ranks is late, and at least two are, the cause is taken to be this
/// host. A coordinator that has just started must not substitute for all other ranks, whose
/// agents may obey another coordinator meanwhile.
constexpr std::size_t max_late_divisor = 3;

/// If the group waits for a rank for this long, a warning is logged; it is repeated at this
/// interval.
constexpr time_span missing_log_interval = std::chrono::seconds(5);

/// Logs the duration of a change by stage. Stages are left out if the change didn't reach them all.
void log_change(const group_map::ended_change& change)
{
    const auto& times = change.m_times;
    const bool is_committed = change.m_result == group_map::change_result::committed;
    if (times.m_staged == no_deadline || times.m_armed == no_deadline) {
        log_event(log_level::info, "expert_map_change",
                  {{"committed", is_committed},
                   {"map", change.m_settled.m_number},
                   {"total_ms", to_milliseconds(times.m_ended - times.m_proposed)}});
        return;
    }
    log_event(log_level::info, "expert_map_change",
              {{"committed", is_committed},
               {"map", change.m_settled.m_number},
               {"total_ms", to_milliseconds(times.m_ended - times.m_proposed)},
               {"staging_ms", to_milliseconds(times.m_staged - times.m_proposed)},
               {"arming_ms", to_milliseconds(times.m_armed - times.m_staged)},
               {"committing_ms", to_milliseconds(times.m_ended - times.m_armed)}});
}

/// Logs an order that changes an engine's state, with the decision that it carries out.
void log_order(const group_map::participant& executor, const group_map::engine_order& order,
               bool is_substitute)
{
    if (order.m_kind == group_map::order_kind::read) {
        return;
    }
    log_event(log_level::info, "engine_order",
              {{"rank", executor.m_options.m_rank.value()},
               {"substitute", is_substitute},
               {"kind", group_map::to_string(order.m_kind)},
               {"map", order.m_target.m_map.m_number},
               {"step", order.m_target.m_step.value()},
               {"fencing", order.m_number.value()},
               {"epoch", executor.m_promised.m_number},
               {"coordinator", executor.m_promised.m_rank.value()},
               {"round", executor.m_round.value()}});
}

}  // namespace

group_options make_group_options(std::string group, std::vector<std::string> members, rank_id rank,
                                 incarnation own, bool checks_fencing)
{
    group_options options;
    options.m_group = std::move(group);
    options.m_members = std::move(members);
    auto& participant = options.m_participant;
    participant.m_rank = rank;
    participant.m_incarnation = own;
    participant.m_first_order = fencing_number(own.value());
    participant.m_checks_fencing = checks_fencing;
    participant.m_silence_limit *= rank.value() + 1;  // ranks take over one after the other
    options.m_coordinator.m_rank = rank;
    options.m_coordinator.m_incarnation = own;
    options.m_coordinator.m_first_epoch = group_map::min_epoch_above(fencing_number(own.value()));
    options.m_coordinator.m_ranks = static_cast<std::uint32_t>(options.m_members.size());
    return options;
}

group_runner::group_runner(const group_options& options, group_hooks hooks,
                           std::shared_ptr<engine_port> orders, time_point now)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_order_port(std::move(orders)),
      m_participant(group_map::start_participant(options.m_participant, now)),
      m_coordinator(group_map::make_coordinator(options.m_coordinator)),
      m_group_router(make_group_router(options.m_group, options.m_participant.m_rank,
                                       static_cast<std::uint32_t>(options.m_members.size())))
{
}

void group_runner::start(link::node& node, time_point now)
{
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        m_node = &node;
        if (m_options.m_participant.m_rank == rank_id(0)) {
            collect(group_map::activate(m_coordinator, 0, now), todo, now);
        }
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

void group_runner::on_message(const wire::GroupMessage& message, time_point now)
{
    receive_arrived(message, now);
}

void group_runner::on_bundle(const wire::GroupBundle& bundle, time_point now)
{
    receive_arrived(bundle, now);
}

template <class Body>
void group_runner::receive_arrived(const Body& arrived, time_point now)
{
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopped || m_node == nullptr || arrived.group() != m_options.m_group) {
            return;
        }
        take(group::take(m_group_router, arrived), todo, now);
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

void group_runner::tick(time_point now)
{
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopped || m_node == nullptr) {
            return;
        }
        exclude_loop_delay(now);
        collect(group_map::tick(m_participant, now), m_options.m_participant.m_rank, todo);
        for (auto& [rank, item] : m_substitutes) {
            collect(group_map::tick(item.m_participant, now), rank, todo);
        }
        const bool may_coordinate =
            m_options.m_participant.m_rank.value() < m_options.m_candidates &&
            m_coordinator.m_phase == group_map::phase::inactive;
        if (may_coordinate && group_map::coordinator_silent(m_participant, now)) {
            collect(group_map::activate(m_coordinator, m_participant.m_promised.m_number, now),
                    todo, now);
        }
        substitute_late_ranks(todo, now);
        end_substitutions(todo, now);
        collect(group_map::tick(m_coordinator, now), todo, now);
        log_missing_ranks(now);
        post(flush(m_group_router));
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

/// Excludes this process's loop delay from the timeouts of others, since it read no messages then.
void group_runner::exclude_loop_delay(time_point now)
{
    const auto held_up = take_growth(m_link_delay, m_node->held_up());
    if (held_up == time_span::zero()) {
        return;
    }
    group_map::put_off_silence(m_participant, held_up, now);
    m_substitute_not_before = now + m_options.m_late_answer_timeout;
}

/// Logs the ranks that the group is waiting for: their agents may not have started.
void group_runner::log_missing_ranks(time_point now)
{
    const auto missing = group_map::late_ranks(m_coordinator, missing_log_interval, now);
    if (missing.empty()) {
        if (m_has_logged_missing_ranks && m_coordinator.m_phase == group_map::phase::settled) {
            m_has_logged_missing_ranks = false;
            log_event(log_level::info, "group_complete", {{"group", m_options.m_group}});
        }
        return;
    }
    if (now < m_next_missing_ranks_log) {
        return;
    }
    m_next_missing_ranks_log = now + missing_log_interval;
    m_has_logged_missing_ranks = true;
    for (const auto rank : missing) {
        log_event(log_level::warning, "group_waits",
                  {{"group", m_options.m_group},
                   {"phase", group_map::to_string(m_coordinator.m_phase)},
                   {"rank", rank.value()},
                   {"address", m_options.m_members[rank.value()]}});
    }
}

bool group_runner::propose(const std::string& content, time_point now)
{
    work todo;
    bool accepted = false;
    {
        const std::lock_guard lock(m_mutex);
        group_map::coordinator_effects effects;
        accepted = !m_is_stopped &&
                   group_map::propose(m_coordinator, std::make_shared<const std::string>(content),
                                      now, effects);
        collect(effects, todo, now);
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
    return accepted;
}

group_map::phase group_runner::current_phase() const
{
    const std::lock_guard lock(m_mutex);
    return m_coordinator.m_phase;
}

std::optional<group_map::engine_state> group_runner::engine() const
{
    const std::lock_guard lock(m_mutex);
    return m_participant.m_engine;
}

coordinator_routes group_runner::routes_to_coordinator(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto& promised = m_participant.m_promised;
    if (promised.m_number != 0 && !group_map::coordinator_silent(m_participant, now)) {
        const auto to = promised.m_rank;
        const bool is_self = to == m_options.m_participant.m_rank;
        return {true, {{to, is_self ? to : m_group_router.m_report_relay.value_or(to)}}};
    }
    coordinator_routes result;
    for (std::uint32_t rank = 0; rank < m_options.m_candidates; ++rank) {
        result.m_routes.push_back({rank_id(rank), rank_id(rank)});
    }
    return result;
}

bool group_runner::may_admit() const
{
    const std::lock_guard lock(m_mutex);
    return m_may_admit;
}

void group_runner::stop()
{
    const std::lock_guard lock(m_mutex);
    m_is_stopped = true;
}

void group_runner::record_alive(rank_id rank, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_substitutes.find(rank);
    // A message that was in transit when the substitution started is no sign of a running agent.
    if (place != m_substitutes.end() &&
        place->second.m_since + m_options.m_late_answer_timeout < now) {
        m_alive.insert(rank);
    }
}

/// Substitutes for ranks whose agents' answers are overdue.
void group_runner::substitute_late_ranks(work& todo, time_point now)
{
    if (!m_options.m_make_port || now < m_substitute_not_before) {
        return;
    }
    const auto late = group_map::late_ranks(m_coordinator, m_options.m_late_answer_timeout, now);
    if (late.size() > std::max<std::size_t>(1, m_options.m_members.size() / max_late_divisor)) {
        return;  // this host is unreachable or has just started
    }
    const auto substitutes_before = m_substitutes.size();
    for (const auto rank : late) {
        if (rank == m_options.m_participant.m_rank || m_substitutes.contains(rank)) {
            continue;
        }
        auto port = m_options.m_make_port(rank);
        if (!port) {
            continue;
        }
        auto options = m_options.m_participant;
        options.m_rank = rank;
        // The substitute is a later incarnation than the agent.
        const auto& known = m_coordinator.m_ranks[rank.value()].m_life;
        const auto min_incarnation = known ? known->m_agent.value() + 1 : 0;
        options.m_incarnation =
            incarnation(std::max(program::new_incarnation().value(), min_incarnation));
        options.m_first_order = fencing_number(options.m_incarnation.value());
        auto& added = m_substitutes[rank];
        added.m_port = std::move(port);
        added.m_participant = group_map::start_participant(options, now);
        added.m_since = now;
        m_group_router.m_relay_unused_until[rank.value()] = no_deadline;
        log_event(log_level::warning, "rank_stood_in_for",
                  {{"group", m_options.m_group}, {"rank", rank.value()}});
        collect(group_map::tick(added.m_participant, now), rank, todo);
    }
    if (m_substitutes.size() > substitutes_before) {
        // One new epoch for all of them, instead of one for the first report of each.
        collect(group_map::activate(m_coordinator, m_participant.m_promised.m_number, now), todo,
                now);
    }
}

/// Returns ranks to their own agents, in a new epoch.
void group_runner::end_substitutions(work& todo, time_point now)
{
    const bool coordinates = m_coordinator.m_phase != group_map::phase::inactive;
    if (m_substitutes.empty() ||
        (coordinates && (m_alive.empty() || m_coordinator.m_phase != group_map::phase::settled))) {
        return;
    }
    std::erase_if(m_substitutes, [&](const auto& item) {
        const bool is_over = !coordinates || m_alive.contains(item.first);
        if (is_over) {
            m_group_router.m_relay_unused_until[item.first.value()] = {};
            log_event(log_level::info, "rank_left_to_its_agent", {{"rank", item.first.value()}});
        }
        return is_over;
    });
    m_alive.clear();
    if (coordinates) {
        collect(group_map::activate(m_coordinator, m_participant.m_promised.m_number, now), todo,
                now);
    }
}

void group_runner::collect(const group_map::participant_effects& effects, rank_id rank, work& todo)
{
    if (effects.m_close_connection || effects.m_order) {
        const auto place = m_substitutes.find(rank);
        const bool is_substitute = place != m_substitutes.end();
        auto port = is_substitute ? place->second.m_port : m_order_port;
        if (effects.m_order) {
            log_order(is_substitute ? place->second.m_participant : m_participant, *effects.m_order,
                      is_substitute);
        }
        todo.m_engines.push_back(
            {std::move(port), rank, effects.m_close_connection, effects.m_order});
    }
    if (effects.m_report) {
        post_report(*effects.m_report);
    }
}

void group_runner::collect(const group_map::coordinator_effects& effects, work& todo,
                           time_point now)
{
    std::vector<outgoing_command> commands;
    for (const auto& message : effects.m_commands) {
        if (m_substitutes.contains(message.m_to)) {
            m_local_messages.push_back(write_command(message));
        }
        else {
            commands.push_back(
                {write_command(message), message.m_is_repeat, message.m_is_sign_of_life});
        }
    }
    post(send_commands(m_group_router, std::move(commands), now));
    if (effects.m_change.m_result != group_map::change_result::none) {
        todo.m_change = effects.m_change;
    }
}

wire::GroupMessage group_runner::write_command(const group_map::command& message)
{
    auto result = to_wire(m_options.m_group, m_options.m_participant.m_rank, message);
    if (message.m_content) {
        // Repeats are packed without a base map, for ranks that lack the base of the first copy.
        m_contents.pack(message, m_coordinator.m_settled, *result.mutable_command());
    }
    return result;
}

void group_runner::post_report(const group_map::report& message)
{
    auto report = to_wire(m_options.m_group, message);
    if (message.m_from == m_options.m_participant.m_rank) {
        post(send_report(m_group_router, std::move(report)));
    }
    else {
        m_local_messages.push_back(std::move(report));  // of a substituted rank
    }
}

void group_runner::post(routing_result&& out)
{
    for (const auto relay : out.m_lost_relays) {
        log_event(log_level::warning, "relay_lost",
                  {{"group", m_options.m_group},
                   {"rank", relay.value()},
                   {"address", m_options.m_members[relay.value()]}});
    }
    for (const auto& item : out.m_outgoing) {
        post(item);
    }
}

void group_runner::post(const addressed_message& item)
{
    if (item.m_to.value() >= m_options.m_members.size()) {
        return;  // the group has no such rank
    }
    const auto* message = std::get_if<wire::GroupMessage>(&item.m_body);
    if (message != nullptr && item.m_to == m_options.m_participant.m_rank) {
        m_local_messages.push_back(*message);
        return;
    }
    wire::Envelope envelope;
    if (message != nullptr) {
        *envelope.mutable_group() = *message;
    }
    else {
        *envelope.mutable_group_bundle() = std::get<wire::GroupBundle>(item.m_body);
    }
    m_node->send(m_options.m_members[item.m_to.value()], std::move(envelope));
}

void group_runner::take(routing_result&& arrived, work& todo, time_point now)
{
    for (const auto& message : arrived.m_own) {
        take(message, todo, now);
    }
    post(std::move(arrived));
}

void group_runner::take(const wire::GroupMessage& message, work& todo, time_point now)
{
    if (auto command = command_from_wire(message)) {
        if (const auto unpacked = m_contents.unpack(message.command(), *command); !unpacked.ok()) {
            log_event(log_level::info, "map_content_not_read",
                      {{"map", command->m_target.m_map.m_number},
                       {"reason", std::string(unpacked.message())}});
            return;
        }
        const auto place = m_substitutes.find(command->m_to);
        if (command->m_to == m_options.m_participant.m_rank) {
            collect(group_map::receive(m_participant, *command, now), command->m_to, todo);
        }
        else if (place != m_substitutes.end()) {
            collect(group_map::receive(place->second.m_participant, *command, now), command->m_to,
                    todo);
        }
    }
    else if (const auto report = report_from_wire(message)) {
        collect(group_map::receive(m_coordinator, *report, now), todo, now);
    }
}

void group_runner::handle_local_messages(work& todo, time_point now)
{
    while (!m_local_messages.empty()) {
        const auto message = std::move(m_local_messages.front());
        m_local_messages.pop_front();
        take(message, todo, now);
    }
}

group_runner::work group_runner::finish(work todo, time_point now)
{
    handle_local_messages(todo, now);
    const bool may_admit = group_map::may_admit(m_participant);
    if (may_admit != m_may_admit) {
        m_may_admit = may_admit;
        todo.m_admission_changed = true;
    }
    return todo;
}

void group_runner::carry_out(const work& todo)
{
    if (todo.m_admission_changed && m_hooks.m_set_admission) {
        // The value is read under the mutex, so that the last call passes the latest value.
        const std::lock_guard order(m_admission_mutex);
        m_hooks.m_set_admission(may_admit());
    }
    for (const auto& item : todo.m_engines) {
        if (item.m_close_connection) {
            item.m_port->cancel();
        }
        if (item.m_order) {
            send_order(item);
        }
    }
    if (todo.m_change.m_result == group_map::change_result::none) {
        return;
    }
    log_change(todo.m_change);
    if (m_hooks.m_on_change) {
        m_hooks.m_on_change(todo.m_change);
    }
}

void group_runner::send_order(const engine_actions& wanted)
{
    wanted.m_port->send(*wanted.m_order,
                        [weak = weak_from_this(), rank = wanted.m_rank](
                            const absl::StatusOr<group_map::engine_answer>& answer) {
                            if (const auto self = weak.lock()) {
                                self->on_answer(rank, answer);
                            }
                        });
}

/// An incomplete or unreadable answer counts as lost: the participant's timeout ends the order.
void group_runner::on_answer(rank_id rank, absl::StatusOr<group_map::engine_answer> answer)
{
    if (!answer.ok()) {
        log_event(log_level::warning, "order_unanswered",
                  {{"reason", std::string(answer.status().message())}});
        return;
    }
    answer->m_state.m_busy |= m_hooks.m_is_busy && m_hooks.m_is_busy();
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopped) {
            return;
        }
        const auto now = program::now();
        const auto place = m_substitutes.find(rank);
        if (rank == m_options.m_participant.m_rank) {
            collect(group_map::answered(m_participant, *answer, now), rank, todo);
        }
        else if (place != m_substitutes.end()) {
            collect(group_map::answered(place->second.m_participant, *answer, now), rank, todo);
        }
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

}  // namespace dewbeam::group
