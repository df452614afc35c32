/// \file
/// Service-level burn of one entry: counts, kept over a restart where the entry has a disk.
#pragma once

#include <mutex>
#include <string>

#include "dewbeam/burn"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// How a request counts for the service level.
burn::outcome burn_outcome(const request_result& result);

/// The counts. Thread-safe.
class burn_book {
public:
    /// `file` is empty where the entry keeps nothing. Damaged counts are put aside and logged.
    explicit burn_book(std::string file);

    /// Counts a request that ended. `wall_now` is the time since the Unix epoch.
    void record(const burn::series_key& key, const configuration::service_target& target,
                const request_result& result, time_span first_byte_after, time_point wall_now);

    /// Writes the file where it is time; whole or not at all.
    void tick(time_point wall_now);

    /// Writes the file now.
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
