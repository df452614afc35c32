#include "dewbeam/src/http/body_frame.h"

#include <gtest/gtest.h>

namespace dewbeam::http {
namespace {

TEST(body_frame, a_body_without_length_or_chunks_ends_with_its_connection)
{
    EXPECT_EQ(frame_of(200, {}), body_frame::close);
    EXPECT_EQ(frame_of(200, {{"Connection", "close"}}), body_frame::close);
    EXPECT_EQ(frame_of(500, {{"Transfer-Encoding", "gzip"}}), body_frame::close);
}

TEST(body_frame, a_length_or_chunks_mark_the_end)
{
    EXPECT_EQ(frame_of(200, {{"content-length", "0"}}), body_frame::length);
    EXPECT_EQ(frame_of(200, {{"Transfer-Encoding", "Chunked "}}), body_frame::chunks);
    EXPECT_EQ(frame_of(200, {{"Transfer-Encoding", "gzip, chunked"}, {"Content-Length", "3"}}),
              body_frame::chunks);
}

TEST(body_frame, a_response_that_has_no_body_is_over_with_its_head)
{
    EXPECT_EQ(frame_of(204, {}), body_frame::length);
    EXPECT_EQ(frame_of(304, {}), body_frame::length);
    EXPECT_EQ(frame_of(100, {}), body_frame::length);
}

}  // namespace
}  // namespace dewbeam::http
