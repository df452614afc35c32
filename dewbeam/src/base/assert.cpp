#include "dewbeam/src/base/assert.h"

#include <cstdio>
#include <cstdlib>

namespace dewbeam::internal {

void stop_on_broken_invariant(const char* sentence)
{
    std::fprintf(stderr, "broken invariant: %s\n", sentence);
    std::abort();
}

}  // namespace dewbeam::internal
