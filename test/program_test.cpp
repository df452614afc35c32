// The frame of a program: how it stops.
#include "dewbeam/src/program/program.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <string>

namespace dewbeam::program {
namespace {

// A busy process comes late to its own ticks, while its threads go on to read requests.
TEST(program, a_stop_counts_from_its_signal_and_not_from_when_it_is_handled)
{
    // Any start installs the signal handlers. They keep the stop for the whole process, so that
    // this file can have no second case.
    std::string name = "program_test";
    std::string option = "--print-defaults";
    std::array words = {name.data(), option.data()};
    ASSERT_TRUE(start_program({"program_test", "Tests.", common_settings()},
                              static_cast<int>(words.size()), words.data())
                    .m_must_exit);
    constexpr std::chrono::milliseconds notice{20};
    program frame({{"threads", 1}, {"stop", {{"notice_ms", notice.count()}, {"drain_ms", 0}}}});
    bool is_signalled = false;
    bool takes_before = false;
    bool takes_behind = true;
    program_hooks hooks;
    hooks.m_is_ready = [] { return true; };
    hooks.m_in_flight = [] { return std::size_t{0}; };
    hooks.m_announce_leave = [] {};
    hooks.m_stop_accepting = [] {};
    hooks.m_tick = [&](time_point time) {
        if (is_signalled) {
            return;
        }
        is_signalled = true;
        std::raise(SIGTERM);
        takes_before = frame.takes_requests(time);
        takes_behind = frame.takes_requests(now() + notice);
    };
    EXPECT_EQ(frame.run(hooks), 0);
    EXPECT_TRUE(takes_before);
    EXPECT_FALSE(takes_behind);
}

}  // namespace
}  // namespace dewbeam::program
