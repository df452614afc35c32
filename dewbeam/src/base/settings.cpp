#include "dewbeam/src/base/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <set>

#include "dewbeam/src/base/json_text.h"

namespace dewbeam {

namespace {

using json = nlohmann::json;

constexpr std::size_t longest_name = 63;

json::json_pointer pointer(std::string_view path)
{
    return json::json_pointer(std::string(path));
}

bool is_name(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(), allowed);
}

std::string range_text(const setting& row)
{
    const std::string kind = row.m_kind == setting_kind::integer ? "a whole number" : "a number";
    return kind + " from " + std::to_string(row.m_least) + " to " + std::to_string(row.m_most);
}

std::string choices_text(const setting& row)
{
    std::string text = "one of";
    for (const auto& choice : row.m_choices) {
        text += ' ' + choice;
    }
    return text;
}

std::string allowed_text(const setting& row)
{
    switch (row.m_kind) {
        case setting_kind::text:
            return "a string";
        case setting_kind::name:
            return "a name of 1 to 63 letters, digits, '.', '_' or '-'";
        case setting_kind::integer:
        case setting_kind::number:
            return range_text(row);
        case setting_kind::boolean:
            return "true or false";
        case setting_kind::address:
            return "IP:PORT, e.g. 127.0.0.1:8080";
        case setting_kind::addresses:
            return "a list of different IP:PORT";
        case setting_kind::names:
            return "a list of different names of 1 to 63 letters, digits, '.', '_' or '-'";
        case setting_kind::choice:
            return choices_text(row);
        case setting_kind::file:
            break;
    }
    return "the path of a readable file, or an empty string";
}

template <class Check>
bool is_list_of_distinct(const json& value, Check&& check)
{
    if (!value.is_array()) {
        return false;
    }
    std::set<std::string> seen;
    return std::all_of(value.begin(), value.end(), [&](const json& item) {
        return item.is_string() && check(item.get_ref<const std::string&>()) &&
               seen.insert(item.get<std::string>()).second;
    });
}

bool is_readable(const std::string& file)
{
    return file.empty() || std::ifstream(file).good();
}

bool is_endpoint(const std::string& text)
{
    return parse_endpoint(text).ok();
}

bool is_integer_in_range(const setting& row, const json& value)
{
    if (!value.is_number_integer()) {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    return number >= row.m_least && number <= row.m_most;
}

bool is_choice(const setting& row, const json& value)
{
    return value.is_string() && std::find(row.m_choices.begin(), row.m_choices.end(),
                                          value.get<std::string>()) != row.m_choices.end();
}

bool is_allowed(const setting& row, const json& value)
{
    switch (row.m_kind) {
        case setting_kind::text:
            return value.is_string();
        case setting_kind::name:
            return value.is_string() && is_name(value.get_ref<const std::string&>());
        case setting_kind::integer:
            return is_integer_in_range(row, value);
        case setting_kind::boolean:
            return value.is_boolean();
        case setting_kind::number:
            return value.is_number() && value.get<double>() >= static_cast<double>(row.m_least) &&
                   value.get<double>() <= static_cast<double>(row.m_most);
        case setting_kind::address:
            return value.is_string() && is_endpoint(value.get_ref<const std::string&>());
        case setting_kind::addresses:
            return is_list_of_distinct(value, is_endpoint);
        case setting_kind::names:
            return is_list_of_distinct(value, is_name);
        case setting_kind::choice:
            return is_choice(row, value);
        case setting_kind::file:
            break;
    }
    return value.is_string() && is_readable(value.get_ref<const std::string&>());
}

bool is_known(settings_schema schema, const std::string& path)
{
    return std::any_of(schema.begin(), schema.end(),
                       [&](const setting& row) { return row.m_path == path; });
}

bool is_group(settings_schema schema, const std::string& path)
{
    return std::any_of(schema.begin(), schema.end(),
                       [&](const setting& row) { return row.m_path.starts_with(path + "/"); });
}

void find_unknown(settings_schema schema, const json& node, const std::string& path,
                  mistakes& found)
{
    for (const auto& [key, value] : node.items()) {
        const std::string child = path + "/" + key;
        if (is_known(schema, child)) {
            continue;
        }
        if (!is_group(schema, child)) {
            found.push_back(
                {child, excerpt(value), "only the settings that --print-defaults lists"});
        }
        else if (!value.is_object()) {
            found.push_back({child, excerpt(value), "an object"});
        }
        else {
            find_unknown(schema, value, child, found);
        }
    }
}

void check_row(const setting& row, const json& document, mistakes& found)
{
    const auto path = pointer(row.m_path);
    if (!document.contains(path)) {
        if (row.m_default.is_null()) {
            found.push_back({std::string(row.m_path), "a missing value", allowed_text(row)});
        }
        return;
    }
    const auto& value = document.at(path);
    if (!is_allowed(row, value)) {
        found.push_back({std::string(row.m_path), excerpt(value), allowed_text(row)});
    }
}

}  // namespace

mistakes check_settings(settings_schema schema, const json& document)
{
    if (!document.is_object()) {
        return {{"/", excerpt(document), "a JSON object"}};
    }
    mistakes found;
    find_unknown(schema, document, "", found);
    for (const auto& row : schema) {
        check_row(row, document, found);
    }
    return found;
}

json with_defaults(settings_schema schema, const json& document)
{
    json complete = document;
    for (const auto& row : schema) {
        const auto path = pointer(row.m_path);
        if (!complete.contains(path)) {
            complete[path] = row.m_default;
        }
    }
    return complete;
}

json default_settings(settings_schema schema)
{
    return with_defaults(schema, json::object());
}

std::string describe_settings(settings_schema schema)
{
    std::string text = "| setting | default | allowed | meaning |\n|---|---|---|---|\n";
    for (const auto& row : schema) {
        const std::string standard = row.m_default.is_null() ? "required" : row.m_default.dump();
        text += "| `" + std::string(row.m_path) + "` | `" + standard + "` | " + allowed_text(row) +
                " | " + std::string(row.m_help) + " |\n";
    }
    return text;
}

absl::StatusOr<json> load_settings(settings_schema schema, const std::string& file)
{
    std::ifstream stream(file);
    if (!stream) {
        return absl::NotFoundError("settings file " + file + " can't be read");
    }
    const auto document = json::parse(stream, nullptr, false);
    if (document.is_discarded()) {
        return absl::InvalidArgumentError("settings file " + file + " is not valid JSON");
    }
    const auto found = check_settings(schema, document);
    if (!found.empty()) {
        return absl::InvalidArgumentError(to_string(found));
    }
    return with_defaults(schema, document);
}

absl::StatusOr<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return absl::InvalidArgumentError("an address needs IP:PORT");
    }
    auto ip = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    endpoint parsed{std::string(ip), 0};
    const char* end = port_text.data() + port_text.size();
    const auto [next, error] = std::from_chars(port_text.data(), end, parsed.m_port);
    if (error != std::errc{} || next != end) {
        return absl::InvalidArgumentError("a port is a number from 0 to 65535");
    }
    boost::system::error_code code;
    boost::asio::ip::make_address(parsed.m_ip, code);
    if (code) {
        return absl::InvalidArgumentError("an address needs an IP number, not a name");
    }
    return parsed;
}

std::string to_string(const endpoint& address)
{
    const bool is_v6 = address.m_ip.find(':') != std::string::npos;
    const auto ip = is_v6 ? "[" + address.m_ip + "]" : address.m_ip;
    return ip + ":" + std::to_string(address.m_port);
}

}  // namespace dewbeam
