#include "dewbeam/src/entry/link_loss_history.h"

#include <algorithm>
#include <optional>

namespace dewbeam::entry {

namespace {

constexpr std::chrono::minutes loss_retention{10};
constexpr std::size_t max_losses = 65'536;

}  // namespace

bool link_loss_history::note(fingerprint content, const upstream_process& where, time_point now)
{
    const std::lock_guard lock(m_mutex);
    expire(now);
    std::optional<time_point> newest;
    for (const auto& [process, lost] : m_losses) {
        const auto place = lost.find(content);
        if (place != lost.end()) {
            newest = std::max(newest, std::optional(place->second));
        }
    }
    make_room();
    m_losses[where][content] = now + loss_retention;
    return newest && *newest != now + loss_retention;
}

void link_loss_history::forget(const upstream_process& where, time_point seen_at)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_losses.find(where);
    if (place == m_losses.end()) {
        return;
    }
    std::erase_if(place->second,
                  [&](const auto& item) { return item.second - loss_retention <= seen_at; });
    if (place->second.empty()) {
        m_losses.erase(place);
    }
}

void link_loss_history::expire(time_point now)
{
    for (auto& [process, lost] : m_losses) {
        std::erase_if(lost, [now](const auto& item) { return item.second <= now; });
    }
    std::erase_if(m_losses, [](const auto& item) { return item.second.empty(); });
}

void link_loss_history::make_room()
{
    std::size_t size = 0;
    for (const auto& [process, lost] : m_losses) {
        size += lost.size();
    }
    if (size < max_losses) {
        return;
    }
    const auto first = m_losses.begin();
    first->second.erase(first->second.begin());
    if (first->second.empty()) {
        m_losses.erase(first);
    }
}

}  // namespace dewbeam::entry
