/// \file
/// Notices that the settings file of a running program has changed.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>

#include "dewbeam/base"

namespace dewbeam::program {

/// Where the settings of a program come from.
struct settings_source {
    std::string m_file;  ///< empty: nowhere, nothing is watched
    settings_schema m_schema;
};

/// Compares the file with what was read last. Only regular files are watched: reading a pipe again
/// would block.
class settings_watch {
public:
    /// \param settings those of the start; the file may have changed since they were read
    settings_watch(settings_source source, nlohmann::json settings);

    /// The new settings, or why they are refused; empty while the file is as it was. Without
    /// `is_signalled`, a change is taken once two looks in a row found the same content: whoever
    /// writes the file may not have finished.
    std::optional<absl::StatusOr<nlohmann::json>> look(bool is_signalled);

private:
    settings_source m_source;
    nlohmann::json m_settings;                  ///< last valid ones
    std::optional<std::string> m_content;       ///< of the file, as judged last
    std::optional<std::string> m_seen_content;  ///< of the file, at the last look
};

/// The paths of the settings at which two documents differ, for the log.
std::string changed_settings(settings_schema schema, const nlohmann::json& before,
                             const nlohmann::json& after);

}  // namespace dewbeam::program
