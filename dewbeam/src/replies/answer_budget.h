/// \file
/// Memory that the unfinished answers of a process may take together, so that upstreams that send
/// bytes without end harm only large answers.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace dewbeam::replies {

/// Memory in bytes for all unfinished answers. Thread-safe.
class answer_budget {
public:
    explicit answer_budget(std::size_t most_bytes) : m_most_bytes(most_bytes) {}

    /// Takes `bytes` of the budget. Returns false, taking nothing, if less is left.
    bool take(std::size_t bytes)
    {
        if (m_taken_bytes.fetch_add(bytes) + bytes <= m_most_bytes) {
            return true;
        }
        give_back(bytes);
        return false;
    }

    void give_back(std::size_t bytes) { m_taken_bytes.fetch_sub(bytes); }

private:
    std::size_t m_most_bytes;
    std::atomic<std::size_t> m_taken_bytes{0};
};

/// Held by each unfinished answer without taking from the budget, so that large answers don't end
/// small ones.
inline constexpr std::size_t unbudgeted_answer_bytes = 64UL * 1024;

/// What one answer has taken from a budget; given back at the end of its life. Not thread-safe.
class budget_share {
public:
    explicit budget_share(std::shared_ptr<answer_budget> budget) : m_budget(std::move(budget)) {}
    ~budget_share() { m_budget->give_back(m_bytes); }
    budget_share(const budget_share&) = delete;
    budget_share& operator=(const budget_share&) = delete;
    budget_share(budget_share&&) = delete;
    budget_share& operator=(budget_share&&) = delete;

    /// Takes or gives back what an answer that holds `held` bytes needs. Returns false, changing
    /// nothing, if the budget has too little left.
    bool resize(std::size_t held)
    {
        const auto wanted = held > unbudgeted_answer_bytes ? held : 0;
        if (wanted > m_bytes && !m_budget->take(wanted - m_bytes)) {
            return false;
        }
        if (wanted < m_bytes) {
            m_budget->give_back(m_bytes - wanted);
        }
        m_bytes = wanted;
        return true;
    }

private:
    std::shared_ptr<answer_budget> m_budget;
    std::size_t m_bytes = 0;
};

}  // namespace dewbeam::replies
