#include "dewbeam/src/membership/member.h"

#include <tuple>

namespace dewbeam::membership {

const char* to_string(role value)
{
    switch (value) {
        case role::entry:
            return "entry";
        case role::agent:
            return "agent";
        case role::control:
            break;
    }
    return "control";
}

bool is_newer(const member& a, const member& b)
{
    return std::tie(a.m_incarnation, a.m_sequence) > std::tie(b.m_incarnation, b.m_sequence);
}

}  // namespace dewbeam::membership
