/// \file
/// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dewbeam {

/// How much an event matters.
enum class log_level { debug, info, warning, error };

/// One key and its value as text; numbers and booleans convert.
struct log_field {
    std::string_view m_key;
    std::string m_value;

    log_field(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const char* value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, bool value) : m_key(key), m_value(value ? "true" : "false") {}
    template <class Number>
    requires std::integral<Number> || std::floating_point<Number> log_field(std::string_view key,
                                                                            Number value)
        : m_key(key), m_value(std::to_string(value))
    {
    }
};

/// Sets the program's name, written in every line, and the least level that is written.
///
/// Lines go to standard output by a thread of their own: whoever logs never waits for a reader.
void configure_log(std::string_view program, std::string_view host, log_level least);

/// Writes one line: time, level, program, host, event, then the fields in order.
///
/// Values with spaces, quotes, `=`, control bytes or bytes that aren't UTF-8 are quoted and
/// escaped: a line is text, and can't be forged from outside.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

namespace internal {
/// The quoted form of one value.
std::string quote_log_value(std::string_view value);
}  // namespace internal

}  // namespace dewbeam
