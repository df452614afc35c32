/// \file
/// Checks of text from outside the process.
#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string_view>

namespace dewbeam {

/// Length of the names that hosts, upstreams, services and the like may have.
inline constexpr std::size_t max_name_bytes = 256;

/// Whether the bytes are UTF-8 (RFC 3629).
bool is_utf8(std::string_view bytes);

/// OK for at most `max_name_bytes` of UTF-8 without control characters; an empty name is allowed.
/// Otherwise `InvalidArgument`, which begins with `what`, the place of the name.
absl::Status check_name(std::string_view what, std::string_view name);

}  // namespace dewbeam
