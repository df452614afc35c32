#include "dewbeam/src/base/mistakes.h"

namespace dewbeam {

std::string to_string(const mistake& item)
{
    return item.m_path + ": " + item.m_value + " is not allowed; allowed: " + item.m_allowed;
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
