#include "dewbeam/src/base/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

#include "dewbeam/src/base/text.h"

namespace dewbeam {

namespace {

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level) {
        case log_level::debug:
            return spdlog::level::debug;
        case log_level::info:
            return spdlog::level::info;
        case log_level::warning:
            return spdlog::level::warn;
        case log_level::error:
            break;
    }
    return spdlog::level::err;
}

bool is_plain(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte != 0x7F && c != '"' && c != '=' && c != '\\';
}

/// `is_text`: bytes beyond ASCII are part of UTF-8.
void append_escaped(std::string& out, char c, bool is_text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
    }
    else if (byte < 0x20 || byte == 0x7F || (byte > 0x7F && !is_text)) {
        out += "\\x";
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    else {
        out += c;
    }
}

/// Lines that may wait for a slow reader of standard output; about 400 bytes each. Beyond that the
/// oldest ones are dropped, since requests must not wait for a log.
constexpr std::size_t most_waiting_lines = 1024;

std::string program_prefix;

}  // namespace

namespace internal {

std::string quote_log_value(std::string_view value)
{
    const bool is_text = is_utf8(value);
    if (!value.empty() && is_text && std::all_of(value.begin(), value.end(), is_plain)) {
        return std::string(value);
    }
    std::string out = "\"";
    for (const char c : value) {
        append_escaped(out, c, is_text);
    }
    out += '"';
    return out;
}

}  // namespace internal

void configure_log(std::string_view program, std::string_view host, log_level least)
{
    spdlog::init_thread_pool(most_waiting_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        "dewbeam", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(to_spdlog(least));
    logger->flush_on(spdlog::level::info);
    program_prefix = "program=" + internal::quote_log_value(program) +
                     " host=" + internal::quote_log_value(host);
    spdlog::set_default_logger(std::move(logger));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto spd_level = to_spdlog(level);
    if (!spdlog::should_log(spd_level)) {
        return;
    }
    std::string line = program_prefix;
    line += " event=";
    line += internal::quote_log_value(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.m_key;
        line += '=';
        line += internal::quote_log_value(field.m_value);
    }
    spdlog::log(spd_level, "{}", line);
}

}  // namespace dewbeam
