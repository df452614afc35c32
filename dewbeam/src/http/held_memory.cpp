#include "dewbeam/src/http/held_memory.h"

#include <algorithm>

namespace dewbeam::http {

std::size_t memory_budget::held_bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_held_bytes;
}

void memory_budget::enforce()
{
    while (m_held_bytes - m_leaving_bytes > m_most_bytes) {
        const auto most = std::max_element(
            m_holders.begin(), m_holders.end(), [](const held_memory& a, const held_memory& b) {
                return (a.m_must_free ? 0 : a.freeable()) < (b.m_must_free ? 0 : b.freeable());
            });
        if (most == m_holders.end() || most->m_must_free || most->freeable() == 0) {
            return;  // the rest is freed by the answers to what runs
        }
        most->m_must_free = true;
        most->update_share();
        most->m_free_some();
    }
}

held_memory::held_memory(std::shared_ptr<memory_budget> budget, std::function<void()> free_some)
    : m_budget(std::move(budget)), m_free_some(std::move(free_some))
{
}

held_memory::~held_memory()
{
    const std::lock_guard lock(m_budget->m_mutex);
    m_reading = m_request = m_answer = 0;
    update_share();
}

void held_memory::set(part which, std::size_t bytes)
{
    const std::lock_guard lock(m_budget->m_mutex);
    bytes_of(which) = bytes;
    update_share();
    m_budget->enforce();
}

bool held_memory::begin_request(std::size_t bytes)
{
    const std::lock_guard lock(m_budget->m_mutex);
    m_reading = 0;
    m_request = m_must_free ? 0 : bytes;
    update_share();
    m_budget->enforce();
    return !m_must_free;
}

bool held_memory::must_free() const
{
    const std::lock_guard lock(m_budget->m_mutex);
    return m_must_free;
}

std::size_t& held_memory::bytes_of(part which)
{
    switch (which) {
        case part::reading:
            return m_reading;
        case part::request:
            return m_request;
        case part::answer:
            break;
    }
    return m_answer;
}

/// Brings the budget's sums up to date with what the connection holds.
void held_memory::update_share()
{
    const auto share = total() > unbudgeted_connection_bytes ? total() : 0;
    const auto leaving = m_must_free ? std::min(share, freeable()) : 0;
    m_budget->m_held_bytes += share - m_share;
    m_budget->m_leaving_bytes += leaving - m_leaving;
    if (share > 0 && !is_linked()) {
        m_budget->m_holders.push_back(*this);
    }
    else if (share == 0 && is_linked()) {
        m_budget->m_holders.erase(memory_budget::holder_list::s_iterator_to(*this));
    }
    m_share = share;
    m_leaving = leaving;
}

}  // namespace dewbeam::http
