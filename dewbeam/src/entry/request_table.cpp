#include "dewbeam/src/entry/request_table.h"

namespace dewbeam::entry {

void request_table::add(const request_pointer& request)
{
    const auto number = request->known().m_ticket.value();
    m_requests.with(number, [&](by_number& shard) { shard.emplace(number, request); });
    ++m_size;
}

void request_table::remove(const request_pointer& request)
{
    const auto number = request->known().m_ticket.value();
    const auto count =
        m_requests.with(number, [&](by_number& shard) { return shard.erase(number); });
    m_size -= count;
}

request_pointer request_table::find(dispatch::ticket id)
{
    return m_requests.with(id.value(), [&](by_number& shard) {
        const auto place = shard.find(id.value());
        return place == shard.end() ? request_pointer() : place->second;
    });
}

request_pointer request_table::find(const attempt_id& id)
{
    return m_attempts.with(id.m_sequence, [&](by_number& shard) {
        const auto place = shard.find(id.m_sequence);
        return place == shard.end() ? request_pointer() : place->second;
    });
}

void request_table::add_attempt(const attempt_id& id, const request_pointer& request)
{
    m_attempts.with(id.m_sequence, [&](by_number& shard) { shard[id.m_sequence] = request; });
}

void request_table::remove_attempt(const attempt_id& id)
{
    m_attempts.with(id.m_sequence, [&](by_number& shard) { shard.erase(id.m_sequence); });
}

std::vector<request_pointer> request_table::all()
{
    std::vector<request_pointer> result;
    m_requests.for_each([&](by_number& shard) {
        for (const auto& [number, request] : shard) {
            result.push_back(request);
        }
    });
    return result;
}

}  // namespace dewbeam::entry
