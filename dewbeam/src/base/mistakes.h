/// \file
/// Mistakes in input, collected so that all of them are reported at once.
#pragma once

#include <string>
#include <vector>

namespace dewbeam {

/// One mistake in a document.
struct mistake {
    std::string m_path;     ///< where, e.g. `/selectors/3/class`
    std::string m_value;    ///< what stands there
    std::string m_allowed;  ///< what is allowed instead

    friend bool operator==(const mistake&, const mistake&) = default;
};

/// All mistakes of one document; empty when it is right.
using mistakes = std::vector<mistake>;

/// One line for a person: path, value and what is allowed.
std::string to_string(const mistake& item);

/// One line a mistake, joined by newlines.
std::string to_string(const mistakes& items);

}  // namespace dewbeam
