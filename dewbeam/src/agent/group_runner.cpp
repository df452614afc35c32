#include "dewbeam/src/agent/group_runner.h"

#include <utility>

#include "dewbeam/src/agent/group_wire.h"
#include "dewbeam/src/program/program.h"

namespace dewbeam::agent {

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
    participant.m_silence_limit *= rank.value() + 1;  // one after the other steps in
    options.m_coordinator.m_rank = rank;
    options.m_coordinator.m_incarnation = own;
    options.m_coordinator.m_ranks = static_cast<std::uint32_t>(options.m_members.size());
    return options;
}

group_runner::group_runner(const group_options& options, group_hooks hooks, engine_port& orders,
                           time_point now)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_orders(orders),
      m_participant(group_map::start_participant(options.m_participant, now)),
      m_coordinator(group_map::make_coordinator(options.m_coordinator))
{
}

void group_runner::start(link::node& node, time_point now)
{
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        m_node = &node;
        if (m_options.m_participant.m_rank == rank_id(0)) {
            collect(group_map::activate(m_coordinator, 0, now), todo);
        }
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

void group_runner::on_message(const wire::GroupMessage& message, time_point now)
{
    work todo;
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopped || m_node == nullptr || message.group() != m_options.m_group) {
            return;
        }
        take(message, todo, now);
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
        collect(group_map::tick(m_participant, now), todo);
        const bool may_coordinate =
            m_options.m_participant.m_rank.value() < m_options.m_candidates &&
            m_coordinator.m_phase == group_map::phase::inactive;
        if (may_coordinate && group_map::coordinator_silent(m_participant, now)) {
            collect(group_map::activate(m_coordinator, m_participant.m_promised.m_number, now),
                    todo);
        }
        collect(group_map::tick(m_coordinator, now), todo);
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

bool group_runner::propose(const std::string& content, time_point now)
{
    work todo;
    bool taken = false;
    {
        const std::lock_guard lock(m_mutex);
        group_map::coordinator_effects effects;
        taken = !m_is_stopped &&
                group_map::propose(m_coordinator, std::make_shared<const std::string>(content), now,
                                   effects);
        collect(effects, todo);
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
    return taken;
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

std::optional<rank_id> group_runner::coordinator() const
{
    const std::lock_guard lock(m_mutex);
    const auto& promised = m_participant.m_promised;
    return promised.m_number == 0 ? std::nullopt : std::optional(promised.m_rank);
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

void group_runner::collect(const group_map::participant_effects& effects, work& todo)
{
    todo.m_close_connection |= effects.m_close_connection;
    if (effects.m_order) {
        todo.m_order = effects.m_order;
    }
    if (effects.m_report) {
        post(effects.m_report->m_to.value(), to_wire(m_options.m_group, *effects.m_report));
    }
}

void group_runner::collect(const group_map::coordinator_effects& effects, work& todo)
{
    for (const auto& message : effects.m_commands) {
        post(message.m_to.value(),
             to_wire(m_options.m_group, m_options.m_participant.m_rank, message));
    }
    if (effects.m_result != group_map::change_result::none) {
        todo.m_result = effects.m_result;
    }
}

void group_runner::post(std::uint32_t rank, wire::GroupMessage message)
{
    if (rank >= m_options.m_members.size()) {
        return;  // a rank that this group doesn't have
    }
    if (rank == m_options.m_participant.m_rank.value()) {
        m_own_messages.push_back(std::move(message));
        return;
    }
    wire::Envelope envelope;
    *envelope.mutable_group() = std::move(message);
    m_node->send(m_options.m_members[rank], std::move(envelope));
}

void group_runner::take(const wire::GroupMessage& message, work& todo, time_point now)
{
    if (const auto command = command_from_wire(message)) {
        if (command->m_to == m_options.m_participant.m_rank) {
            collect(group_map::receive(m_participant, *command, now), todo);
        }
    }
    else if (const auto report = report_from_wire(message)) {
        collect(group_map::receive(m_coordinator, *report, now), todo);
    }
}

void group_runner::take_own_messages(work& todo, time_point now)
{
    while (!m_own_messages.empty()) {
        const auto message = std::move(m_own_messages.front());
        m_own_messages.pop_front();
        take(message, todo, now);
    }
}

group_runner::work group_runner::finish(work todo, time_point now)
{
    take_own_messages(todo, now);
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
        // Whoever comes last tells what holds last.
        const std::lock_guard order(m_admission_mutex);
        m_hooks.m_set_admission(may_admit());
    }
    if (todo.m_close_connection) {
        m_orders.cancel();
    }
    if (todo.m_order) {
        send_order(*todo.m_order);
    }
    if (todo.m_result != group_map::change_result::none && m_hooks.m_on_result) {
        m_hooks.m_on_result(todo.m_result);
    }
}

void group_runner::send_order(const group_map::engine_order& order)
{
    m_orders.send(
        order, [weak = weak_from_this()](const absl::StatusOr<group_map::engine_answer>& answer) {
            if (const auto self = weak.lock()) {
                self->on_answer(answer);
            }
        });
}

/// An answer that is not whole or not readable counts as lost: the participant's deadline ends it.
void group_runner::on_answer(absl::StatusOr<group_map::engine_answer> answer)
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
        collect(group_map::answered(m_participant, *answer, now), todo);
        todo = finish(std::move(todo), now);
    }
    carry_out(todo);
}

}  // namespace dewbeam::agent
