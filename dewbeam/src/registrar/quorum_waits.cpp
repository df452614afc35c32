#include "dewbeam/src/registrar/quorum_waits.h"

#include <utility>

namespace dewbeam::registrar {

void note_answer(quorum_wait_table& table, std::uint64_t token, const std::string& from,
                 quorum_wait_calls& calls)
{
    const auto place = table.m_quorum_waits.find(token);
    if (place == table.m_quorum_waits.end() || !place->second.m_counted.contains(from)) {
        return;
    }
    auto& subject = place->second;
    subject.m_from.insert(from);
    if (subject.m_from.size() < subject.m_needed) {
        return;
    }
    calls.emplace_back([done = std::move(subject.m_done)] { done(true); });
    table.m_quorum_waits.erase(place);
}

void expire(quorum_wait_table& table, time_point now, quorum_wait_calls& calls)
{
    std::erase_if(table.m_quorum_waits, [&](auto& item) {
        if (item.second.m_deadline > now) {
            return false;
        }
        calls.emplace_back([done = std::move(item.second.m_done)] { done(false); });
        return true;
    });
}

}  // namespace dewbeam::registrar
