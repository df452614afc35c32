/// \file
/// JSON text from outside the process, and JSON text that holds bytes from outside.
///
/// Values are copied, compared and written by recursion. A value that nests without bound would
/// exhaust the stack, so that it must not be built.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dewbeam {

/// Nesting that is read where a caller of `parse_json` doesn't say otherwise.
inline constexpr std::size_t max_json_depth = 32;

/// Bytes of a refused value that an error shows.
inline constexpr std::size_t max_excerpt_bytes = 60;

/// Parses one JSON document. `InvalidArgument` where the text isn't JSON in UTF-8, `OutOfRange`
/// where it nests deeper than `max_depth`.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text,
                                          std::size_t max_depth = max_json_depth);

/// The beginning of a value's JSON text, for error messages: valid UTF-8 of at most `max_bytes`,
/// with "..." behind it if there is more. Takes time and memory in proportion to `max_bytes`.
std::string excerpt(const nlohmann::json& value, std::size_t max_bytes = max_excerpt_bytes);

/// The same of plain text, in quotes.
std::string excerpt_text(std::string_view text, std::size_t max_bytes = max_excerpt_bytes);

/// JSON text of a value. Bytes that aren't UTF-8 become U+FFFD.
std::string write_json(const nlohmann::json& value);

}  // namespace dewbeam
