/// \file
/// The membership protocol: heartbeats to a few watchers, gossip of changes, digests.
///
/// Each member renews its lease at the entries that come first for it by rendezvous hashing, in
/// its own failure domain. These watch it; everybody else hears of changes alone. Entries and
/// controls pass changes on and compare digests; agents only know their domain's entries and
/// controls. How recently each domain and a majority of control were heard travels along.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/membership/view.h"

namespace dewbeam::membership {

/// A lease renewed without saying anything new.
struct heartbeat {
    incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
};

/// One message between two processes. Ages are turned into time points at the receiver.
struct gossip {
    host_id m_from;
    failure_domain_id m_failure_domain;
    role m_role = role::entry;
    std::string m_reply_to;  ///< the sender's link address
    std::optional<heartbeat> m_heartbeat;
    std::vector<member> m_deltas;
    std::optional<std::uint64_t> m_digest;
    std::optional<std::uint64_t> m_domain_digest;  ///< of the domain's entries and controls
    std::optional<part_digests> m_parts;
    bool m_is_parts_answer = false;
    bool m_wants_domain = false;  ///< asks for the domain's entries and controls
    bool m_wants_self = false;    ///< asks for the receiver's whole announcement
    std::vector<domain_contact> m_contacts;
    std::optional<time_point> m_quorum_heard_at;
};

/// A message and where it goes.
struct outgoing {
    std::string m_address;
    gossip m_message;
};

/// What a call leads to.
struct effects {
    std::vector<outgoing> m_sends;
    std::vector<member> m_changes;       ///< what the view learned, in order
    bool m_has_new_incarnation = false;  ///< the own one was held dead; use the view's from now on
    bool m_is_superseded = false;        ///< a later process runs under the same name
};

/// Changes what this process says of itself; host, incarnation and sequence are kept by the view.
void announce_self(view& state, const member& self, time_point now);

/// Says that this process takes no new work; call `tick` at once to spread it.
void leave(view& state, time_point now);

/// Takes a message in.
effects receive(view& state, const gossip& message, time_point now);

/// Puts off the leases that this process keeps: for so long it read nothing of what the others
/// sent.
void put_off_leases(view& state, time_span held_up, time_point now);

/// Does what is due; call it at least every `m_gossip`.
effects tick(view& state, time_point now, random_engine& random);

}  // namespace dewbeam::membership
