/// \file
/// Service-level burn counts of one entry, persisted across restarts if a file is configured.
#pragma once

#include <mutex>
#include <string>

#include "dewbeam/burn"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// Whether a request counts as served or failed for the service level, or is excluded. Requests
/// whose caller disconnected, and client errors other than 429, are excluded.
burn::outcome burn_outcome(const request_result& result);

/// Records and persists the counts. Thread-safe.
class burn_recorder {
public:
    /// If `file` is empty, nothing is persisted. A damaged file is renamed to `file` + ".damaged"
    /// and logged.
    explicit burn_recorder(std::string file);

    /// Counts a request that ended. `wall_now` is the time since the Unix epoch.
    void record(const burn::series_key& key, const configuration::service_target& target,
                const request_result& result, time_span first_byte_after, time_point wall_now);

    /// Writes the file if the save interval has passed.
    void tick(time_point wall_now);

    /// Writes the file now: to a temporary file that then replaces the old one.
    void save();

    [[nodiscard]] nlohmann::json to_json() const;

private:
    void load();

    std::string m_file;
    mutable std::mutex m_mutex;
    burn::state m_counts;
    time_point m_next_save{};
};

}  // namespace dewbeam::entry
