#include "dewbeam/src/operators/tables.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace dewbeam::operators {

namespace {

using json = nlohmann::json;

constexpr std::size_t gap = 2;
constexpr double percent = 100.0;

std::string printable(const std::string& text)
{
    std::string result = text;
    std::replace_if(
        result.begin(), result.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
    return result;
}

std::vector<std::size_t> widths(const text_table& table)
{
    std::vector<std::size_t> result;
    for (const auto& cell : table.m_heading) {
        result.push_back(cell.size());
    }
    for (const auto& row : table.m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            result[i] = std::max(result[i], row[i].size());
        }
    }
    return result;
}

std::string render_row(const std::vector<std::string>& row, const std::vector<std::size_t>& width)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        const auto cell = printable(row[i]);
        line += cell;
        line.append(width[i] - cell.size() + gap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

/// A titled part, or nothing where the table has no rows.
std::string part(const char* title, const text_table& table)
{
    return table.m_rows.empty() ? std::string() : std::string(title) + "\n" + render(table) + "\n";
}

std::string or_dash(const std::string& text)
{
    return text.empty() ? "-" : text;
}

std::string version_text(const configuration_version& version)
{
    return std::to_string(version.m_term) + "." + std::to_string(version.m_index);
}

std::string order_text(const configuration::precedence& item)
{
    std::string text;
    for (const auto& step : item.m_order) {
        text += step.m_selector;
        if (!step.m_reason.empty()) {
            text += " > (" + step.m_reason + ") ";
        }
    }
    return text;
}

text_table mistake_table(const mistakes& items)
{
    text_table table{{"PATH", "VALUE", "ALLOWED"}, {}};
    for (const auto& item : items) {
        table.m_rows.push_back({item.m_path, item.m_value, item.m_allowed});
    }
    return table;
}

text_table difference_table(const configuration::plan_report& report)
{
    text_table table{{"CHANGE", "ITEM", "NAME"}, {}};
    for (const auto& item : report.m_differences) {
        table.m_rows.push_back({to_string(item.m_kind), to_string(item.m_item), item.m_name});
    }
    return table;
}

text_table precedence_table(const configuration::plan_report& report)
{
    text_table table{{"SELECTOR", "ORDER, THE WINNER FIRST"}, {}};
    for (const auto& item : report.m_precedence) {
        if (item.m_order.size() > 1) {
            table.m_rows.push_back({item.m_selector, order_text(item)});
        }
    }
    return table;
}

text_table ability_table(const configuration::plan_report& report)
{
    text_table table{{"SELECTOR", "MODEL", "NOW", "AFTER"}, {}};
    for (const auto& item : report.m_abilities) {
        table.m_rows.push_back({item.m_selector, or_dash(item.m_model.value()),
                                std::to_string(item.m_before), std::to_string(item.m_after)});
    }
    return table;
}

text_table stranded_table(const configuration::plan_report& report)
{
    text_table table{{"WORKSPACE", "LABELS", "MODEL", "SELECTOR", "ABLE NOW", "REASON"}, {}};
    for (const auto& item : report.m_stranded) {
        table.m_rows.push_back({or_dash(item.m_workspace), or_dash(to_string(item.m_labels)),
                                or_dash(item.m_model.value()), or_dash(item.m_selector),
                                std::to_string(item.m_before), item.m_reason});
    }
    return table;
}

std::string text_of(const json& source, const char* key)
{
    if (!source.contains(key)) {
        return "-";
    }
    const auto& value = source[key];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string quorum_text(const json& status)
{
    if (!status.contains("quorum")) {
        return "-";
    }
    const bool has_quorum = status["quorum"] == true;
    return (has_quorum ? "yes, leader " : "NO, leader ") + or_dash(text_of(status, "leader"));
}

std::vector<std::string> program_row(const status_reply& reply)
{
    const auto address = to_string(reply.m_address);
    if (!reply.m_status.ok()) {
        return {address, "-", "-", "-", "NO ANSWER", "-", "-", "-"};
    }
    const auto& status = *reply.m_status;
    const auto number = status.value("/configuration/number"_json_pointer, json());
    const bool is_cut_off = status.contains("cut_off") && status["cut_off"] == true;
    return {address,
            text_of(status, "host"),
            text_of(status, "role"),
            text_of(status, "failure_domain"),
            text_of(status, "phase"),
            number.is_null() ? "-" : number.dump(),
            is_cut_off ? "CUT OFF" : "no",
            quorum_text(status)};
}

std::string state_text(const member_view& item)
{
    if (item.m_dead) {
        return "dead";
    }
    if (item.m_suspect) {
        return "suspect";
    }
    return item.m_leaving ? "leaving" : "alive";
}

std::string models_text(const std::vector<model_id>& models)
{
    std::string text;
    for (const auto& item : models) {
        text += (text.empty() ? "" : ",") + item.value();
    }
    return or_dash(text);
}

/// Whether the program keeps a list of members; a control need not.
bool lists_members(const status_reply& reply)
{
    return reply.m_status.ok() && reply.m_status->contains("members") &&
           !(*reply.m_status)["members"].empty();
}

text_table member_table(const std::vector<status_reply>& replies)
{
    const auto answered = std::count_if(replies.begin(), replies.end(), lists_members);
    text_table table{{"HOST", "ROLE", "DOMAIN", "STATE", "SEEN BY", "CONFIGURATION", "UPSTREAM",
                      "MODELS", "LABELS"},
                     {}};
    for (const auto& item : merge_members(replies)) {
        table.m_rows.push_back({item.m_host, item.m_role, item.m_failure_domain, state_text(item),
                                std::to_string(item.m_seen_by) + "/" + std::to_string(answered),
                                version_text(item.m_configuration), or_dash(item.m_upstream),
                                models_text(item.m_models), or_dash(to_string(item.m_labels))});
    }
    return table;
}

std::string rate_text(const burn::window_burn& window)
{
    return window.m_requests == 0 ? "-" : absl::StrFormat("%.2f", window.m_rate);
}

std::vector<std::string> burn_row(const burn::series_report& series,
                                  const burn::objective_report& item)
{
    std::vector<std::string> row{series.m_key.m_selector, series.m_key.m_workspace_class,
                                 burn::to_string(item.m_objective),
                                 absl::StrFormat("%g%%", item.m_target * percent)};
    for (const auto& window : item.m_windows) {
        row.push_back(rate_text(window));
    }
    row.push_back(absl::StrFormat("%.1f%%", item.m_budget_left * percent));
    row.emplace_back(burn::to_string(item.m_alert));
    return row;
}

std::string host_list(const std::vector<host_id>& hosts)
{
    std::string text;
    for (const auto& item : hosts) {
        text += (text.empty() ? "" : ", ") + item.value();
    }
    return text;
}

}  // namespace

std::string render(const text_table& table)
{
    const auto width = widths(table);
    std::string text = render_row(table.m_heading, width);
    for (const auto& row : table.m_rows) {
        text += render_row(row, width);
    }
    return text;
}

std::string to_table(const configuration::plan_report& report)
{
    if (!report.m_mistakes.empty()) {
        return part("Mistakes: the change would be refused whole",
                    mistake_table(report.m_mistakes));
    }
    auto text = part("Changes", difference_table(report)) +
                part("Precedence where selectors overlap", precedence_table(report)) +
                part("Able upstreams", ability_table(report)) +
                part("REQUESTS LEFT WITHOUT AN UPSTREAM", stranded_table(report));
    if (report.m_differences.empty()) {
        text = "Nothing would change.\n\n" + text;
    }
    if (report.m_is_partial) {
        text += "Not all kinds of requests were looked at: there are too many.\n";
    }
    return text;
}

std::string to_table(const std::vector<status_reply>& replies)
{
    text_table programs{
        {"ADDRESS", "HOST", "ROLE", "DOMAIN", "PHASE", "NUMBER", "CUT OFF", "QUORUM"}, {}};
    for (const auto& item : replies) {
        programs.m_rows.push_back(program_row(item));
    }
    return part("Programs", programs) + part("Members", member_table(replies));
}

std::string to_table(const burn::report& burn)
{
    text_table table{{"SELECTOR", "WORKSPACES", "OBJECTIVE", "TARGET"}, {}};
    for (const auto& window : burn::window_shapes) {
        table.m_heading.emplace_back(window.m_name);
    }
    table.m_heading.insert(table.m_heading.end(), {"BUDGET LEFT", "ALERT"});
    for (const auto& series : burn.m_series) {
        for (const auto& item : series.m_objectives) {
            table.m_rows.push_back(burn_row(series, item));
        }
    }
    std::string text = "Entries counted: " + or_dash(host_list(burn.m_hosts)) + "\n";
    if (!burn.m_missing.empty()) {
        text += "MISSING, not counted as good: " + host_list(burn.m_missing) + "\n";
    }
    return text + "\n" + part("Burn rates", table);
}

std::string to_table(const configuration_reply& reply)
{
    text_table table{{"KIND", "NAME", "CONTENT"}, {}};
    for (const auto& [kind, items] : reply.m_document.items()) {
        if (!items.is_object()) {
            table.m_rows.push_back({kind, "-", items.dump()});
            continue;
        }
        for (const auto& [name, content] : items.items()) {
            table.m_rows.push_back({kind, name, content.dump()});
        }
    }
    return "Number " + std::to_string(reply.m_number) + ", version " +
           version_text(reply.m_version) + "\n\n" + part("Items", table);
}

json to_json(const std::vector<status_reply>& replies)
{
    json result = json::array();
    for (const auto& item : replies) {
        json row{{"address", to_string(item.m_address)}};
        if (item.m_status.ok()) {
            row["status"] = *item.m_status;
        }
        else {
            row["error"] = std::string(item.m_status.status().message());
        }
        result.push_back(std::move(row));
    }
    return {{"programs", result}};
}

}  // namespace dewbeam::operators
