#include "dewbeam/src/engine_model/block_cache.h"

namespace dewbeam::engine_model {

std::vector<std::uint64_t> block_cache::set_capacity(std::size_t blocks)
{
    m_capacity = blocks;
    return trim();
}

std::size_t block_cache::use_prefix(const std::vector<std::uint64_t>& prompt)
{
    std::size_t held = 0;
    for (const auto block : prompt) {
        const auto place = m_places.find(block);
        if (place == m_places.end()) {
            break;
        }
        m_order.splice(m_order.begin(), m_order, place->second);
        ++held;
    }
    return held;
}

bool block_cache::store(std::uint64_t block)
{
    const auto [place, is_new] = m_places.try_emplace(block);
    if (!is_new) {
        m_order.splice(m_order.begin(), m_order, place->second);
        return false;
    }
    m_order.push_front(block);
    place->second = m_order.begin();
    return true;
}

std::vector<std::uint64_t> block_cache::trim()
{
    std::vector<std::uint64_t> gone;
    while (m_order.size() > m_capacity) {
        gone.push_back(m_order.back());
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
    return gone;
}

void block_cache::clear()
{
    m_order.clear();
    m_places.clear();
}

}  // namespace dewbeam::engine_model
