/// \file
/// Settings: a JSON file checked against a table of what each program knows.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/src/base/mistakes.h"

namespace dewbeam {

/// What a setting's value may look like.
enum class setting_kind {
    text,       ///< any string
    name,       ///< letters, digits, `.`, `_` and `-`; 1 to 63 characters
    integer,    ///< a whole number from `m_least` to `m_most`
    boolean,    ///< true or false
    number,     ///< any number from `m_least` to `m_most`
    address,    ///< `IP:PORT`; IPv6 in brackets; port 0 asks for a free one
    addresses,  ///< a list of addresses without duplicates
    names,      ///< a list of names without duplicates
    choice,     ///< one of `m_choices`
    file,       ///< a readable file, or empty for none
};

/// One row of a program's table of settings.
struct setting {
    std::string_view m_path;  ///< JSON pointer, e.g. `/http/listen`
    setting_kind m_kind = setting_kind::text;
    nlohmann::json m_default;  ///< null: the setting is required
    std::string_view m_help;   ///< one sentence with the unit
    std::int64_t m_least = 0;
    std::int64_t m_most = std::numeric_limits<std::int64_t>::max();
    std::vector<std::string> m_choices{};
};

/// All rows that one program knows.
using settings_schema = std::span<const setting>;

/// Every mistake in `document`: unknown keys, wrong kinds, ranges, duplicates, missing values.
mistakes check_settings(settings_schema schema, const nlohmann::json& document);

/// The document with the default of each setting that it leaves out.
nlohmann::json with_defaults(settings_schema schema, const nlohmann::json& document);

/// The defaults alone; required settings stand as null.
nlohmann::json default_settings(settings_schema schema);

/// A Markdown table of the settings, for the documents.
std::string describe_settings(settings_schema schema);

/// Reads, checks and completes a settings file; the error lists every mistake, one a line.
absl::StatusOr<nlohmann::json> load_settings(settings_schema schema, const std::string& file);

/// A checked value by its path.
template <class Value>
Value setting_value(const nlohmann::json& settings, std::string_view path)
{
    return settings.at(nlohmann::json::json_pointer(std::string(path))).get<Value>();
}

/// An IP address and a port.
struct endpoint {
    std::string m_ip;
    std::uint16_t m_port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses `IP:PORT`, with IPv6 in brackets.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// `IP:PORT`, with IPv6 in brackets.
std::string to_string(const endpoint& address);

}  // namespace dewbeam
