#include "dewbeam/src/configuration/labels.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace dewbeam::configuration {

namespace {

bool is_label_character(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-' ||
           c == '/';
}

bool key_is_less(const label& item, std::string_view key)
{
    return item.m_key < key;
}

}  // namespace

void label_set::set(std::string_view key, std::string_view value)
{
    const auto place = std::lower_bound(m_labels.begin(), m_labels.end(), key, key_is_less);
    if (place != m_labels.end() && place->m_key == key) {
        place->m_value = value;
        return;
    }
    m_labels.insert(place, label{std::string(key), std::string(value)});
}

const std::string* label_set::find(std::string_view key) const
{
    const auto place = std::lower_bound(m_labels.begin(), m_labels.end(), key, key_is_less);
    if (place == m_labels.end() || place->m_key != key) {
        return nullptr;
    }
    return &place->m_value;
}

bool is_label_part(std::string_view text)
{
    return text.size() <= longest_label_part &&
           std::all_of(text.begin(), text.end(), is_label_character);
}

absl::StatusOr<label_set> parse_labels(std::string_view text)
{
    label_set labels;
    for (const auto piece : absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
        const auto item = absl::StripAsciiWhitespace(piece);
        if (item.empty()) {
            continue;
        }
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(item, absl::MaxSplits('=', 1));
        const auto key = std::string(absl::StripAsciiWhitespace(parts.first));
        const auto value = std::string(absl::StripAsciiWhitespace(parts.second));
        const bool has_sign = item.find('=') != absl::string_view::npos;
        if (!has_sign || key.empty() || !is_label_part(key) || !is_label_part(value)) {
            return absl::InvalidArgumentError(
                "label '" + std::string(item) +
                "' is not allowed; allowed: key=value of letters, digits, '.', '_', '-' and '/', "
                "at most 63 bytes each");
        }
        labels.set(key, value);
    }
    return labels;
}

label_set merge_labels(const label_set& base, const label_set& over)
{
    label_set merged = base;
    for (const auto& item : over) {
        merged.set(item.m_key, item.m_value);
    }
    return merged;
}

std::string to_string(const label_set& labels)
{
    std::string text;
    for (const auto& item : labels) {
        if (!text.empty()) {
            text += ',';
        }
        text += item.m_key + '=' + item.m_value;
    }
    return text;
}

}  // namespace dewbeam::configuration
