/// \file
/// Text tables for people at a terminal.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/burn"
#include "dewbeam/configuration"
#include "dewbeam/src/operators/site_client.h"

namespace dewbeam::operators {

/// A table with a heading; each row has as many cells as the heading.
struct text_table {
    std::vector<std::string> m_heading;
    std::vector<std::vector<std::string>> m_rows;
};

/// Columns padded to their widest cell; control bytes are shown as `?`.
std::string render(const text_table& table);

/// A dry run, part by part; only parts with rows are shown.
std::string to_table(const configuration::plan_report& report);

/// The programs that answered, then the members that they know.
std::string to_table(const std::vector<status_reply>& replies);

/// Burn rates by window, alerts, and the entries that are missing.
std::string to_table(const burn::report& burn);

/// The configuration's items, a line each.
std::string to_table(const configuration_reply& reply);

/// The JSON form of the statuses.
nlohmann::json to_json(const std::vector<status_reply>& replies);

}  // namespace dewbeam::operators
