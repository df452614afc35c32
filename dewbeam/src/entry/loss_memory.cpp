#include "dewbeam/src/entry/loss_memory.h"

#include <algorithm>
#include <optional>

namespace dewbeam::entry {

namespace {

constexpr std::chrono::minutes memory{10};
constexpr std::size_t most_losses = 65'536;

}  // namespace

bool loss_memory::note(fingerprint content, const upstream_life& where, time_point now)
{
    const std::lock_guard lock(m_mutex);
    expire(now);
    std::optional<time_point> newest;
    for (const auto& [life, lost] : m_losses) {
        const auto place = lost.find(content);
        if (place != lost.end()) {
            newest = std::max(newest, std::optional(place->second));
        }
    }
    make_room();
    m_losses[where][content] = now + memory;
    return newest && *newest != now + memory;
}

void loss_memory::forget(const upstream_life& where, time_point seen_at)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_losses.find(where);
    if (place == m_losses.end()) {
        return;
    }
    std::erase_if(place->second, [&](const auto& item) { return item.second - memory <= seen_at; });
    if (place->second.empty()) {
        m_losses.erase(place);
    }
}

void loss_memory::expire(time_point now)
{
    for (auto& [life, lost] : m_losses) {
        std::erase_if(lost, [now](const auto& item) { return item.second <= now; });
    }
    std::erase_if(m_losses, [](const auto& item) { return item.second.empty(); });
}

void loss_memory::make_room()
{
    std::size_t size = 0;
    for (const auto& [life, lost] : m_losses) {
        size += lost.size();
    }
    if (size < most_losses) {
        return;
    }
    const auto first = m_losses.begin();
    first->second.erase(first->second.begin());
    if (first->second.empty()) {
        m_losses.erase(first);
    }
}

}  // namespace dewbeam::entry
