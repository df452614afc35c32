#include "dewbeam/src/http/body_frame.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace dewbeam::http {

namespace {

constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;

bool has_no_body(int status)
{
    return status < first_final_status || status == no_content || status == not_modified;
}

bool is_chunked(std::string_view codings)
{
    const absl::string_view text(codings.data(), codings.size());
    return absl::EndsWithIgnoreCase(absl::StripAsciiWhitespace(text), "chunked");
}

}  // namespace

const char* to_string(body_frame value)
{
    switch (value) {
        case body_frame::length:
            return "length";
        case body_frame::chunks:
            return "chunks";
        case body_frame::close:
            break;
    }
    return "close";
}

body_frame frame_of(int status, const fields& head)
{
    if (has_no_body(status)) {
        return body_frame::length;
    }
    const auto codings = find_field(head, "Transfer-Encoding");
    if (!codings.empty()) {
        return is_chunked(codings) ? body_frame::chunks : body_frame::close;
    }
    return find_field(head, "Content-Length").empty() ? body_frame::close : body_frame::length;
}

}  // namespace dewbeam::http
