/// \file
/// The followers of the registries in the data folder, so that a restart doesn't forget them.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "dewbeam/src/registrar/follower_table.h"

namespace dewbeam::registrar {

/// Writes on a thread of its own: a disk may hang for seconds. Thread-safe.
class follower_file {
public:
    explicit follower_file(std::string folder);
    ~follower_file();
    follower_file(const follower_file&) = delete;
    follower_file& operator=(const follower_file&) = delete;
    follower_file(follower_file&&) = delete;
    follower_file& operator=(follower_file&&) = delete;

    /// The followers of an earlier life; empty if there are none or the file can't be read.
    [[nodiscard]] std::vector<follower_place> load() const;

    /// Replaces the content; of several that wait, only the last one is written.
    void save(std::string content);

private:
    void run();

    std::string m_folder;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<std::string> m_unsaved;
    bool m_is_stopping = false;
    std::thread m_thread;
};

}  // namespace dewbeam::registrar
