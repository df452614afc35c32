#include "dewbeam/src/configuration/selector.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace dewbeam::configuration {

namespace {

/// Reads a selector from left to right.
class selector_reader {
public:
    explicit selector_reader(std::string_view text) : m_text(text) {}

    absl::StatusOr<selector> read()
    {
        selector result;
        skip_space();
        if (at_end()) {
            return result;
        }
        for (;;) {
            auto next = read_requirement();
            if (!next.ok()) {
                return next.status();
            }
            result.m_requirements.push_back(*std::move(next));
            skip_space();
            if (at_end()) {
                return result;
            }
            if (!take(',')) {
                return error("a comma or the end");
            }
        }
    }

private:
    [[nodiscard]] bool at_end() const { return m_next >= m_text.size(); }

    void skip_space()
    {
        while (!at_end() && absl::ascii_isspace(static_cast<unsigned char>(m_text[m_next]))) {
            ++m_next;
        }
    }

    bool take(char wanted)
    {
        skip_space();
        if (at_end() || m_text[m_next] != wanted) {
            return false;
        }
        ++m_next;
        return true;
    }

    std::string read_word()
    {
        skip_space();
        const auto start = m_next;
        while (!at_end() && is_label_part(m_text.substr(m_next, 1))) {
            ++m_next;
        }
        return std::string(m_text.substr(start, m_next - start));
    }

    [[nodiscard]] absl::Status error(std::string_view allowed) const
    {
        return absl::InvalidArgumentError("at byte " + std::to_string(m_next) + " of selector '" +
                                          std::string(m_text) +
                                          "': allowed: " + std::string(allowed));
    }

    absl::StatusOr<std::string> read_key()
    {
        auto key = read_word();
        if (key.empty() || key.size() > longest_label_part) {
            return error("a key of 1 to 63 letters, digits, '.', '_', '-' or '/'");
        }
        return key;
    }

    absl::StatusOr<requirement> read_requirement()
    {
        const bool is_absent = take('!');
        auto key = read_key();
        if (!key.ok()) {
            return key.status();
        }
        if (is_absent) {
            return requirement{*std::move(key), requirement_kind::not_exists};
        }
        return read_operator(*std::move(key));
    }

    absl::StatusOr<requirement> read_operator(std::string key)
    {
        if (take('=')) {
            take('=');
            return read_single(std::move(key), requirement_kind::in);
        }
        if (take('!')) {
            if (!take('=')) {
                return error("'=' after '!'");
            }
            return read_single(std::move(key), requirement_kind::not_in);
        }
        const auto word = read_word();
        if (word.empty()) {
            return requirement{std::move(key), requirement_kind::exists};
        }
        if (word == "in") {
            return read_list(std::move(key), requirement_kind::in);
        }
        if (word == "notin") {
            return read_list(std::move(key), requirement_kind::not_in);
        }
        return error("'=', '!=', 'in (...)', 'notin (...)', a comma or the end");
    }

    absl::StatusOr<requirement> read_single(std::string key, requirement_kind kind)
    {
        auto value = read_word();
        if (value.size() > longest_label_part) {
            return error("a value of at most 63 bytes");
        }
        return requirement{std::move(key), kind, {std::move(value)}};
    }

    absl::StatusOr<requirement> read_list(std::string key, requirement_kind kind)
    {
        if (!take('(')) {
            return error("'('");
        }
        requirement result{std::move(key), kind};
        do {
            auto value = read_word();
            if (value.size() > longest_label_part) {
                return error("a value of at most 63 bytes");
            }
            result.m_values.push_back(std::move(value));
        } while (take(','));
        if (!take(')')) {
            return error("',' or ')'");
        }
        auto& values = result.m_values;
        std::sort(values.begin(), values.end());
        values.erase(std::unique(values.begin(), values.end()), values.end());
        return result;
    }

    std::string_view m_text;
    std::size_t m_next = 0;
};

bool has_value(const requirement& condition, const std::string& value)
{
    return std::binary_search(condition.m_values.begin(), condition.m_values.end(), value);
}

bool holds(const requirement& condition, const label_set& labels)
{
    const auto* value = labels.find(condition.m_key);
    switch (condition.m_kind) {
        case requirement_kind::in:
            return value != nullptr && has_value(condition, *value);
        case requirement_kind::not_in:
            return value == nullptr || !has_value(condition, *value);
        case requirement_kind::exists:
            return value != nullptr;
        case requirement_kind::not_exists:
            break;
    }
    return value == nullptr;
}

std::string list_text(const requirement& condition)
{
    std::string text = "(";
    for (const auto& value : condition.m_values) {
        if (text.size() > 1) {
            text += ',';
        }
        text += value;
    }
    return text + ")";
}

std::string requirement_text(const requirement& condition)
{
    const bool is_single = condition.m_values.size() == 1;
    switch (condition.m_kind) {
        case requirement_kind::in:
            return is_single ? condition.m_key + "=" + condition.m_values.front()
                             : condition.m_key + " in " + list_text(condition);
        case requirement_kind::not_in:
            return is_single ? condition.m_key + "!=" + condition.m_values.front()
                             : condition.m_key + " notin " + list_text(condition);
        case requirement_kind::exists:
            return condition.m_key;
        case requirement_kind::not_exists:
            break;
    }
    return "!" + condition.m_key;
}

}  // namespace

absl::StatusOr<selector> parse_selector(std::string_view text)
{
    return selector_reader(text).read();
}

bool matches(const selector& conditions, const label_set& labels)
{
    return std::all_of(conditions.m_requirements.begin(), conditions.m_requirements.end(),
                       [&](const requirement& condition) { return holds(condition, labels); });
}

std::string to_string(const selector& conditions)
{
    std::string text;
    for (const auto& condition : conditions.m_requirements) {
        if (!text.empty()) {
            text += ',';
        }
        text += requirement_text(condition);
    }
    return text;
}

}  // namespace dewbeam::configuration
