/// \file
/// Which registry a follower asks for the newest document, and when.
///
/// Documents can be large, and all followers request a new one at the same time. A follower has one
/// request outstanding at a time and asks another registry only after a timeout or a lost
/// connection, because duplicate transfers would compete with the first one for bandwidth. Each
/// follower has its own order of preference, which distributes the load over the registries: the
/// leader announces a new document first, so otherwise all followers would ask the leader.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::registrar {

/// All registries apply a document within one heartbeat interval of the log, so the preferred one
/// normally has it by then.
inline constexpr time_span preferred_wait = std::chrono::milliseconds(150);

/// A registry that answered recently.
struct document_source {
    std::string m_address;
    bool m_has_newer = false;  ///< holds a newer document than the follower
};

/// State of a follower's request for the newest document.
struct document_fetch {
    std::string m_requested_from;    ///< address of the registry asked; empty: none outstanding
    time_point m_answer_deadline{};  ///< another registry is asked from then on
    std::uint32_t m_unanswered = 0;  ///< requests timed out since the last answer
    time_point m_any_source_from =
        no_deadline;            ///< until then only the preferred registry is asked
    time_point m_not_before{};  ///< earliest time of the next request
};

/// Returns the address of the registry to ask now and records the request in `state`; empty if no
/// request is due.
/// \param sources in a fixed order, for instance by address
/// \param seed determines this follower's order of preference
/// \param skip_preferred_wait whether to ask any registry without waiting for the preferred one
std::string next_request(document_fetch& state, const std::vector<document_source>& sources,
                         std::uint64_t seed, bool skip_preferred_wait, time_point now);

/// Records that a document arrived from `address`; the next one is requested at `not_before` at the
/// earliest.
void note_answer(document_fetch& state, const std::string& address, time_point not_before);

/// Records that the connection to `address` was lost, so that a request to it is not waited for.
void record_disconnect(document_fetch& state, const std::string& address);

}  // namespace dewbeam::registrar
