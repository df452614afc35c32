/// \file
/// The burn report as one self-contained HTML page.
#pragma once

#include <string>

#include "dewbeam/burn"

namespace dewbeam::operators {

/// A page with inline styles and SVG plots; it loads nothing and runs no script.
std::string burn_page(const burn::report& burn);

}  // namespace dewbeam::operators
