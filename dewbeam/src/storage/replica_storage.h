/// \file
/// The disk of one replica: identity, log and snapshot under one data folder.
///
/// | file | holds |
/// |---|---|
/// | `lock` | keeps a second process out |
/// | `identity` | the disk's number, made once and last at the first start |
/// | `log-N` | frames; a snapshot starts the next N with what must be kept of the log |
/// | `snapshot` | one frame |
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <span>
#include <string>

#include "dewbeam/consensus"
#include "dewbeam/src/storage/files.h"

namespace dewbeam::storage {

/// How a group of batches ended.
struct group_result {
    write_outcome m_outcome = write_outcome::done;
    std::size_t m_done = 0;  ///< batches that are synced; try the others again after `full`
};

/// A replica's disk. One thread at a time.
class replica_storage {
public:
    /// Opens a data folder, or makes one whose identity is `fresh`.
    ///
    /// A torn tail of the newest log file is cut. An error names the file and the offset where
    /// synced data is damaged, or says which file is gone: such a folder must be removed, so that
    /// the replica comes back under a new identity.
    static absl::StatusOr<std::unique_ptr<replica_storage>> open(const std::string& folder,
                                                                 consensus::disk_id fresh);

    /// Number of this data folder.
    [[nodiscard]] consensus::disk_id disk() const { return m_disk; }

    /// What the disk holds, synced.
    [[nodiscard]] const consensus::recovered_state& held() const { return m_held; }

    /// Bytes that the open cut from a torn tail.
    [[nodiscard]] std::size_t cut_bytes() const { return m_cut_bytes; }

    /// Writes batches in order, with one sync for all up to a snapshot.
    group_result write(std::span<const consensus::writes> batches);

private:
    replica_storage() = default;
    absl::Status recover();
    absl::Status load_identity(consensus::disk_id fresh);
    absl::Status load_snapshot();
    absl::Status load_log(const std::string& name, bool is_newest);
    absl::Status begin_folder();
    absl::Status begin_after_snapshot();
    write_outcome write_frame(std::span<const consensus::writes> batches);
    write_outcome write_snapshot(const consensus::writes& batch);
    write_outcome begin_log(std::uint64_t number, const consensus::recovered_state& from);
    [[nodiscard]] std::string path(const std::string& name) const { return m_folder + "/" + name; }

    std::string m_folder;
    file m_lock;
    consensus::disk_id m_disk;
    consensus::recovered_state m_held;
    std::uint64_t m_number = 0;  ///< of the newest log file
    file m_log;
    std::size_t m_log_bytes = 0;
    std::size_t m_cut_bytes = 0;
    bool m_is_broken = false;
};

}  // namespace dewbeam::storage
