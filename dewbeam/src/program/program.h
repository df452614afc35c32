/// \file
/// What every program does the same way: command line, settings, logs, signals, graceful stop.
#pragma once

#include <absl/status/status.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/lifecycle"
#include "dewbeam/src/program/settings_watch.h"

namespace dewbeam::program {

/// The time of decisions, from the clock that runs from the machine's boot on.
time_point now();

/// The time since the Unix epoch, from the wall clock; for what hosts compare with one another.
time_point wall_now();

/// A new incarnation: microseconds of the wall clock, so that a later life has a larger one.
incarnation new_incarnation();

/// A random engine seeded from the system.
random_engine seeded_engine();

/// What a program tells the frame about itself.
struct program_info {
    const char* m_name;         ///< e.g. `dewbeam-entry`
    const char* m_description;  ///< one sentence for `--help`
    settings_schema m_schema;
};

/// Settings that every program has: host, failure domain, logs, threads, stop.
std::vector<setting> common_settings();

/// Reads the command line and the settings. Where the program must not go on, gives its exit
/// code and has printed why: 0 after `--check`, `--help` or `--print-defaults`, 1 for wrong
/// words, 2 for wrong settings.
struct start_result {
    bool m_must_exit = false;
    int m_exit_code = 0;
    nlohmann::json m_settings;
    settings_source m_source;  ///< refers to the schema in `program_info`
};
start_result start_program(const program_info& info, int argc, char** argv);

/// Logs why a program could not start, and gives its exit code.
int fail_start(const absl::Status& fault);

/// Writes `address` to the file that the setting `/address_file` names, whole or not at all, so
/// that a script can learn which free port was taken. Does nothing where the setting is empty.
void write_address_file(const nlohmann::json& settings, const std::string& address);

/// What the frame calls while a program runs. All on the frame's own thread.
struct program_hooks {
    std::function<bool()> m_is_ready;          ///< learned enough to serve
    std::function<std::size_t()> m_in_flight;  ///< unfinished requests
    std::function<void()> m_announce_leave;    ///< readiness went false
    std::function<void()> m_stop_accepting;    ///< close the listeners
    /// Answers what a stop can't finish; may be empty where nobody waits for an answer.
    std::function<void()> m_give_up;
    std::function<void(time_point)> m_tick;  ///< every `m_tick_interval`
    time_span m_tick_interval = std::chrono::milliseconds(10);
    /// The settings file has changed. Takes over what may change while the program runs.
    std::function<void(const nlohmann::json&)> m_on_settings = [](const nlohmann::json&) {};
};

/// Runs the threads of a context and the life of a process.
class program {
public:
    /// \param source the file that is watched for changes of the settings
    explicit program(const nlohmann::json& settings, settings_source source = {});
    ~program();
    program(const program&) = delete;
    program& operator=(const program&) = delete;
    program(program&&) = delete;
    program& operator=(program&&) = delete;

    [[nodiscard]] boost::asio::io_context& context() { return m_context; }

    /// The phase, for readiness and status pages. Thread-safe.
    [[nodiscard]] lifecycle::phase phase() const { return m_phase; }

    /// Whether a request that is read now may still be finished before a stop ends the process.
    /// That counts from the stop signal itself, which `run` may be late to handle. Thread-safe.
    [[nodiscard]] bool takes_requests(time_point time) const;

    /// Runs until the process has stopped; gives the exit code: 0 clean, 3 cut.
    int run(const program_hooks& hooks);

private:
    void look_at_settings(settings_watch& watch, const program_hooks& hooks, time_point now);
    void start_threads();

    /// Has callers answered that a stop can't wait for.
    static void give_up(const program_hooks& hooks);

    /// Nothing runs on the context any more, so that what its handlers use may be destroyed.
    void stop_threads();

    nlohmann::json m_settings;  ///< of the start
    settings_source m_source;
    time_point m_next_look{};  ///< at the settings file
    std::atomic<bool> m_is_reload_requested = false;
    boost::asio::io_context m_context;
    std::atomic<lifecycle::phase> m_phase = lifecycle::phase::starting;
    time_span m_stop_notice{};  ///< set before the threads start
    std::vector<std::thread> m_threads;
};

}  // namespace dewbeam::program
