#include "dewbeam/src/program/program.h"

#include <docopt.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <random>

#include "dewbeam/turns"

namespace dewbeam::program {

namespace {

constexpr int exit_usage = 1;
constexpr int exit_settings = 2;
constexpr int exit_cut = 3;
/// For the answers to what is given up at the end of a stop.
constexpr std::chrono::milliseconds answer_limit{200};
/// A tick that comes so late is logged.
constexpr std::chrono::milliseconds late_tick_limit{500};
/// How often the settings file is compared with what was read last.
constexpr std::chrono::seconds settings_interval{1};

/// Stop signals so far, and when the first one came. The limits of a stop count from then on, and
/// not from when a busy process comes to handle it.
std::atomic<int> stop_signals = 0;
std::atomic<time_point> stopped_at = no_deadline;
static_assert(std::atomic<int>::is_always_lock_free && std::atomic<time_point>::is_always_lock_free,
              "a signal handler may use them");

void note_stop(int)
{
    auto none = no_deadline;
    stopped_at.compare_exchange_strong(none, now());
    ++stop_signals;
}

/// A signal that comes while the program starts, seconds on a busy host, must not end it: a reload
/// has nothing to do yet, and a stop is carried out as soon as the program runs.
void mind_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGTERM, note_stop);
    std::signal(SIGINT, note_stop);
}

log_level to_log_level(const std::string& text)
{
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    return text == "error" ? log_level::error : log_level::info;
}

std::string usage_text(const program_info& info)
{
    const std::string name = info.m_name;
    return std::string(info.m_description) + "\n\nUsage:\n  " + name +
           " --settings FILE [--check]\n  " + name + " --print-defaults\n  " + name +
           " --describe-settings\n  " + name +
           " (-h | --help)\n\nOptions:\n"
           "  --settings FILE      JSON file with the settings.\n"
           "  --check              Check the settings and exit.\n"
           "  --print-defaults     Print the defaults as JSON; required settings are null.\n"
           "  --describe-settings  Print a table of the settings.\n"
           "  -h --help            Print this text.\n";
}

start_result exit_with(int code)
{
    return {true, code, {}, {}};
}

time_span span_setting(const nlohmann::json& settings, const char* path)
{
    return std::chrono::milliseconds(setting_value<std::int64_t>(settings, path));
}

}  // namespace

time_point now()
{
    // Unlike the steady clock, this one counts the time for which the machine was suspended: a
    // deadline that passed meanwhile has passed.
    timespec since_boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return time_point(std::chrono::duration_cast<time_span>(
        std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec)));
}

time_point wall_now()
{
    return time_point(
        std::chrono::duration_cast<time_span>(std::chrono::system_clock::now().time_since_epoch()));
}

incarnation new_incarnation()
{
    return incarnation(static_cast<std::uint64_t>(wall_now().time_since_epoch().count()));
}

random_engine seeded_engine()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return random_engine((static_cast<std::uint64_t>(device()) << half) | device());
}

std::vector<setting> common_settings()
{
    constexpr std::int64_t most_threads = 64;
    constexpr std::int64_t longest_ms = 3'600'000;
    return {
        {"/host", setting_kind::name, nullptr, "Name of this host, unique in the deployment."},
        {"/failure_domain", setting_kind::name, nullptr, "Failure domain of this host."},
        {"/threads", setting_kind::integer, 2, "Threads for I/O.", 1, most_threads},
        {"/log/level",
         setting_kind::choice,
         "info",
         "Least level that is logged.",
         0,
         0,
         {"debug", "info", "warning", "error"}},
        {"/address_file", setting_kind::text, "",
         "Where to write the address of the HTTP listener in use; empty: nowhere."},
        {"/stop/notice_ms", setting_kind::integer, 1000,
         "After a stop signal: how long new work is still taken while the load balancer before it "
         "notices (ms).",
         0, longest_ms},
        {"/stop/drain_ms", setting_kind::integer, 60'000,
         "After the notice time: how long requests in flight may take before they are cut (ms).", 0,
         longest_ms},
    };
}

start_result start_program(const program_info& info, int argc, char** argv)
{
    mind_signals();
    std::map<std::string, docopt::value> words;
    try {
        words = docopt::docopt_parse(usage_text(info), {argv + 1, argv + argc}, true, false);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage_text(info);
        return exit_with(0);
    }
    catch (const std::runtime_error& error) {
        std::cerr << error.what() << "\n" << usage_text(info);
        return exit_with(exit_usage);
    }
    if (words["--print-defaults"].asBool()) {
        std::cout << default_settings(info.m_schema).dump(2) << "\n";
        return exit_with(0);
    }
    if (words["--describe-settings"].asBool()) {
        std::cout << describe_settings(info.m_schema);
        return exit_with(0);
    }
    const auto file = words["--settings"].asString();
    auto settings = load_settings(info.m_schema, file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return exit_with(exit_settings);
    }
    if (words["--check"].asBool()) {
        std::cout << "settings are right\n";
        return exit_with(0);
    }
    configure_log(info.m_name, setting_value<std::string>(*settings, "/host"),
                  to_log_level(setting_value<std::string>(*settings, "/log/level")));
    return {false, 0, *std::move(settings), {file, info.m_schema}};
}

int fail_start(const absl::Status& fault)
{
    log_event(log_level::error, "start_failed", {{"reason", std::string(fault.message())}});
    return exit_settings;
}

void write_address_file(const nlohmann::json& settings, const std::string& address)
{
    const auto file = setting_value<std::string>(settings, "/address_file");
    if (file.empty()) {
        return;
    }
    const auto unfinished = file + ".tmp";
    std::ofstream(unfinished) << address << "\n";
    std::rename(unfinished.c_str(), file.c_str());
}

program::program(const nlohmann::json& settings, settings_source source)
    : m_settings(settings),
      m_source(std::move(source)),
      m_context(setting_value<int>(settings, "/threads"))
{
}

program::~program()
{
    stop_threads();
}

bool program::takes_requests(time_point time) const
{
    const auto stopped = stopped_at.load();
    return stopped == no_deadline || time < stopped + m_stop_notice;
}

void program::stop_threads()
{
    m_context.stop();
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void program::start_threads()
{
    const auto count = setting_value<int>(m_settings, "/threads");
    for (int i = 0; i < count; ++i) {
        m_threads.emplace_back([this] {
            const auto keep_running = boost::asio::make_work_guard(m_context);
            // A handler that throws leaves `run`; the others go on.
            while (!contain("event_loop", [this] { m_context.run(); })) {
            }
        });
    }
}

void program::give_up(const program_hooks& hooks)
{
    if (!hooks.m_give_up) {
        return;
    }
    hooks.m_give_up();
    const auto deadline = now() + answer_limit;
    while (hooks.m_in_flight() > 0 && now() < deadline) {
        std::this_thread::sleep_for(hooks.m_tick_interval);
    }
}

void program::look_at_settings(settings_watch& watch, const program_hooks& hooks, time_point now)
{
    const bool is_signalled = m_is_reload_requested.exchange(false);
    if (!is_signalled && now < m_next_look) {
        return;
    }
    m_next_look = now + settings_interval;
    const auto fresh = watch.look(is_signalled);
    if (!fresh) {
        if (is_signalled) {
            log_event(log_level::info, "settings_unchanged");
        }
        return;
    }
    if (!fresh->ok()) {
        log_event(log_level::error, "settings_refused",
                  {{"reason", std::string(fresh->status().message())}});
        return;
    }
    log_event(log_level::info, "settings_changed",
              {{"since_start", changed_settings(m_source.m_schema, m_settings, **fresh)}});
    hooks.m_on_settings(**fresh);
}

int program::run(const program_hooks& hooks)
{
    lifecycle::process life;
    boost::asio::signal_set reloads(m_context, SIGHUP);
    const std::function<void()> note_reload = [&] {
        reloads.async_wait([&](const boost::system::error_code& error, int) {
            if (!error) {
                m_is_reload_requested = true;
                note_reload();
            }
        });
    };
    note_reload();
    settings_watch watch(m_source, m_settings);
    m_stop_notice = span_setting(m_settings, "/stop/notice_ms");
    start_threads();
    int handled_signals = 0;
    turn_watch turns;
    log_event(log_level::info, "process_started");
    for (;;) {
        std::this_thread::sleep_for(hooks.m_tick_interval);
        const auto time = now();
        if (const auto late = begin_turn(turns, time, hooks.m_tick_interval);
            late >= late_tick_limit) {
            log_event(log_level::warning, "process_held_up", {{"ms", to_milliseconds(late)}});
        }
        look_at_settings(watch, hooks, time);
        hooks.m_tick(time);
        auto wanted = lifecycle::command::none;
        if (stop_signals > handled_signals) {
            ++handled_signals;
            const auto notice = stopped_at.load() + m_stop_notice;
            wanted =
                life.stop_requested(notice, notice + span_setting(m_settings, "/stop/drain_ms"));
            if (handled_signals > 1) {
                log_event(log_level::info, "stop_signal_passed_over",
                          {{"reason", "the process is stopping already"}});
            }
        }
        else if (life.current() == lifecycle::phase::starting && hooks.m_is_ready()) {
            wanted = life.learned();
        }
        else {
            wanted = life.tick(time, hooks.m_in_flight());
        }
        m_phase = life.current();
        switch (wanted) {
            case lifecycle::command::none:
                break;
            case lifecycle::command::start_serving:
                log_event(log_level::info, "process_ready");
                break;
            case lifecycle::command::announce_leave:
                log_event(log_level::info, "process_leaving");
                hooks.m_announce_leave();
                break;
            case lifecycle::command::stop_accepting:
                log_event(log_level::info, "process_draining",
                          {{"in_flight", hooks.m_in_flight()}});
                hooks.m_stop_accepting();
                break;
            case lifecycle::command::exit_clean:
                stop_threads();
                log_event(log_level::info, "process_stopped");
                return 0;
            case lifecycle::command::exit_cut:
                log_event(log_level::error, "process_cut", {{"in_flight", hooks.m_in_flight()}});
                give_up(hooks);
                stop_threads();
                return exit_cut;
        }
    }
}

}  // namespace dewbeam::program
