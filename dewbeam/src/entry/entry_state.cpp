#include "dewbeam/src/entry/entry_state.h"

#include <absl/strings/str_format.h>

#include <utility>

namespace dewbeam::entry {

namespace {

/// Retries that a new pool may send before it has earned any.
constexpr double initial_retries = 10.0;

dispatch::broker_options broker_options_of(const nlohmann::json& settings)
{
    dispatch::broker_options options;
    options.m_retries.m_initial = initial_retries;
    options.m_failure_domain =
        failure_domain_id(setting_value<std::string>(settings, "/failure_domain"));
    options.m_entry = host_id(setting_value<std::string>(settings, "/host"));
    options.m_most_queued = setting_value<std::size_t>(settings, "/limits/queued");
    return options;
}

caller::call_limits call_limits_of(const nlohmann::json& settings)
{
    caller::call_limits limits;
    limits.m_most_json_depth = setting_value<std::size_t>(settings, "/limits/json_depth");
    limits.m_most_output_tokens = setting_value<std::int64_t>(settings, "/limits/output_tokens");
    return limits;
}

/// Prefix of this process's ids that makes them distinct from those of all other entries.
incarnation id_scope(const entry_state& state)
{
    const auto host = stable_hash(setting_value<std::string>(state.m_settings, "/host"));
    return incarnation(combine_hash(host, state.m_incarnation.value()));
}

}  // namespace

entry_state::entry_state(program::program& frame, const nlohmann::json& settings,
                         std::function<void()> on_configuration)
    : m_frame(frame),
      m_settings(settings),
      m_incarnation(program::new_incarnation()),
      m_limits(call_limits_of(settings)),
      m_answer_budget(std::make_shared<replies::answer_budget>(
          setting_value<std::size_t>(settings, "/answers/most_buffered_bytes"))),
      m_burn(setting_value<std::string>(settings, "/burn_file")),
      m_configuration(program::link_addresses(settings, "/controls"), std::move(on_configuration)),
      m_claims(program::link_addresses(settings, "/controls")),
      m_pools(broker_options_of(settings))
{
}

attempt_id next_attempt_id(entry_state& state)
{
    return {id_scope(state), ++state.m_last_attempt};
}

std::string request_id_of(const entry_state& state, dispatch::ticket request)
{
    return absl::StrFormat("req-%x-%x", id_scope(state).value(), request.value());
}

}  // namespace dewbeam::entry
