/// \file
/// Contents that were running when the link to an agent was lost.
///
/// Most lost links are caused by a lost host or a network partition rather than by a content, so
/// the first loss does not make a content suspect: it is retried elsewhere at once. A content that
/// meets a second loss is treated as if it had crashed its upstream. An upstream that continues in
/// the same incarnation did not crash, so its losses are forgotten.
#pragma once

#include <compare>
#include <map>
#include <mutex>
#include <string>

#include "dewbeam/base"

namespace dewbeam::entry {

/// One incarnation of the upstream behind an agent. The agent chooses a new one at each start of
/// its own and of the upstream.
struct upstream_process {
    std::string m_address;  ///< of the agent's link
    incarnation m_incarnation;

    friend auto operator<=>(const upstream_process&, const upstream_process&) = default;
};

/// The recent losses that one entry has seen. Thread-safe; bounded in size.
class link_loss_history {
public:
    /// Records a loss. Returns true if the content met an earlier loss that has not expired. Losses
    /// recorded at the same time count as one.
    bool note(fingerprint content, const upstream_process& where, time_point now);

    /// Forgets the losses up to `seen_at` at an upstream that was running in this incarnation then.
    void forget(const upstream_process& where, time_point seen_at);

private:
    using contents = std::map<fingerprint, time_point>;  ///< with the expiry of each loss

    void expire(time_point now);
    void make_room();

    std::mutex m_mutex;
    std::map<upstream_process, contents> m_losses;  ///< has no empty values
};

}  // namespace dewbeam::entry
