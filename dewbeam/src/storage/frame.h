/// \file
/// Frames: length-prefixed, checksummed pieces of a file that is only appended to.
///
/// One frame holds what one sync makes durable, so that a crash can damage the last frame alone.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dewbeam::storage {

/// A frame around `payload`.
std::string make_frame(std::string_view payload);

/// How a file of frames ends.
enum class frames_end {
    clean,
    torn,     ///< the last frame was never synced whole: cut it
    corrupt,  ///< a damaged frame stands before a good one: synced data was lost
};

/// The frames of a file.
struct frames {
    std::vector<std::string_view> m_payloads;  ///< into the bytes that were read
    std::size_t m_good_bytes = 0;              ///< offset of the first byte that is no good frame
    frames_end m_end = frames_end::clean;
};

/// Reads frames up to the first that is not good. `bytes` must outlive the result.
frames read_frames(std::string_view bytes);

}  // namespace dewbeam::storage
