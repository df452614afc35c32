/// \file
/// The memory that callers make a process hold: requests that come, wait and run, and answers that
/// are not read. Counted over all servers of a process, so that no crowd of callers exhausts it.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>

#include "dewbeam/base"

namespace dewbeam::http {

class memory_budget;

/// Memory that each connection may hold without a share of the budget, so that large requests don't
/// end small ones.
inline constexpr std::size_t unbudgeted_connection_bytes = 4UL * 1024;

/// Memory of a process for all its callers, if nothing else is set.
inline constexpr std::size_t default_memory_bytes = 48UL * 1024 * 1024;

/// What one connection holds. Thread-safe.
class held_memory : public boost::intrusive::list_base_hook<> {
public:
    /// What the memory holds.
    enum class part {
        reading,  ///< a request that is not whole yet, also one that is sent ahead of an answer
        request,  ///< one that runs or waits; freed only by its answer
        answer,   ///< bytes that the caller hasn't taken yet
    };

    /// `free_some` is called once, under a lock, when the connection is told to free what it can:
    /// it ends the request that is being read, or the answer. It must only queue that work.
    held_memory(std::shared_ptr<memory_budget> budget, std::function<void()> free_some);
    ~held_memory();
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;
    held_memory(held_memory&&) = delete;
    held_memory& operator=(held_memory&&) = delete;

    /// Sets what a part holds now.
    void set(part which, std::size_t bytes);

    /// Makes a request that was read whole one that runs. Returns false if the connection was told
    /// to free it before.
    bool begin_request(std::size_t bytes);

    /// Whether the connection was told to free what it can.
    [[nodiscard]] bool must_free() const;

private:
    friend class memory_budget;
    [[nodiscard]] std::size_t total() const { return m_reading + m_request + m_answer; }
    [[nodiscard]] std::size_t freeable() const { return m_reading + m_answer; }
    std::size_t& bytes_of(part which);
    void update_share();

    const std::shared_ptr<memory_budget> m_budget;
    const std::function<void()> m_free_some;
    // Guarded by the budget's mutex:
    std::size_t m_reading = 0;
    std::size_t m_request = 0;
    std::size_t m_answer = 0;
    std::size_t m_share = 0;    ///< counted in the budget
    std::size_t m_leaving = 0;  ///< of the share, what it was told to free
    bool m_must_free = false;
};

/// Bounds the memory of all connections together. When it is exceeded, the connection that holds
/// most is told to free what it can. Thread-safe.
class memory_budget {
public:
    explicit memory_budget(std::size_t most_bytes) : m_most_bytes(most_bytes) {}

    /// Bytes that are held now, those of small connections left out.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    friend class held_memory;
    using holder_list = boost::intrusive::list<held_memory>;

    /// Has connections free memory until what the others hold is within the budget.
    void enforce();

    const std::size_t m_most_bytes;
    mutable std::mutex m_mutex;
    std::size_t m_held_bytes = 0;
    std::size_t m_leaving_bytes = 0;  ///< of connections that were told to free them
    holder_list m_holders;            ///< connections that have a share
};

}  // namespace dewbeam::http
