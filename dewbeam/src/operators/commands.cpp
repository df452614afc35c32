#include "dewbeam/src/operators/commands.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "dewbeam/caller"
#include "dewbeam/link"
#include "dewbeam/src/operators/burn_page.h"
#include "dewbeam/src/operators/tables.h"

namespace dewbeam::operators {

namespace {

using json = nlohmann::json;

constexpr int most_drain_tries = 5;

command_result failure(exit_code code, std::string message)
{
    return {code, {}, std::move(message) + "\n"};
}

command_result success(std::string output)
{
    return {exit_code::done, std::move(output), {}};
}

std::string json_text(const json& value)
{
    return value.dump(2) + "\n";
}

/// A result in the form that the operator asked for.
template <class Report>
command_result show(const command_line& wanted, const json& form, const Report& report)
{
    return success(wanted.m_output == output_form::json ? json_text(form) : to_table(report));
}

absl::StatusOr<std::string> read_text(const std::string& file, const std::string& input)
{
    if (file == "-") {
        return input;
    }
    std::ifstream stream(file);
    if (!stream) {
        return absl::NotFoundError("can't read the file " + file);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

absl::StatusOr<json> read_object(const std::string& file, const std::string& input)
{
    const auto text = read_text(file, input);
    if (!text.ok()) {
        return text.status();
    }
    try {
        auto value = json::parse(*text);
        if (!value.is_object()) {
            return absl::InvalidArgumentError(file + " holds no JSON object");
        }
        return value;
    }
    catch (const json::parse_error& error) {
        return absl::InvalidArgumentError(file + " holds no JSON: " + error.what());
    }
}

std::string new_change_id()
{
    std::random_device source;
    std::uint64_t value = source();
    value = (value << 32U) | source();
    return absl::StrFormat("change-%016x", value);
}

json wanted_patch(const command_line& wanted, const json& current, const json& content)
{
    return wanted.m_replaces ? patch_between(current, content) : content;
}

command_result run_get(const command_line& wanted)
{
    const auto reply = get_configuration(wanted.m_site);
    if (!reply.ok()) {
        return failure(exit_code::unreachable, std::string(reply.status().message()));
    }
    const json form{
        {"number", reply->m_number},
        {"version", {{"term", reply->m_version.m_term}, {"index", reply->m_version.m_index}}},
        {"document", reply->m_document}};
    return show(wanted, form, *reply);
}

command_result run_status(const command_line& wanted)
{
    const auto replies = get_statuses(wanted.m_site);
    auto result = show(wanted, to_json(replies), replies);
    const bool has_answer =
        std::any_of(replies.begin(), replies.end(),
                    [](const status_reply& item) { return item.m_status.ok(); });
    if (!has_answer) {
        result.m_exit = exit_code::unreachable;
        result.m_error = "no program answered\n";
    }
    return result;
}

command_result run_plan(const command_line& wanted, const std::string& input)
{
    const auto content = read_object(wanted.m_file, input);
    if (!content.ok()) {
        return failure(exit_code::usage, std::string(content.status().message()));
    }
    const auto current = get_configuration(wanted.m_site);
    if (!current.ok()) {
        return failure(exit_code::unreachable, std::string(current.status().message()));
    }
    const auto members = merge_members(get_statuses(wanted.m_site));
    if (members.empty()) {
        return failure(exit_code::unreachable, "no program tells which upstreams there are");
    }
    const auto report = configuration::plan(current->m_document,
                                            wanted_patch(wanted, current->m_document, *content),
                                            upstreams_of(members));
    auto result = show(wanted, configuration::to_json(report), report);
    if (!report.m_mistakes.empty()) {
        result.m_exit = exit_code::refused;
    }
    else if (!report.m_stranded.empty()) {
        result.m_exit = exit_code::stranded;
    }
    return result;
}

const char* to_string(submission_status value)
{
    switch (value) {
        case submission_status::accepted:
            return "accepted";
        case submission_status::conflict:
            return "conflict";
        case submission_status::invalid:
            return "invalid";
        case submission_status::refused:
            return "refused";
        case submission_status::no_quorum:
            return "no quorum";
        case submission_status::unknown:
            break;
    }
    return "unknown";
}

exit_code exit_of(submission_status value)
{
    switch (value) {
        case submission_status::accepted:
            return exit_code::done;
        case submission_status::conflict:
        case submission_status::invalid:
        case submission_status::refused:
            return exit_code::refused;
        case submission_status::no_quorum:
        case submission_status::unknown:
            break;
    }
    return exit_code::unreachable;
}

std::string sentence_of(const submission& result, const std::string& id)
{
    switch (result.m_status) {
        case submission_status::accepted:
            return "accepted as number " + std::to_string(result.m_number);
        case submission_status::conflict:
            return "conflict: the number is taken by the change " + result.m_winner +
                   "; the configuration now has number " + std::to_string(result.m_number);
        case submission_status::invalid:
            return "refused whole:\n" + to_string(result.m_mistakes);
        case submission_status::refused:
            return result.m_message;
        case submission_status::no_quorum:
        case submission_status::unknown:
            break;
    }
    return result.m_message + "\nIt may still be accepted; apply it again with --id=" + id +
           " and the same --base to learn how it ended";
}

command_result show_submission(const command_line& wanted, const configuration::change& change,
                               const submission& result)
{
    const auto code = exit_of(result.m_status);
    if (wanted.m_output == output_form::json) {
        return {code,
                json_text({{"id", change.m_id},
                           {"base", change.m_base},
                           {"status", to_string(result.m_status)},
                           {"number", result.m_number},
                           {"winner", result.m_winner},
                           {"mistakes", configuration::to_json(result.m_mistakes)},
                           {"message", result.m_message}}),
                {}};
    }
    auto text = sentence_of(result, change.m_id) + "\n";
    return code == exit_code::done ? success(std::move(text))
                                   : command_result{code, {}, std::move(text)};
}

command_result run_apply(const command_line& wanted, const std::string& input)
{
    const auto content = read_object(wanted.m_file, input);
    if (!content.ok()) {
        return failure(exit_code::usage, std::string(content.status().message()));
    }
    const bool needs_current = wanted.m_replaces || !wanted.m_base.has_value();
    configuration_reply current;
    if (needs_current) {
        auto reply = get_configuration(wanted.m_site);
        if (!reply.ok()) {
            return failure(exit_code::unreachable, std::string(reply.status().message()));
        }
        current = *std::move(reply);
    }
    const configuration::change change{
        wanted.m_change_id.empty() ? new_change_id() : wanted.m_change_id,
        wanted.m_base.value_or(current.m_number),
        wanted_patch(wanted, current.m_document, *content)};
    return show_submission(wanted, change, submit(wanted.m_site, change));
}

/// The patch of a drain or its end; null where there is nothing to undo.
json drain_patch(const command_line& wanted, const configuration::selector& match,
                 const json& document)
{
    const auto name = drain_name(match);
    if (!wanted.m_undoes) {
        return {{"upstreams",
                 {{name,
                   {{"match", configuration::to_string(match)},
                    {"labels", {{std::string(configuration::drain_label), "true"}}}}}}}};
    }
    const bool is_drained = document.contains("upstreams") && document["upstreams"].contains(name);
    return is_drained ? json{{"upstreams", {{name, nullptr}}}} : json();
}

/// A warning that names the requests which the drain would strand; empty for none.
std::string drain_warning(const command_line& wanted, const json& document, const json& patch)
{
    const auto upstreams = upstreams_of(merge_members(get_statuses(wanted.m_site)));
    const auto report = configuration::plan(document, patch, upstreams);
    std::string text;
    std::set<std::string> named;
    for (const auto& item : report.m_stranded) {
        const bool is_new =
            item.m_before > 0 && named.insert(item.m_selector + "\n" + item.m_model.value()).second;
        if (is_new) {
            text += "warning: no upstream is left for requests with labels '" +
                    to_string(item.m_labels) + "', selector '" + item.m_selector + "', model '" +
                    item.m_model.value() + "'\n";
        }
    }
    return text;
}

/// A drain doesn't depend on other changes, so a conflict is tried again on the new number.
command_result run_drain(const command_line& wanted)
{
    const auto match = configuration::parse_selector(wanted.m_selector);
    if (!match.ok()) {
        return failure(exit_code::usage, std::string(match.status().message()));
    }
    command_result result;
    for (int attempt = 0; attempt < most_drain_tries; ++attempt) {
        const auto current = get_configuration(wanted.m_site);
        if (!current.ok()) {
            return failure(exit_code::unreachable, std::string(current.status().message()));
        }
        const auto patch = drain_patch(wanted, *match, current->m_document);
        if (patch.is_null()) {
            return failure(exit_code::refused, "nothing is drained by this selector");
        }
        const auto warning = drain_warning(wanted, current->m_document, patch);
        const configuration::change change{new_change_id(), current->m_number, patch};
        const auto submitted = submit(wanted.m_site, change);
        result = show_submission(wanted, change, submitted);
        result.m_error = warning + result.m_error;
        if (submitted.m_status != submission_status::conflict) {
            break;
        }
    }
    return result;
}

time_point wall_time()
{
    return time_point(
        std::chrono::floor<time_span>(std::chrono::system_clock::now().time_since_epoch()));
}

command_result run_burn(const command_line& wanted)
{
    const auto report = get_burn(wanted.m_site, wall_time());
    if (!report.ok()) {
        return failure(exit_code::unreachable, std::string(report.status().message()));
    }
    auto result = show(wanted, burn::to_json(*report), *report);
    if (!wanted.m_html_file.empty()) {
        std::ofstream page(wanted.m_html_file);
        page << burn_page(*report);
        page.close();
        if (!page) {
            return failure(exit_code::usage, "can't write the file " + wanted.m_html_file);
        }
    }
    if (report->m_hosts.empty()) {
        result.m_exit = exit_code::unreachable;
        result.m_error = "no entry answered\n";
    }
    return result;
}

command_result run_keys()
{
    const auto keys = link::generate_link_keys();
    return success(json_text({{"public", keys.m_public}, {"secret", keys.m_secret}}));
}

command_result run_token_hash(const std::string& input)
{
    const std::string token(absl::StripAsciiWhitespace(input));
    if (token.empty()) {
        return failure(exit_code::usage, "the standard input holds no token");
    }
    return success(caller::token_hash(token) + "\n");
}

}  // namespace

json patch_between(const json& before, const json& after)
{
    if (!before.is_object() || !after.is_object()) {
        return after;
    }
    json patch = json::object();
    for (const auto& [key, value] : before.items()) {
        if (!after.contains(key)) {
            patch[key] = nullptr;
        }
    }
    for (const auto& [key, value] : after.items()) {
        if (!before.contains(key)) {
            patch[key] = value;
        }
        else if (before[key] != value) {
            patch[key] = patch_between(before[key], value);
        }
    }
    return patch;
}

std::string drain_name(const configuration::selector& match)
{
    return absl::StrFormat("drain-%016x", stable_hash(configuration::to_string(match)));
}

command_result run(const command_line& wanted, const std::string& input)
{
    switch (wanted.m_command) {
        case command_kind::help:
            return success(usage());
        case command_kind::version:
            return success("dewbeamctl 0.1.0\n");
        case command_kind::get:
            return run_get(wanted);
        case command_kind::status:
            return run_status(wanted);
        case command_kind::plan:
            return run_plan(wanted, input);
        case command_kind::apply:
            return run_apply(wanted, input);
        case command_kind::drain:
            return run_drain(wanted);
        case command_kind::burn:
            return run_burn(wanted);
        case command_kind::keys:
            return run_keys();
        case command_kind::token_hash:
            break;
    }
    return run_token_hash(input);
}

}  // namespace dewbeam::operators
