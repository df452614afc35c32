// dewbeam-control: accepts configuration changes and spreads what was accepted.
#include "dewbeam/control"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = control::control_schema();
    const auto started = program::start_program(
        {"dewbeam-control", "Keeps the configuration of a dewbeam deployment.", schema}, argc,
        argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    control::control_server server(frame, started.m_settings);
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
