#include "dewbeam/src/entry/burn_recorder.h"

#include <cstdio>
#include <fstream>
#include <utility>

namespace dewbeam::entry {

namespace {

constexpr std::chrono::seconds save_interval{5};
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr int too_many_requests = 429;

}  // namespace

burn::outcome burn_outcome(const request_result& result)
{
    if (result.m_is_caller_disconnected) {
        return burn::outcome::excluded;
    }
    const auto status = result.m_status;
    const bool is_callers_fault =
        status >= first_client_error && status < first_server_error && status != too_many_requests;
    if (is_callers_fault) {
        return burn::outcome::excluded;
    }
    const bool is_failed = !result.m_code.empty() || status >= first_server_error;
    return is_failed ? burn::outcome::failed : burn::outcome::served;
}

burn_recorder::burn_recorder(std::string file) : m_file(std::move(file))
{
    load();
}

void burn_recorder::load()
{
    std::ifstream stream(m_file);
    if (m_file.empty() || !stream) {
        return;
    }
    auto known = burn::decode(nlohmann::json::parse(stream, nullptr, false));
    if (known.ok()) {
        m_counts = *std::move(known);
        return;
    }
    log_event(log_level::error, "burn_file_damaged",
              {{"file", m_file}, {"reason", std::string(known.status().message())}});
    std::rename(m_file.c_str(), (m_file + ".damaged").c_str());
}

void burn_recorder::record(const burn::series_key& key, const configuration::service_target& target,
                           const request_result& result, time_span first_byte_after,
                           time_point wall_now)
{
    const std::lock_guard lock(m_mutex);
    burn::record(m_counts, key, target, burn_outcome(result), first_byte_after, wall_now);
}

void burn_recorder::tick(time_point wall_now)
{
    {
        const std::lock_guard lock(m_mutex);
        if (wall_now < m_next_save) {
            return;
        }
        m_next_save = wall_now + save_interval;
        burn::forget_old(m_counts, wall_now);
    }
    save();
}

void burn_recorder::save()
{
    if (m_file.empty()) {
        return;
    }
    const auto unfinished = m_file + ".tmp";
    {
        std::ofstream stream(unfinished);
        stream << to_json().dump();
        if (!stream.flush()) {
            log_event(log_level::warning, "burn_file_not_written", {{"file", m_file}});
            return;
        }
    }
    std::rename(unfinished.c_str(), m_file.c_str());
}

nlohmann::json burn_recorder::to_json() const
{
    const std::lock_guard lock(m_mutex);
    return burn::encode(m_counts);
}

}  // namespace dewbeam::entry
