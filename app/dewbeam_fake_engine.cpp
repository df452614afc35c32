// dewbeam-fake-engine: stand-in of a model engine or a plain service; for tests and demos only.
#include "dewbeam/fake_engine"
#include "dewbeam/program"

namespace {

using namespace dewbeam;

std::vector<setting> make_schema()
{
    constexpr std::int64_t most_us = 10'000'000;
    auto schema = program::common_settings();
    const std::vector<setting> own{
        {"/listen", setting_kind::address, "127.0.0.1:0", "Address of the stand-in."},
        {"/models", setting_kind::names, nlohmann::json::array(),
         "Models that it serves; none: a plain service."},
        {"/slots", setting_kind::integer, 8, "Requests that run at once.", 1, 100'000},
        {"/step_us", setting_kind::integer, 5000, "Time of one step (us).", 100, most_us},
        {"/prefill_us_per_token", setting_kind::integer, 10, "Prefill time (us a token).", 0,
         most_us},
        {"/kv_tokens", setting_kind::integer, 100'000, "KV cache (tokens).", 1},
        {"/service_us", setting_kind::integer, 0, "Time of one call of a plain service (us).", 0,
         60'000'000},
        {"/group_incarnation", setting_kind::integer, 1,
         "Incarnation of the lock-step group that it is a rank of.", 1},
        {"/checks_fencing", setting_kind::boolean, true,
         "Whether it refuses an order with an old fencing number."},
        {"/can_hold", setting_kind::boolean, true, "Whether it can hold at a step."},
        {"/experts/experts", setting_kind::integer, 0,
         "Experts of each layer; 0: it says nothing of experts.", 0, 4096},
        {"/experts/layers", setting_kind::integer, 1, "Layers with experts.", 1, 1024},
        {"/experts/slots_per_rank", setting_kind::integer, 1, "Experts that a rank holds a layer.",
         1, 4096},
        {"/experts/tokens_per_step", setting_kind::integer, 4096,
         "Tokens of the whole group in a step.", 0, 10'000'000},
        {"/experts/skew_percent", setting_kind::integer, 0,
         "Exponent of the power law of the tokens of experts (hundredths); 0: all the same.", 0,
         1000},
        {"/crash_marker", setting_kind::text, "", "A prompt with this text ends the process."},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

fake_engine::expert_options read_experts(const nlohmann::json& settings)
{
    constexpr double hundredth = 0.01;
    fake_engine::expert_options options;
    options.m_experts = setting_value<std::uint32_t>(settings, "/experts/experts");
    options.m_layers = setting_value<std::uint32_t>(settings, "/experts/layers");
    options.m_slots_per_rank = setting_value<std::uint32_t>(settings, "/experts/slots_per_rank");
    options.m_tokens_per_step = setting_value<double>(settings, "/experts/tokens_per_step");
    options.m_skew = hundredth * setting_value<double>(settings, "/experts/skew_percent");
    return options;
}

fake_engine::engine_options read_options(const nlohmann::json& settings)
{
    fake_engine::engine_options options;
    options.m_host = setting_value<std::string>(settings, "/host");
    options.m_models = setting_value<std::vector<std::string>>(settings, "/models");
    options.m_slots = setting_value<std::uint32_t>(settings, "/slots");
    options.m_step = time_span(setting_value<std::int64_t>(settings, "/step_us"));
    options.m_prefill_per_token =
        time_span(setting_value<std::int64_t>(settings, "/prefill_us_per_token"));
    options.m_kv_tokens = setting_value<std::uint64_t>(settings, "/kv_tokens");
    options.m_service_time = time_span(setting_value<std::int64_t>(settings, "/service_us"));
    options.m_crash_marker = setting_value<std::string>(settings, "/crash_marker");
    options.m_group = incarnation(setting_value<std::uint64_t>(settings, "/group_incarnation"));
    options.m_checks_fencing = setting_value<bool>(settings, "/checks_fencing");
    options.m_can_hold = setting_value<bool>(settings, "/can_hold");
    options.m_experts = read_experts(settings);
    return options;
}

std::string plain_error(int /*status*/, std::string_view code, std::string_view message)
{
    return nlohmann::json{{"error", {{"code", code}, {"message", message}}}}.dump();
}

}  // namespace

int main(int argc, char** argv)
{
    const auto schema = make_schema();
    const auto started = program::start_program(
        {"dewbeam-fake-engine", "Stand-in of a model engine or a plain service; for tests only.",
         schema},
        argc, argv);
    if (started.m_must_exit) {
        return started.m_exit_code;
    }
    const auto& settings = started.m_settings;
    program::program frame(settings);
    fake_engine::engine engine(frame.context(), read_options(settings));
    http::server_options options;
    options.m_listen = parse_endpoint(setting_value<std::string>(settings, "/listen")).value();
    auto server = http::server::start(
        frame.context(), options,
        [&](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
            engine.handle(std::move(request), answer);
        },
        plain_error);
    if (!server.ok()) {
        return program::fail_start(server.status());
    }
    program::write_address_file(settings, to_string((*server)->address()));
    program::program_hooks hooks;
    hooks.m_is_ready = [] { return true; };
    hooks.m_in_flight = [&] { return engine.in_flight() + (*server)->unanswered(); };
    hooks.m_announce_leave = [&] { (*server)->wind_down(); };
    hooks.m_stop_accepting = [&] { (*server)->stop_accepting(); };
    hooks.m_tick = [](time_point) {};
    return frame.run(hooks);
}
