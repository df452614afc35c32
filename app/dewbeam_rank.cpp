// dewbeam-rank: keeps the expert map of a lock-step group even, from beside one of its ranks.
#include "dewbeam/ranks"
#include "platform/formats.h"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = ranks::rank_schema();
    const auto started = program::start_program(
        {"dewbeam-rank", "Keeps the expert map of a lock-step group even.", schema}, argc, argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    ranks::rank_server server(frame, started.m_settings, platform::rank_format());
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
