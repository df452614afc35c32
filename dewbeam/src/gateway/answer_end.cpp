#include "dewbeam/src/gateway/answer_end.h"

namespace dewbeam::gateway {

const char* frame_name(const answer_end& value)
{
    return value.m_has_head ? http::to_string(value.m_frame) : "none";
}

const char* to_string(connection_end value)
{
    switch (value) {
        case connection_end::complete:
            return "complete";
        case connection_end::closed:
            return "closed";
        case connection_end::broken:
            return "broken";
        case connection_end::given_up:
            return "given_up";
        case connection_end::not_made:
            break;
    }
    return "not_made";
}

const char* place_name(const answer_end& value)
{
    if (!value.m_is_stream) {
        return "body";
    }
    return value.m_unfinished_bytes > 0 ? "inside_event" : "between_events";
}

connection_end connection_end_of(const absl::Status& result, http::progress how_far,
                                 http::body_frame frame)
{
    if (result.ok()) {
        return frame == http::body_frame::close ? connection_end::closed : connection_end::complete;
    }
    if (how_far == http::progress::not_sent) {
        return connection_end::not_made;
    }
    return absl::IsUnavailable(result) ? connection_end::broken : connection_end::given_up;
}

}  // namespace dewbeam::gateway
