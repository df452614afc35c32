#include "dewbeam/src/base/json_text.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace dewbeam {

namespace {

using json = nlohmann::json;

/// Whether brackets nest deeper than `max_depth`. Right up to the first error of the text, where
/// a parser stops as well.
bool is_nested_deeper(std::string_view text, std::size_t max_depth)
{
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (is_in_string) {
            i += c == '\\' ? 1 : 0;
            is_in_string = c != '"';
        }
        else if (c == '"') {
            is_in_string = true;
        }
        else if (c == '[' || c == '{') {
            if (++depth > max_depth) {
                return true;
            }
        }
        else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

bool is_continuation(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

/// The longest prefix of at most `max_bytes` that ends between characters.
std::string_view cut_between_characters(std::string_view text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes) {
        return text;
    }
    auto end = max_bytes;
    while (end > 0 && is_continuation(text[end])) {
        --end;
    }
    return text.substr(0, end);
}

/// Appends the JSON text of a value until `out` exceeds `max_bytes`. Each level of nesting appends
/// a byte, so that the depth of the recursion is bounded, too.
class excerpt_writer {
public:
    explicit excerpt_writer(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    void append(const json& value)
    {
        if (is_full()) {
            return;
        }
        if (value.is_object()) {
            append_object(value);
        }
        else if (value.is_array()) {
            append_array(value);
        }
        else if (value.is_string()) {
            append_text(value.get_ref<const std::string&>());
        }
        else {
            m_out += value.is_binary() ? std::string("binary") : write_json(value);
        }
    }

    void append_text(std::string_view text)
    {
        m_out += write_json(json(cut_between_characters(text, m_max_bytes + 1)));
    }

    std::string take()
    {
        if (!is_full()) {
            return std::move(m_out);
        }
        return std::string(cut_between_characters(m_out, m_max_bytes)) + "...";
    }

private:
    [[nodiscard]] bool is_full() const { return m_out.size() > m_max_bytes; }

    void append_object(const json& value)
    {
        m_out += '{';
        bool is_first = true;
        for (auto place = value.begin(); place != value.end() && !is_full(); ++place) {
            m_out += std::exchange(is_first, false) ? "" : ",";
            append_text(place.key());
            m_out += ':';
            append(place.value());
        }
        m_out += '}';
    }

    void append_array(const json& value)
    {
        m_out += '[';
        bool is_first = true;
        for (auto place = value.begin(); place != value.end() && !is_full(); ++place) {
            m_out += std::exchange(is_first, false) ? "" : ",";
            append(*place);
        }
        m_out += ']';
    }

    std::size_t m_max_bytes;
    std::string m_out;
};

}  // namespace

absl::StatusOr<json> parse_json(std::string_view text, std::size_t max_depth)
{
    if (is_nested_deeper(text, max_depth)) {
        return absl::OutOfRangeError(
            absl::StrCat("the JSON text nests deeper than ", max_depth, " levels"));
    }
    auto result = json::parse(text, nullptr, false);
    if (result.is_discarded()) {
        return absl::InvalidArgumentError("the text is not JSON in UTF-8");
    }
    return result;
}

std::string excerpt(const json& value, std::size_t max_bytes)
{
    excerpt_writer writer(max_bytes);
    writer.append(value);
    return writer.take();
}

std::string excerpt_text(std::string_view text, std::size_t max_bytes)
{
    excerpt_writer writer(max_bytes);
    writer.append_text(text);
    return writer.take();
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace dewbeam
