/// \file
/// Files that last only once they are synced; every call says how it ended.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace dewbeam::storage {

/// How a write ended.
enum class write_outcome {
    done,    ///< synced
    full,    ///< no room; nothing was changed, and a later try may succeed
    broken,  ///< the disk failed; nothing may be written any more
};

/// Field term of an outcome for logs.
const char* to_string(write_outcome value);

/// An open file. Closes itself.
class file {
public:
    file() = default;
    explicit file(int descriptor) : m_descriptor(descriptor) {}
    ~file();
    file(file&& other) noexcept;
    file& operator=(file&& other) noexcept;
    file(const file&) = delete;
    file& operator=(const file&) = delete;

    [[nodiscard]] int descriptor() const { return m_descriptor; }
    [[nodiscard]] bool is_open() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

/// Opens for appending; makes the file where there is none.
absl::StatusOr<file> open_for_append(const std::string& path);

/// Holds the folder for this process alone until the file is closed.
absl::StatusOr<file> lock_folder(const std::string& folder);

/// Appends at `size` and syncs; without room, the file is cut back to `size`.
write_outcome append_and_sync(const file& to, std::size_t size, std::string_view bytes);

/// Cuts a file and syncs it.
write_outcome cut_and_sync(const file& to, std::size_t size);

/// Puts a whole file in place: written aside, synced, renamed, and the folder synced.
write_outcome replace_file(const std::string& folder, const std::string& name,
                           std::string_view bytes);

/// The whole file; `NotFound` where there is none.
absl::StatusOr<std::string> read_file(const std::string& path);

/// Names in a folder that begin with `prefix`, sorted.
std::vector<std::string> list_files(const std::string& folder, std::string_view prefix);

}  // namespace dewbeam::storage
