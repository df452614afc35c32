#include "dewbeam/src/base/mistakes.h"

#include "dewbeam/src/base/json_text.h"

namespace dewbeam {

namespace {

/// Names and values from outside may be as long as the document that holds them.
std::string shown(const std::string& text)
{
    constexpr std::size_t max_bytes = 150;
    return text.size() <= max_bytes ? text : excerpt_text(text, max_bytes);
}

}  // namespace

std::string to_string(const mistake& item)
{
    return shown(item.m_path) + ": " + shown(item.m_value) +
           " is not allowed; allowed: " + item.m_allowed;
}

std::string to_string(const mistakes& items)
{
    std::string text;
    for (const auto& item : items) {
        if (!text.empty()) {
            text += '\n';
        }
        text += to_string(item);
    }
    return text;
}

}  // namespace dewbeam
