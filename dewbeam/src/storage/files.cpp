#include "dewbeam/src/storage/files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace dewbeam::storage {

namespace {

constexpr int file_mode = 0640;

absl::Status failure(const std::string& what, const std::string& path)
{
    return absl::ErrnoToStatus(errno, what + " " + path);
}

write_outcome outcome_of_errno()
{
    const bool is_full = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
    return is_full ? write_outcome::full : write_outcome::broken;
}

write_outcome write_all(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno != EINTR) {
            return outcome_of_errno();
        }
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return write_outcome::done;
}

/// A sync that failed may have dropped pages: only `ENOSPC` at once is certain, and it is rare.
write_outcome sync_descriptor(int descriptor)
{
    return ::fdatasync(descriptor) == 0 ? write_outcome::done : write_outcome::broken;
}

write_outcome sync_folder(const std::string& folder)
{
    const file opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.is_open()) {
        return write_outcome::broken;
    }
    return ::fsync(opened.descriptor()) == 0 ? write_outcome::done : write_outcome::broken;
}

write_outcome write_aside(const std::string& path, std::string_view bytes)
{
    const file aside(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
    if (!aside.is_open()) {
        return outcome_of_errno();
    }
    const auto written = write_all(aside.descriptor(), bytes);
    return written == write_outcome::done ? sync_descriptor(aside.descriptor()) : written;
}

}  // namespace

const char* to_string(write_outcome value)
{
    switch (value) {
        case write_outcome::done:
            return "done";
        case write_outcome::full:
            return "full";
        case write_outcome::broken:
            break;
    }
    return "broken";
}

file::~file()
{
    if (is_open()) {
        ::close(m_descriptor);
    }
}

file::file(file&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

file& file::operator=(file&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

absl::StatusOr<file> open_for_append(const std::string& path)
{
    file opened(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode));
    if (!opened.is_open()) {
        return failure("can't open", path);
    }
    return opened;
}

absl::StatusOr<file> lock_folder(const std::string& folder)
{
    const auto path = folder + "/lock";
    auto opened = open_for_append(path);
    if (opened.ok() && ::flock(opened->descriptor(), LOCK_EX | LOCK_NB) != 0) {
        return absl::FailedPreconditionError(folder + " is in use by another process");
    }
    return opened;
}

write_outcome append_and_sync(const file& to, std::size_t size, std::string_view bytes)
{
    const auto written = write_all(to.descriptor(), bytes);
    if (written == write_outcome::done) {
        return sync_descriptor(to.descriptor());
    }
    const bool is_cut = ::ftruncate(to.descriptor(), static_cast<off_t>(size)) == 0;
    return is_cut ? written : write_outcome::broken;
}

write_outcome cut_and_sync(const file& to, std::size_t size)
{
    if (::ftruncate(to.descriptor(), static_cast<off_t>(size)) != 0) {
        return write_outcome::broken;
    }
    return sync_descriptor(to.descriptor());
}

write_outcome replace_file(const std::string& folder, const std::string& name,
                           std::string_view bytes)
{
    const auto path = folder + "/" + name;
    const auto aside = path + ".new";
    const auto written = write_aside(aside, bytes);
    if (written != write_outcome::done) {
        ::unlink(aside.c_str());
        return written;
    }
    if (::rename(aside.c_str(), path.c_str()) != 0) {
        return outcome_of_errno();
    }
    return sync_folder(folder);
}

absl::StatusOr<std::string> read_file(const std::string& path)
{
    if (!std::filesystem::exists(path)) {
        return absl::NotFoundError("there is no " + path);
    }
    std::ifstream in(path, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in) {
        return absl::DataLossError("can't read " + path);
    }
    return bytes;
}

std::vector<std::string> list_files(const std::string& folder, std::string_view prefix)
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto& item : std::filesystem::directory_iterator(folder, error)) {
        const auto name = item.path().filename().string();
        if (name.starts_with(prefix) && !name.ends_with(".new")) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

}  // namespace dewbeam::storage
