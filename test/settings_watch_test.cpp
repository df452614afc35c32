// Changes of a settings file while its program runs.
#include "dewbeam/src/program/settings_watch.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace dewbeam::program {
namespace {

const std::vector<setting> schema{
    {"/name", setting_kind::name, "x", "A name."},
    {"/count", setting_kind::integer, 1, "A count.", 0, 10},
};

class settings_file : public testing::Test {
public:
    settings_file() { write(R"({"name": "a"})"); }
    ~settings_file() override { std::filesystem::remove(m_path); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    settings_file(settings_file&&) = delete;
    settings_file& operator=(settings_file&&) = delete;

    void write(const std::string& content) const { std::ofstream(m_path) << content; }
    [[nodiscard]] settings_watch watch() const
    {
        return {{m_path, schema}, load_settings(schema, m_path).value()};
    }

    std::string m_path = testing::TempDir() + "settings-" + std::to_string(::getpid()) + ".json";
};

TEST_F(settings_file, a_change_is_taken_once_it_has_settled)
{
    auto subject = watch();
    EXPECT_FALSE(subject.look(false));
    write(R"({"name": "b"})");
    EXPECT_FALSE(subject.look(false)) << "it may not be written whole";
    const auto fresh = subject.look(false);
    ASSERT_TRUE(fresh && fresh->ok());
    EXPECT_EQ((**fresh)["name"], "b");
    EXPECT_EQ((**fresh)["count"], 1);
    EXPECT_FALSE(subject.look(false));
}

TEST_F(settings_file, a_change_between_the_start_and_the_first_look_is_taken)
{
    auto subject = watch();
    write(R"({"name": "b"})");
    EXPECT_FALSE(subject.look(false));
    EXPECT_TRUE(subject.look(false));
}

TEST_F(settings_file, a_signal_has_a_change_taken_at_once)
{
    auto subject = watch();
    write(R"({"name": "b"})");
    EXPECT_TRUE(subject.look(true));
    EXPECT_FALSE(subject.look(true)) << "nothing has changed since";
}

TEST_F(settings_file, invalid_settings_are_refused_once_and_change_nothing)
{
    auto subject = watch();
    write(R"({"count": 11})");
    const auto refused = subject.look(true);
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->ok());
    EXPECT_NE(refused->status().message().find("/count"), std::string_view::npos);
    EXPECT_FALSE(subject.look(true));
    write(R"({"name": "a"})");
    EXPECT_FALSE(subject.look(true)) << "as they were";
    write(R"({"name": "c"})");
    EXPECT_TRUE(subject.look(true)->ok());
}

TEST_F(settings_file, a_file_that_is_missing_changes_nothing)
{
    auto subject = watch();
    std::filesystem::remove(m_path);
    EXPECT_FALSE(subject.look(true));
}

TEST_F(settings_file, a_pipe_is_not_read_again)
{
    auto subject = watch();
    std::filesystem::remove(m_path);
    ASSERT_EQ(::mkfifo(m_path.c_str(), 0600), 0);
    EXPECT_FALSE(subject.look(true));
}

TEST(changed_settings, names_the_paths_that_differ)
{
    EXPECT_EQ(
        changed_settings(schema, {{"name", "a"}, {"count", 1}}, {{"name", "a"}, {"count", 2}}),
        "/count");
    EXPECT_EQ(
        changed_settings(schema, {{"name", "a"}, {"count", 1}}, {{"name", "b"}, {"count", 2}}),
        "/name,/count");
}

}  // namespace
}  // namespace dewbeam::program
