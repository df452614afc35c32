/// \file
/// Checks of invariants. A broken invariant stops the process; everything else is a value.
#pragma once

namespace dewbeam {

namespace internal {
[[noreturn]] void stop_on_broken_invariant(const char* sentence);
}  // namespace internal

/// Stops the process with `sentence` on standard error when `condition` does not hold.
///
/// `sentence` says what the caller did wrong. Never use it for input from outside.
inline void require(bool condition, const char* sentence)
{
    if (!condition) [[unlikely]] {
        internal::stop_on_broken_invariant(sentence);
    }
}

}  // namespace dewbeam
