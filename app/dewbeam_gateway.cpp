// dewbeam-gateway: brings callers' requests to upstreams that announce themselves.
#include "dewbeam/gateway"
#include "platform/formats.h"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = gateway::gateway_schema();
    const auto started = program::start_program(
        {"dewbeam-gateway", "Brings requests to upstreams that announce themselves.", schema}, argc,
        argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    gateway::gateway_server server(frame, started.m_settings, platform::wire_format());
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
