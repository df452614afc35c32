#include "dewbeam/src/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

#include "dewbeam/src/base/json_text.h"

namespace dewbeam {

namespace {

bool is_continuation(unsigned char byte)
{
    return byte >= 0x80 && byte <= 0xBF;
}

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7F;
}

/// Lead bytes of one length, and what the byte behind them may be.
struct utf8_range {
    unsigned char m_first_lead;
    unsigned char m_last_lead;
    std::size_t m_length;
    unsigned char m_first_second;
    unsigned char m_last_second;
};

constexpr std::array<utf8_range, 9> utf8_ranges{{{0x00, 0x7F, 1, 0x00, 0x00},
                                                 {0xC2, 0xDF, 2, 0x80, 0xBF},
                                                 {0xE0, 0xE0, 3, 0xA0, 0xBF},
                                                 {0xE1, 0xEC, 3, 0x80, 0xBF},
                                                 {0xED, 0xED, 3, 0x80, 0x9F},
                                                 {0xEE, 0xEF, 3, 0x80, 0xBF},
                                                 {0xF0, 0xF0, 4, 0x90, 0xBF},
                                                 {0xF1, 0xF3, 4, 0x80, 0xBF},
                                                 {0xF4, 0xF4, 4, 0x80, 0x8F}}};

/// Length of the character that `bytes` begins with; 0 if it is none.
std::size_t character_length(std::string_view bytes)
{
    const auto lead = static_cast<unsigned char>(bytes.front());
    for (const auto& range : utf8_ranges) {
        if (lead < range.m_first_lead || lead > range.m_last_lead) {
            continue;
        }
        if (bytes.size() < range.m_length) {
            return 0;
        }
        for (std::size_t i = 1; i < range.m_length; ++i) {
            const auto byte = static_cast<unsigned char>(bytes[i]);
            const bool is_right = i == 1
                                      ? byte >= range.m_first_second && byte <= range.m_last_second
                                      : is_continuation(byte);
            if (!is_right) {
                return 0;
            }
        }
        return range.m_length;
    }
    return 0;
}

}  // namespace

bool is_utf8(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto length = character_length(bytes);
        if (length == 0) {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

absl::Status check_name(std::string_view what, std::string_view name)
{
    const bool is_right = name.size() <= max_name_bytes && is_utf8(name) &&
                          std::none_of(name.begin(), name.end(), is_control);
    if (is_right) {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrCat(
        absl::string_view(what.data(), what.size()), " is ", excerpt_text(name),
        "; allowed is UTF-8 without control characters, at most ", max_name_bytes, " bytes"));
}

}  // namespace dewbeam
