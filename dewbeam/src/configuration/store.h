/// \file
/// The configuration as a replicated state machine: numbered changes, applied in log order.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "dewbeam/src/configuration/document.h"

namespace dewbeam::configuration {

/// A change by an operator.
struct change {
    std::string m_id;          ///< chosen by the operator's tool; a resend carries the same
    std::uint64_t m_base = 0;  ///< number of the configuration that it builds on
    nlohmann::json m_patch;    ///< JSON merge patch (RFC 7386) of the document
};

/// How a change ended.
enum class change_status {
    accepted,  ///< now, or earlier under the same id
    conflict,  ///< another change took the number
    invalid,   ///< the document would be wrong
};

/// The answer to a change; the same for each resend.
struct change_result {
    change_status m_status = change_status::accepted;
    std::uint64_t m_number = 0;  ///< the configuration's number after it
    std::string m_winner;        ///< of a conflict: the id that took the number
    mistakes m_mistakes;         ///< of an invalid change
};

/// One accepted change, remembered for resends.
struct accepted_change {
    std::string m_id;
    std::uint64_t m_number = 0;
    std::uint64_t m_content = 0;  ///< hash of the patch
};

/// The state. `m_version` is the log position of the last accepted change.
struct store {
    std::uint64_t m_number = 0;
    configuration_version m_version;
    nlohmann::json m_source = nlohmann::json::object();
    std::deque<accepted_change> m_history;  ///< the newest last
};

/// Accepted changes that are remembered for resends: more than a week at 500 a day.
inline constexpr std::size_t most_remembered_changes = 4096;

/// Applies the change that stands at `position` of the log.
change_result apply(store& state, const change& wanted, configuration_version position);

/// JSON text of a change for the log, and back.
std::string encode(const change& wanted);
absl::StatusOr<change> decode_change(std::string_view text);

/// JSON text of the whole state for snapshots, and back.
std::string encode(const store& state);
absl::StatusOr<store> decode_store(std::string_view text);

}  // namespace dewbeam::configuration
