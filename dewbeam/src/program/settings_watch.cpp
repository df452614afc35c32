#include "dewbeam/src/program/settings_watch.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace dewbeam::program {

namespace {

/// Empty if there is no such file or it is not a regular one.
std::optional<std::string> read_regular_file(const std::string& path)
{
    std::error_code error;
    if (path.empty() || !std::filesystem::is_regular_file(path, error)) {
        return std::nullopt;
    }
    std::ifstream stream(path);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace

settings_watch::settings_watch(settings_source source, nlohmann::json settings)
    : m_source(std::move(source)), m_settings(std::move(settings))
{
}

std::optional<absl::StatusOr<nlohmann::json>> settings_watch::look(bool is_signalled)
{
    const auto content = read_regular_file(m_source.m_file);
    if (!content || content == m_content) {
        return std::nullopt;
    }
    const bool is_settled = content == m_seen_content;
    m_seen_content = content;
    if (!is_settled && !is_signalled) {
        return std::nullopt;
    }
    m_content = content;
    auto settings = load_settings(m_source.m_schema, m_source.m_file);
    if (!settings.ok()) {
        return settings;
    }
    if (*settings == m_settings) {
        return std::nullopt;
    }
    m_settings = *settings;
    return settings;
}

std::string changed_settings(settings_schema schema, const nlohmann::json& before,
                             const nlohmann::json& after)
{
    std::string result;
    for (const auto& item : schema) {
        const nlohmann::json::json_pointer path{std::string(item.m_path)};
        if (before.at(path) != after.at(path)) {
            result += (result.empty() ? "" : ",") + std::string(item.m_path);
        }
    }
    return result;
}

}  // namespace dewbeam::program
