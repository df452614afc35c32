#include "dewbeam/src/storage/replica_storage.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <optional>

#include "dewbeam/src/control/wire.h"
#include "dewbeam/src/storage/frame.h"

namespace dewbeam::storage {

namespace {

constexpr std::string_view log_prefix = "log-";
const std::string identity_name = "identity";
const std::string snapshot_name = "snapshot";

std::string log_name(std::uint64_t number)
{
    return absl::StrFormat("log-%020d", number);
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

absl::Status damaged(const std::string& path, std::size_t offset, const std::string& what)
{
    return absl::DataLossError(absl::StrFormat(
        "%s is damaged at offset %d: %s; remove the data folder to come back on a new disk", path,
        offset, what));
}

absl::Status unwritable(const std::string& path, write_outcome outcome)
{
    return absl::UnavailableError("can't write " + path + ": the disk is " + to_string(outcome));
}

void add_entry(wire::LogFrame& to, const consensus::entry& item)
{
    *to.add_records()->mutable_entry() = control::to_wire(item);
}

void add_batch(wire::LogFrame& to, const consensus::writes& batch)
{
    if (batch.m_truncate_from) {
        to.add_records()->set_truncate_from(*batch.m_truncate_from);
    }
    for (const auto& item : batch.m_entries) {
        add_entry(to, item);
    }
    if (batch.m_hard_state) {
        *to.add_records()->mutable_hard_state() = control::to_wire(*batch.m_hard_state);
    }
}

/// The first frame of a log file: all that is held behind its base.
wire::LogFrame first_frame(const consensus::recovered_state& from)
{
    wire::LogFrame made;
    auto* base = made.add_records()->mutable_base();
    base->set_term(from.m_log_base.m_term);
    base->set_index(from.m_log_base.m_index);
    *made.add_records()->mutable_hard_state() = control::to_wire(from.m_hard);
    for (const auto& item : from.m_entries) {
        add_entry(made, item);
    }
    return made;
}

void start_anew(consensus::recovered_state& to, const wire::LogRecord::Base& base)
{
    to.m_log_base = {base.term(), base.index()};
    to.m_entries.clear();
}

/// Whether an entry follows the log or replaces a part of it.
bool fits(const consensus::recovered_state& to, const consensus::entry& item)
{
    const auto end =
        to.m_entries.empty() ? to.m_log_base.m_index : to.m_entries.back().m_position.m_index;
    return item.m_position.m_index > to.m_log_base.m_index && item.m_position.m_index <= end + 1;
}

/// Whether the process died after a received snapshot was in place and before the log followed.
bool is_behind_snapshot(const consensus::recovered_state& held)
{
    if (!held.m_snapshot || held.m_snapshot->m_position == held.m_log_base) {
        return false;
    }
    const auto& place = held.m_snapshot->m_position;
    return std::none_of(
        held.m_entries.begin(), held.m_entries.end(),
        [&place](const consensus::entry& item) { return item.m_position == place; });
}

bool replay(consensus::recovered_state& to, const wire::LogRecord& record)
{
    consensus::writes item;
    switch (record.body_case()) {
        case wire::LogRecord::kBase:
            start_anew(to, record.base());
            return true;
        case wire::LogRecord::kEntry: {
            auto taken = control::from_wire(record.entry());
            if (!taken.ok() || !fits(to, *taken)) {
                return false;
            }
            item.m_entries.push_back(*std::move(taken));
            break;
        }
        case wire::LogRecord::kHardState:
            item.m_hard_state = control::from_wire(record.hard_state());
            break;
        case wire::LogRecord::kTruncateFrom:
            item.m_truncate_from = record.truncate_from();
            break;
        case wire::LogRecord::BODY_NOT_SET:
            return false;
    }
    consensus::apply(to, item);
    return true;
}

bool replay(consensus::recovered_state& to, std::string_view payload)
{
    wire::LogFrame frame;
    if (!frame.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return false;
    }
    return std::all_of(frame.records().begin(), frame.records().end(),
                       [&to](const wire::LogRecord& record) { return replay(to, record); });
}

}  // namespace

absl::StatusOr<std::unique_ptr<replica_storage>> replica_storage::open(const std::string& folder,
                                                                       consensus::disk_id fresh)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return absl::UnavailableError("can't make " + folder + ": " + error.message());
    }
    std::unique_ptr<replica_storage> made(new replica_storage());
    made->m_folder = folder;
    auto lock = lock_folder(folder);
    if (!lock.ok()) {
        return lock.status();
    }
    made->m_lock = *std::move(lock);
    if (auto status = made->load_identity(fresh); !status.ok()) {
        return status;
    }
    if (auto status = made->recover(); !status.ok()) {
        return status;
    }
    return made;
}

/// The identity is written after the first log file: an identity without a log means a loss.
absl::Status replica_storage::load_identity(consensus::disk_id fresh)
{
    const auto text = read_file(path(identity_name));
    if (text.ok()) {
        const auto found = read_frames(*text);
        const auto number =
            found.m_payloads.size() == 1 ? to_number(found.m_payloads.front()) : std::nullopt;
        if (!number) {
            return damaged(path(identity_name), 0, "not the identity of a disk");
        }
        m_disk = consensus::disk_id(*number);
        return absl::OkStatus();
    }
    if (text.status().code() != absl::StatusCode::kNotFound) {
        return text.status();
    }
    m_disk = fresh;
    return begin_folder();
}

absl::Status replica_storage::begin_folder()
{
    const bool is_used = list_files(m_folder, log_prefix).size() > 1 ||
                         std::filesystem::exists(path(snapshot_name)) ||
                         std::filesystem::exists(path(log_name(2)));
    if (is_used) {
        return damaged(path(identity_name), 0, "it is gone and the log is not");
    }
    if (const auto outcome = begin_log(1, {}); outcome != write_outcome::done) {
        return unwritable(path(log_name(1)), outcome);
    }
    const auto frame = make_frame(std::to_string(m_disk.value()));
    const auto outcome = replace_file(m_folder, identity_name, frame);
    return outcome == write_outcome::done ? absl::OkStatus()
                                          : unwritable(path(identity_name), outcome);
}

absl::Status replica_storage::recover()
{
    const auto names = list_files(m_folder, log_prefix);
    if (names.empty()) {
        return damaged(path(log_name(1)), 0, "it is gone and the identity is not");
    }
    for (const auto& name : names) {
        if (auto status = load_log(name, name == names.back()); !status.ok()) {
            return status;
        }
    }
    if (auto status = load_snapshot(); !status.ok()) {
        return status;
    }
    for (const auto& name : names) {
        if (name != names.back()) {
            std::filesystem::remove(path(name));
        }
    }
    auto opened = open_for_append(path(names.back()));
    if (!opened.ok()) {
        return opened.status();
    }
    m_log = *std::move(opened);
    if (m_cut_bytes > 0 && cut_and_sync(m_log, m_log_bytes) != write_outcome::done) {
        return unwritable(path(names.back()), write_outcome::broken);
    }
    return is_behind_snapshot(m_held) ? begin_after_snapshot() : absl::OkStatus();
}

absl::Status replica_storage::begin_after_snapshot()
{
    m_held.m_log_base = m_held.m_snapshot->m_position;
    m_held.m_entries.clear();
    const auto outcome = begin_log(m_number + 1, m_held);
    return outcome == write_outcome::done ? absl::OkStatus()
                                          : unwritable(path(log_name(m_number + 1)), outcome);
}

absl::Status replica_storage::load_log(const std::string& name, bool is_newest)
{
    const auto bytes = read_file(path(name));
    if (!bytes.ok()) {
        return bytes.status();
    }
    const auto number = to_number(std::string_view(name).substr(log_prefix.size()));
    if (!number) {
        return damaged(path(name), 0, "its name has no number");
    }
    m_number = *number;
    const auto found = read_frames(*bytes);
    const bool is_torn = found.m_end == frames_end::torn && is_newest;
    if (found.m_payloads.empty() || (found.m_end != frames_end::clean && !is_torn)) {
        return damaged(path(name), found.m_good_bytes, "the checksum is wrong in synced data");
    }
    for (const auto payload : found.m_payloads) {
        if (!replay(m_held, payload)) {
            const auto offset = static_cast<std::size_t>(payload.data() - bytes->data());
            return damaged(path(name), offset, "not a record of the log");
        }
    }
    m_log_bytes = found.m_good_bytes;
    m_cut_bytes = bytes->size() - found.m_good_bytes;
    return absl::OkStatus();
}

absl::Status replica_storage::load_snapshot()
{
    const auto bytes = read_file(path(snapshot_name));
    if (bytes.status().code() == absl::StatusCode::kNotFound) {
        return m_held.m_log_base.m_index == 0
                   ? absl::OkStatus()
                   : damaged(path(snapshot_name), 0, "it is gone and the log builds on it");
    }
    if (!bytes.ok()) {
        return bytes.status();
    }
    const auto found = read_frames(*bytes);
    wire::LogSnapshot taken;
    const bool is_good = found.m_payloads.size() == 1 && found.m_end == frames_end::clean &&
                         taken.ParseFromArray(found.m_payloads.front().data(),
                                              static_cast<int>(found.m_payloads.front().size()));
    if (!is_good || taken.index() < m_held.m_log_base.m_index) {
        return damaged(path(snapshot_name), 0, "not a whole snapshot");
    }
    m_held.m_snapshot = std::make_shared<consensus::snapshot>(control::from_wire(taken));
    return absl::OkStatus();
}

group_result replica_storage::write(std::span<const consensus::writes> batches)
{
    group_result result;
    while (result.m_done < batches.size() && result.m_outcome == write_outcome::done) {
        const auto rest = batches.subspan(result.m_done);
        const auto place = std::find_if(
            rest.begin(), rest.end(),
            [](const consensus::writes& batch) { return batch.m_snapshot != nullptr; });
        const auto plain = static_cast<std::size_t>(place - rest.begin());
        result.m_outcome =
            plain > 0 ? write_frame(rest.first(plain)) : write_snapshot(rest.front());
        if (result.m_outcome == write_outcome::done) {
            result.m_done += plain > 0 ? plain : 1;
        }
    }
    m_is_broken = m_is_broken || result.m_outcome == write_outcome::broken;
    return result;
}

write_outcome replica_storage::write_frame(std::span<const consensus::writes> batches)
{
    if (m_is_broken) {
        return write_outcome::broken;
    }
    wire::LogFrame frame;
    for (const auto& batch : batches) {
        add_batch(frame, batch);
    }
    const auto bytes = make_frame(frame.SerializeAsString());
    const auto outcome = append_and_sync(m_log, m_log_bytes, bytes);
    if (outcome == write_outcome::done) {
        m_log_bytes += bytes.size();
        for (const auto& batch : batches) {
            consensus::apply(m_held, batch);
        }
    }
    return outcome;
}

write_outcome replica_storage::write_snapshot(const consensus::writes& batch)
{
    if (m_is_broken) {
        return write_outcome::broken;
    }
    auto next = m_held;
    consensus::apply(next, batch);
    const auto bytes = make_frame(control::to_wire(*batch.m_snapshot).SerializeAsString());
    auto outcome = replace_file(m_folder, snapshot_name, bytes);
    if (outcome == write_outcome::done) {
        outcome = begin_log(m_number + 1, next);
    }
    if (outcome == write_outcome::done) {
        m_held = std::move(next);
    }
    return outcome;
}

write_outcome replica_storage::begin_log(std::uint64_t number,
                                         const consensus::recovered_state& from)
{
    const auto bytes = make_frame(first_frame(from).SerializeAsString());
    const auto outcome = replace_file(m_folder, log_name(number), bytes);
    if (outcome != write_outcome::done) {
        return outcome;
    }
    auto opened = open_for_append(path(log_name(number)));
    if (!opened.ok()) {
        return write_outcome::broken;
    }
    m_log = *std::move(opened);
    m_log_bytes = bytes.size();
    if (m_number != 0 && m_number != number) {
        std::filesystem::remove(path(log_name(m_number)));
    }
    m_number = number;
    return write_outcome::done;
}

}  // namespace dewbeam::storage
