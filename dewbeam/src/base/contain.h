/// \file
/// Containment of exceptions: whatever one message or exchange makes its handler throw ends that
/// message or exchange alone.
#pragma once

#include <exception>
#include <string_view>
#include <utility>

#include "dewbeam/src/base/log.h"

namespace dewbeam {

/// Calls `action`. What it throws is logged as `handler_failed` with `where`.
/// \returns whether the action returned
template <class Action>
bool contain(std::string_view where, Action&& action)
{
    try {
        std::forward<Action>(action)();
        return true;
    }
    catch (const std::exception& error) {
        log_event(log_level::error, "handler_failed", {{"where", where}, {"reason", error.what()}});
    }
    catch (...) {
        log_event(log_level::error, "handler_failed", {{"where", where}, {"reason", "unknown"}});
    }
    return false;
}

/// Logs an exception that ended a coroutine; nothing where there is none.
inline void log_coroutine_end(std::string_view where, const std::exception_ptr& thrown)
{
    if (thrown) {
        contain(where, [&] { std::rethrow_exception(thrown); });
    }
}

}  // namespace dewbeam
