/// \file
/// Contents that were running when the link to an agent was lost.
///
/// A lost link is mostly a lost host or a cut, which no content caused, so the first loss makes
/// no suspect: what ran there goes on elsewhere at once. A content that meets a second loss is
/// treated as one that ended its upstream.
#pragma once

#include <map>
#include <mutex>

#include "dewbeam/base"

namespace dewbeam::entry {

/// The memory of one entry. Thread-safe; bounded.
class loss_memory {
public:
    /// Notes a loss; true where the content met another one before, not long ago. Losses noted at
    /// the same time are one.
    bool note(fingerprint content, time_point now);

private:
    std::mutex m_mutex;
    std::map<fingerprint, time_point> m_forget_at;
};

}  // namespace dewbeam::entry
