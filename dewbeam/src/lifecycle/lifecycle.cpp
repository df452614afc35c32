#include "dewbeam/src/lifecycle/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace dewbeam::lifecycle {

namespace {

namespace front = boost::msm::front;
namespace back = boost::msm::back;

struct learned_event {};
struct stop_event {};
struct noticed_event {};
struct drained_event {};

/// States carry no data; their order gives the phase.
struct starting_state : front::state<> {};
struct serving_state : front::state<> {};
struct unready_state : front::state<> {};
struct draining_state : front::state<> {};
struct stopped_state : front::state<> {};

struct definition : front::state_machine_def<definition> {
    using initial_state = starting_state;
    using none = front::none;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<starting_state, learned_event, serving_state,  none, none>,
        front::Row<starting_state, stop_event,    draining_state, none, none>,
        front::Row<serving_state,  stop_event,    unready_state,  none, none>,
        front::Row<unready_state,  noticed_event, draining_state, none, none>,
        front::Row<draining_state, drained_event, stopped_state,  none, none>
    > {};
    // clang-format on

    /// An event that means nothing in this state is passed over.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using state_machine = back::state_machine<definition>;

}  // namespace

struct process::machine : state_machine {};

process::process() : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

process::~process() = default;
process::process(process&&) noexcept = default;
process& process::operator=(process&&) noexcept = default;

const char* to_string(phase value)
{
    switch (value) {
        case phase::starting:
            return "starting";
        case phase::serving:
            return "serving";
        case phase::unready:
            return "unready";
        case phase::draining:
            return "draining";
        case phase::stopped:
            break;
    }
    return "stopped";
}

phase process::current() const
{
    // The back end numbers the states in the order of the table's first use.
    if (m_machine->get_state_by_id(m_machine->current_state()[0]) ==
        m_machine->get_state<starting_state*>()) {
        return phase::starting;
    }
    const auto* state = m_machine->get_state_by_id(m_machine->current_state()[0]);
    if (state == m_machine->get_state<serving_state*>()) {
        return phase::serving;
    }
    if (state == m_machine->get_state<unready_state*>()) {
        return phase::unready;
    }
    if (state == m_machine->get_state<draining_state*>()) {
        return phase::draining;
    }
    return phase::stopped;
}

command process::learned()
{
    const bool was_starting = current() == phase::starting;
    m_machine->process_event(learned_event{});
    return was_starting ? command::start_serving : command::none;
}

command process::stop_requested(time_point notice_deadline, time_point drain_deadline)
{
    if (std::exchange(m_is_stopping, true)) {
        return command::none;
    }
    m_notice_deadline = notice_deadline;
    m_drain_deadline = drain_deadline;
    const bool was_starting = current() == phase::starting;
    m_machine->process_event(stop_event{});
    return was_starting ? command::stop_accepting : command::announce_leave;
}

command process::tick(time_point now, std::size_t in_flight)
{
    const auto before = current();
    if (before == phase::unready && now >= m_notice_deadline) {
        m_machine->process_event(noticed_event{});
        return command::stop_accepting;
    }
    if (before != phase::draining) {
        return command::none;
    }
    if (in_flight == 0) {
        m_machine->process_event(drained_event{});
        return command::exit_clean;
    }
    return now >= m_drain_deadline ? command::exit_cut : command::none;
}

}  // namespace dewbeam::lifecycle
