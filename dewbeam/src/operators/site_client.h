/// \file
/// The deployment as an operator's tool sees it: its controls and entries over HTTP.
#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam/burn"
#include "dewbeam/configuration"
#include "dewbeam/src/operators/http_client.h"

namespace dewbeam::operators {

/// Where the deployment answers.
struct site {
    std::vector<endpoint> m_controls;
    std::vector<endpoint> m_entries;
    std::string m_authority_file;  ///< PEM of the trusted authority; empty: no TLS
    time_span m_time_limit = std::chrono::seconds(5);  ///< for one command's requests together
};

/// The configuration in force.
struct configuration_reply {
    std::uint64_t m_number = 0;
    configuration_version m_version;
    nlohmann::json m_document;
};

/// How a submitted change ended.
enum class submission_status {
    accepted,
    conflict,   ///< another change took the number
    invalid,    ///< the document would be wrong
    refused,    ///< the control doesn't take it, e.g. for want of a token
    no_quorum,  ///< no control could commit it in time
    unknown,    ///< a control may have accepted it, but no answer came; resend the same id
};

/// The answer to a submitted change.
struct submission {
    submission_status m_status = submission_status::unknown;
    std::uint64_t m_number = 0;
    std::string m_winner;   ///< of a conflict
    mistakes m_mistakes;    ///< of an invalid change
    std::string m_message;  ///< of the other failures
};

/// One program's status, or why it could not be asked.
struct status_reply {
    endpoint m_address;
    absl::StatusOr<nlohmann::json> m_status;
};

/// One member as the answering programs see it.
struct member_view {
    std::string m_host;
    std::string m_role;
    std::string m_failure_domain;
    std::string m_http_address;
    std::string m_upstream;
    configuration::label_set m_labels;
    std::vector<model_id> m_models;
    std::uint64_t m_slots = 0;
    std::uint64_t m_incarnation = 0;
    bool m_leaving = false;
    bool m_suspect = false;
    bool m_dead = false;
    configuration_version m_configuration;
    std::size_t m_seen_by = 0;  ///< answering programs that hold it for alive
};

/// The configuration from the first control that answers.
absl::StatusOr<configuration_reply> get_configuration(const site& target);

/// Submits a change and resends it under the same id to the next control after each lost answer,
/// until the site's time limit.
submission submit(const site& target, const configuration::change& wanted);

/// The status of each control and entry that the site names.
std::vector<status_reply> get_statuses(const site& target);

/// The members of all the answers, by host; of one host the newest incarnation.
std::vector<member_view> merge_members(const std::vector<status_reply>& replies);

/// The upstreams behind the agents that are not dead.
std::vector<configuration::announced_upstream> upstreams_of(
    const std::vector<member_view>& members);

/// The merged burn of every entry that the site names or its members know, at `now` since the
/// Unix epoch. An entry that doesn't answer with sound counts is named as missing.
absl::StatusOr<burn::report> get_burn(const site& target, time_point now);

}  // namespace dewbeam::operators
