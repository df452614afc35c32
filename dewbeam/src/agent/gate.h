/// \file
/// Runs the attempts that the ledger lets through and sends their answers back.
#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "dewbeam/fairness"
#include "dewbeam/http"
#include "dewbeam/ledger"
#include "dewbeam/link"
#include "dewbeam/src/control/subscriber.h"

namespace dewbeam::agent {

/// The gate between entries and one upstream. Thread-safe.
class gate : public std::enable_shared_from_this<gate> {
public:
    /// `expected_engine` names the engine that requests are meant for; empty: any.
    gate(ledger::ledger_options options, http::client& upstream, control::subscriber& configuration,
         std::string expected_engine);

    /// The node to answer on; set once, before the first message.
    void use(link::node& node);

    /// An entry wants an attempt to be run.
    void dispatch(const link::peer& from, const wire::Envelope& message, time_point now);

    /// An entry does not want an answer any more.
    void cancel(const attempt_id& id);

    /// An entry gave up on an attempt that it heard nothing of.
    void tombstone(const link::peer& from, const wire::Tombstone& message, time_point now);

    /// An entry's connection went silent: nobody takes its answers.
    void entry_lost(const link::peer& gone);

    /// A newer configuration is in force.
    void set_configuration(configuration_version version);

    /// From now on every dispatch is refused.
    void start_leaving();

    /// Takes work again after an operator's drain ended.
    void stop_leaving();

    /// The upstream began a new life: dispatches meant for the earlier one are refused.
    void set_incarnation(incarnation fresh);

    void set_slots(std::uint32_t slots);

    /// While paused every dispatch is refused; what runs goes on.
    void set_paused(bool paused);

    /// Another engine has taken the upstream's place after `heard_at`: attempts that may run twice
    /// and brought nothing since then are given up, so that they go on elsewhere. The others wait,
    /// since an answer may yet come.
    void give_up_unanswered(time_point heard_at);

    /// The upstream answers nothing after `heard_at`, and may yet go on: entries are told which of
    /// the same attempts wait, now and then, and take them back where another upstream is better.
    void tell_silence(time_point heard_at, time_point now);

    /// Forgets old attempts.
    void tick(time_point now);

    /// Attempts that run.
    [[nodiscard]] std::size_t running() const;

    /// What the gate lets each class hold, for the load reports.
    struct class_figures {
        std::uint32_t m_urgent = 0;  ///< urgent attempts that run
        std::uint32_t m_ordinary_slots = 0;
    };
    [[nodiscard]] class_figures classes() const;

private:
    struct attempt;
    using attempt_pointer = std::shared_ptr<attempt>;

    void refuse(const link::peer& from, const attempt_id& id, const ledger::decision& why,
                time_point now);
    void begin(const attempt_pointer& running, const wire::Dispatch& message);
    void note_backoff(const attempt& running, int status, const http::fields& head);
    void send_chunk(attempt& running, wire::ReplyChunk chunk);
    void end(const attempt_pointer& running, const absl::Status& result, http::progress how_far);
    [[nodiscard]] std::vector<attempt_pointer> unanswered_since(time_point heard_at) const;

    http::client& m_upstream;
    control::subscriber& m_configuration;
    std::string m_expected_engine;
    link::node* m_node = nullptr;
    mutable std::mutex m_mutex;
    void reserve_for_urgent(time_point now);

    ledger::attempt_ledger m_ledger;
    fairness::urgent_demand m_urgent_demand;
    std::map<attempt_id, attempt_pointer> m_running;
    time_point m_next_silence{};  ///< when entries are told of a silent upstream again
};

}  // namespace dewbeam::agent
