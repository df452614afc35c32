/// \file
/// Compression of text in zlib format.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

namespace dewbeam {

/// Compresses `text`, optionally with a preset dictionary, which the reader needs as well.
/// \param level 1 (fastest) to 9 (smallest)
std::string deflate_text(const std::string& text, int level,
                         const std::string* dictionary = nullptr);

/// Decompresses the output of `deflate_text`. Returns an error if the data is corrupt, was
/// compressed with a different dictionary or expands to more than `max_size` bytes.
absl::StatusOr<std::string> inflate_text(const std::string& packed, std::size_t max_size,
                                         const std::string* dictionary = nullptr);

}  // namespace dewbeam
