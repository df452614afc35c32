// dewbeam-entry: takes requests and brings each to an upstream that can serve it.
#include "dewbeam/entry"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = entry::entry_schema();
    const auto started = program::start_program(
        {"dewbeam-entry", "Brings requests to upstreams that can serve them.", schema}, argc, argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    entry::entry_server server(frame, started.m_settings);
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
