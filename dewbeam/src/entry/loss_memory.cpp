#include "dewbeam/src/entry/loss_memory.h"

namespace dewbeam::entry {

namespace {

constexpr std::chrono::minutes memory{10};
constexpr std::size_t most_contents = 65'536;

}  // namespace

bool loss_memory::note(fingerprint content, time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_forget_at, [now](const auto& item) { return item.second <= now; });
    if (m_forget_at.size() >= most_contents) {
        m_forget_at.erase(m_forget_at.begin());
    }
    const auto [place, is_new] = m_forget_at.try_emplace(content, now + memory);
    const bool is_another = !is_new && place->second != now + memory;
    place->second = now + memory;
    return is_another;
}

}  // namespace dewbeam::entry
