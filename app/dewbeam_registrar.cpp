// dewbeam-registrar: keeps announced upstreams and the operator's revisions.
#include "dewbeam/registrar"
#include "platform/formats.h"

int main(int argc, char** argv)
{
    using namespace dewbeam;
    const auto schema = registrar::registrar_schema();
    const auto started = program::start_program(
        {"dewbeam-registrar", "Keeps announced upstreams and the operator's revisions.", schema},
        argc, argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    program::program frame(started.m_settings, started.m_source);
    registrar::registrar_server server(frame, started.m_settings, platform::control_format());
    const auto status = server.start();
    if (!status.ok()) {
        return program::fail_start(status);
    }
    return frame.run(server.hooks());
}
