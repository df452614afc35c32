/// \file
/// Ends of upstreams that wait until a majority of registries holds them.
///
/// An upstream that leaves relies on the acknowledgement: from then on no new work may reach it.
/// Gateways hear from every registry, so a majority that holds the end tells every gateway that can
/// reach a majority, also where the registry that took it in fails right after.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registrar {

/// One end that waits.
struct hold {
    std::size_t m_needed = 0;         ///< answers of other registries
    std::set<std::string> m_from;     ///< addresses that answered
    std::set<std::string> m_counted;  ///< addresses whose answer counts
    time_point m_deadline{};
    std::function<void(bool is_held)> m_done;
};

/// All that wait, by token.
struct hold_table {
    std::map<std::uint64_t, hold> m_holds;
    std::uint64_t m_last_token = 0;
};

/// What is to be called once the caller's lock is given back.
using hold_calls = std::vector<std::function<void()>>;

/// A registry answered for a token.
void note_answer(hold_table& table, std::uint64_t token, const std::string& from,
                 hold_calls& calls);

/// Gives up what waited too long.
void expire(hold_table& table, time_point now, hold_calls& calls);

}  // namespace dewbeam::registrar
