/// \file
/// Selectors over labels: `a=b`, `a!=b`, `a in (x,y)`, `a notin (x,y)`, `a`, `!a`, joined by
/// commas.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/src/configuration/labels.h"

namespace dewbeam::configuration {

/// How a requirement looks at its key.
enum class requirement_kind { in, not_in, exists, not_exists };

/// One condition on one key. `a=b` is stored as `a in (b)`, `a!=b` as `a notin (b)`.
struct requirement {
    std::string m_key;
    requirement_kind m_kind = requirement_kind::exists;
    std::vector<std::string> m_values{};  ///< sorted, each once

    friend bool operator==(const requirement&, const requirement&) = default;
};

/// Conditions that must all hold; none at all matches everything.
struct selector {
    std::vector<requirement> m_requirements{};

    friend bool operator==(const selector&, const selector&) = default;
};

/// Parses a selector; the error names the byte where it went wrong and what is allowed there.
absl::StatusOr<selector> parse_selector(std::string_view text);

/// Whether `labels` meets every requirement. `notin` and `!=` hold for an absent key.
bool matches(const selector& conditions, const label_set& labels);

/// The selector's text; parsing it gives the same selector again.
std::string to_string(const selector& conditions);

}  // namespace dewbeam::configuration
