/// \file
/// How the answer of an attempt ended, as logs and metrics tell it.
#pragma once

#include <cstddef>

#include "dewbeam/http"

namespace dewbeam::gateway {

/// What became of the connection that carried an answer.
enum class connection_end {
    complete,  ///< it carried as much as its frame asks for
    closed,    ///< it ended, and with it an answer that has no other end
    broken,    ///< it ended or was reset before the answer's end
    given_up,  ///< nothing came for too long, or the attempt was cancelled
    not_made,  ///< no request was sent on it
};

/// The end of one answer.
struct answer_end {
    bool m_has_head = false;
    http::body_frame m_frame = http::body_frame::length;  ///< where there is a head
    connection_end m_connection = connection_end::given_up;
    bool m_is_stream = false;
    std::size_t m_unfinished_bytes = 0;  ///< of a stream: behind its last whole event
};

/// Field term of the frame for logs and metrics; `none` without a head.
const char* frame_name(const answer_end& value);

/// Field term for logs and metrics.
const char* to_string(connection_end value);

/// Where an answer stood as it ended: `body`, `between_events` or `inside_event`.
const char* place_name(const answer_end& value);

/// How a connection ended, by an exchange's result.
connection_end connection_end_of(const absl::Status& result, http::progress how_far,
                                 http::body_frame frame);

}  // namespace dewbeam::gateway
