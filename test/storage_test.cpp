// The log on a disk: what a crash, a full disk or a damaged file leaves.
#include "dewbeam/storage"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace dewbeam::storage {
namespace {

namespace fs = std::filesystem;
using consensus::disk_id;
using consensus::entry_kind;
using consensus::writes;

class storage : public testing::Test {
protected:
    void SetUp() override
    {
        auto pattern = (fs::temp_directory_path() / "dewbeam-storage-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
    }
    void TearDown() override { fs::remove_all(m_folder); }

    [[nodiscard]] std::unique_ptr<replica_storage> open() const
    {
        auto opened = replica_storage::open(m_folder, disk_id(7));
        EXPECT_TRUE(opened.ok()) << opened.status();
        return opened.ok() ? *std::move(opened) : nullptr;
    }
    [[nodiscard]] absl::Status open_error() const
    {
        return replica_storage::open(m_folder, disk_id(8)).status();
    }
    [[nodiscard]] std::string newest_log() const
    {
        return m_folder + "/" + list_files(m_folder, "log-").back();
    }
    /// Writes `count` batches of one entry, each synced; gives the log's size after each.
    static std::vector<std::size_t> write_entries(replica_storage& to, std::uint64_t first,
                                                  std::uint64_t count, const std::string& file)
    {
        std::vector<std::size_t> sizes;
        for (auto index = first; index < first + count; ++index) {
            EXPECT_EQ(to.write(std::vector{entry_batch(index)}).m_outcome, write_outcome::done);
            sizes.push_back(fs::file_size(file));
        }
        return sizes;
    }
    static writes entry_batch(std::uint64_t index, std::uint64_t term = 1)
    {
        writes made;
        made.m_entries = {{{term, index}, entry_kind::command, "c" + std::to_string(index), {}}};
        made.m_hard_state = consensus::hard_state{
            term, consensus::identity{consensus::replica_id(index), disk_id(2)}, 0, log_id(77)};
        return made;
    }
    static writes snapshot_batch(std::uint64_t index, std::uint64_t base, bool resets,
                                 std::string state = "state")
    {
        writes made;
        auto taken = std::make_shared<consensus::snapshot>();
        taken->m_position = {1, index};
        taken->m_state = std::move(state);
        made.m_snapshot = taken;
        made.m_resets_log = resets;
        made.m_log_base = {1, base};
        return made;
    }
    static void overwrite(const std::string& file, std::size_t offset, char by)
    {
        std::fstream out(file, std::ios::in | std::ios::out | std::ios::binary);
        out.seekp(static_cast<std::streamoff>(offset));
        out.put(by);
    }

    std::string m_folder;
};

TEST_F(storage, what_was_synced_comes_back_under_the_same_identity)
{
    auto first = open();
    write_entries(*first, 1, 5, newest_log());
    writes cut;
    cut.m_truncate_from = 4;
    EXPECT_EQ(first->write(std::vector{cut, entry_batch(4, 2)}).m_done, 2U);
    const auto held = first->held();
    EXPECT_FALSE(replica_storage::open(m_folder, disk_id(8)).ok()) << "a second process";
    first.reset();
    const auto again = open();
    EXPECT_EQ(again->disk(), disk_id(7));
    EXPECT_EQ(again->held().m_entries, held.m_entries);
    EXPECT_EQ(again->held().m_entries.size(), 4U);
    EXPECT_EQ(again->held().m_hard, held.m_hard);
}

TEST_F(storage, a_tail_torn_at_any_byte_is_cut)
{
    auto first = open();
    const auto sizes = write_entries(*first, 1, 3, newest_log());
    first.reset();
    const auto whole = *read_file(newest_log());
    for (auto size = sizes[1]; size < sizes[2]; ++size) {
        std::ofstream(newest_log(), std::ios::binary) << whole.substr(0, size);
        auto again = open();
        ASSERT_TRUE(again);
        EXPECT_EQ(again->held().m_entries.size(), 2U);
        EXPECT_EQ(again->cut_bytes(), size - sizes[1]);
        EXPECT_EQ(fs::file_size(newest_log()), sizes[1]);
        write_entries(*again, 3, 1, newest_log());
        again.reset();
        EXPECT_EQ(open()->held().m_entries.size(), 3U) << size;
    }
}

TEST_F(storage, a_corrupt_middle_is_refused_by_file_and_offset)
{
    auto first = open();
    const auto sizes = write_entries(*first, 1, 3, newest_log());
    first.reset();
    for (auto offset = sizes[0]; offset < sizes[1]; ++offset) {
        const auto good = (*read_file(newest_log()))[offset];
        overwrite(newest_log(), offset, static_cast<char>(~good));
        const auto error = open_error();
        EXPECT_EQ(error.code(), absl::StatusCode::kDataLoss);
        EXPECT_NE(error.message().find(newest_log() + " is damaged at offset " +
                                       std::to_string(sizes[0])),
                  std::string::npos)
            << error;
        overwrite(newest_log(), offset, good);
    }
    EXPECT_TRUE(open());
}

TEST_F(storage, a_snapshot_starts_the_log_anew)
{
    auto first = open();
    write_entries(*first, 1, 9, newest_log());
    EXPECT_EQ(first->write(std::vector{snapshot_batch(8, 6, false), entry_batch(10)}).m_done, 2U);
    first.reset();
    const auto again = open();
    EXPECT_EQ(again->held().m_snapshot->m_state, "state");
    EXPECT_EQ(again->held().m_entries.front().m_position.m_index, 7U);
    EXPECT_EQ(again->held().m_entries.back().m_position.m_index, 10U);
    EXPECT_EQ(list_files(m_folder, "log-").size(), 1U);
}

TEST_F(storage, a_crash_between_snapshot_and_log_is_mended)
{
    auto first = open();
    write_entries(*first, 1, 3, newest_log());
    const auto old_log = newest_log();
    const auto old_bytes = *read_file(old_log);
    EXPECT_EQ(first->write(std::vector{snapshot_batch(20, 20, true)}).m_done, 1U);
    first.reset();
    fs::remove(newest_log());
    std::ofstream(old_log, std::ios::binary) << old_bytes;
    auto again = open();
    EXPECT_TRUE(again->held().m_entries.empty());
    write_entries(*again, 21, 1, newest_log());
    again.reset();
    EXPECT_EQ(open()->held().m_entries.size(), 1U);
}

TEST_F(storage, a_log_or_snapshot_that_is_gone_is_refused)
{
    auto first = open();
    write_entries(*first, 1, 3, newest_log());
    first->write(std::vector{snapshot_batch(3, 3, false)});
    first.reset();
    fs::rename(m_folder + "/snapshot", m_folder + "/away");
    EXPECT_EQ(open_error().code(), absl::StatusCode::kDataLoss);
    fs::rename(m_folder + "/away", m_folder + "/snapshot");
    fs::remove(newest_log());
    EXPECT_EQ(open_error().code(), absl::StatusCode::kDataLoss) << "else a blank disk could vote";
}

/// A limit on the size of files stands for a full disk: the same call fails in the same place.
class full_disk {
public:
    explicit full_disk(std::size_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_before);
        const rlimit less{bytes, m_before.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &less);
    }
    ~full_disk() { ::setrlimit(RLIMIT_FSIZE, &m_before); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;
    full_disk(full_disk&&) = delete;
    full_disk& operator=(full_disk&&) = delete;

private:
    rlimit m_before{};
};

TEST_F(storage, a_full_disk_is_an_outcome_and_ends)
{
    auto first = open();
    const auto sizes = write_entries(*first, 1, 3, newest_log());
    {
        const full_disk limit(sizes.back() + 10);  // a part of the frame still fits
        const auto result = first->write(std::vector{entry_batch(4), entry_batch(5)});
        EXPECT_EQ(result.m_outcome, write_outcome::full);
        EXPECT_EQ(result.m_done, 0U);
        const auto large = snapshot_batch(3, 3, false, std::string(1000, 's'));
        EXPECT_EQ(first->write(std::vector{large}).m_outcome, write_outcome::full);
        EXPECT_EQ(first->held().m_entries.size(), 3U);
        EXPECT_EQ(fs::file_size(newest_log()), sizes.back());
    }
    EXPECT_EQ(first->write(std::vector{entry_batch(4), entry_batch(5)}).m_done, 2U);
    first.reset();
    EXPECT_EQ(open()->held().m_entries.size(), 5U);
}

RC_GTEST_FIXTURE_PROP(storage, any_bytes_in_any_file_never_crash,
                      (std::string bytes, std::uint64_t seed))
{
    random_engine random(seed);
    auto first = open();
    write_entries(*first, 1, 3, newest_log());
    first->write(std::vector{snapshot_batch(3, 2, false), entry_batch(4)});
    first.reset();
    for (const auto& name : {std::string("identity"), std::string("snapshot"),
                             fs::path(newest_log()).filename().string()}) {
        const auto file = m_folder + "/" + name;
        const auto good = *read_file(file);
        std::ofstream(file, std::ios::binary) << bytes;
        (void)open_error();
        std::ofstream(file, std::ios::binary) << make_frame(bytes);  // a right checksum
        (void)open_error();
        std::ofstream(file, std::ios::binary) << good;
        overwrite(file, uniform_below(random, good.size()), static_cast<char>(random()));
        (void)open_error();
        std::ofstream(file, std::ios::binary) << good;
    }
    RC_ASSERT(open() != nullptr);
}

}  // namespace
}  // namespace dewbeam::storage
