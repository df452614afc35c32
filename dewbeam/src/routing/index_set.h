/// \file
/// A set of small numbers with O(1) insert, erase and random choice.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::routing {

/// Position of an upstream in the broker's table.
using upstream_index = std::uint32_t;

/// The set. Its order depends only on the history of inserts and erases.
class index_set {
public:
    [[nodiscard]] bool contains(upstream_index item) const
    {
        return item < m_place.size() && m_place[item] != absent;
    }

    [[nodiscard]] bool empty() const { return m_items.empty(); }
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] upstream_index operator[](std::size_t place) const { return m_items[place]; }

    void insert(upstream_index item)
    {
        if (contains(item)) {
            return;
        }
        if (item >= m_place.size()) {
            m_place.resize(item + 1, absent);
        }
        m_place[item] = static_cast<std::uint32_t>(m_items.size());
        m_items.push_back(item);
    }

    void erase(upstream_index item)
    {
        if (!contains(item)) {
            return;
        }
        const auto last = m_items.back();
        m_items[m_place[item]] = last;
        m_place[last] = m_place[item];
        m_place[item] = absent;
        m_items.pop_back();
    }

    /// Inserts or erases.
    void set(upstream_index item, bool is_member) { is_member ? insert(item) : erase(item); }

private:
    static constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();
    std::vector<upstream_index> m_items;
    std::vector<std::uint32_t> m_place;
};

}  // namespace dewbeam::routing
