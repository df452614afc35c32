/// \file
/// The command line of `dewbeamctl`.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "dewbeam/src/operators/site_client.h"

namespace dewbeam::operators {

/// What the operator asks for.
enum class command_kind { help, version, get, status, plan, apply, drain, burn, keys, token_hash };

/// How results are written.
enum class output_form { table, json };

/// A command line, checked.
struct command_line {
    command_kind m_command = command_kind::help;
    site m_site;
    output_form m_output = output_form::table;
    std::string m_file;                   ///< of plan and apply; `-` is the standard input
    bool m_replaces = false;              ///< the file is a whole document, not a patch
    std::string m_change_id;              ///< empty: a new one
    std::optional<std::uint64_t> m_base;  ///< of apply; empty: the number in force
    std::string m_selector;               ///< of drain
    bool m_undoes = false;                ///< of drain
    std::string m_html_file;              ///< of burn; empty: no page
};

/// The text of `--help`.
const std::string& usage();

/// Reads the arguments without the program's name, then the environment (`DEWBEAM_CONTROL`,
/// `DEWBEAM_ENTRY`), then the settings file; the first that names an address wins.
absl::StatusOr<command_line> parse_command_line(const std::vector<std::string>& arguments);

}  // namespace dewbeam::operators
