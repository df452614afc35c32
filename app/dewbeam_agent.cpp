// dewbeam-agent: the only gate to one upstream.
#include "dewbeam/agent"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = agent::agent_schema();
    const auto started = program::start_program(
        {"dewbeam-agent", "The gate before one engine or plain service.", schema}, argc, argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    agent::agent_server server(frame, started.m_settings);
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
