#include <algorithm>

#include "dewbeam/src/consensus/step.h"

namespace dewbeam::consensus::internal {

namespace {

void confirm(context& at, pending_read& read)
{
    auto& self = at.m_self;
    read.m_index = self.m_commit;
    read.m_round = ++self.m_round;
}

void finish_read(context& at, const pending_read& read, bool granted)
{
    auto& self = at.m_self;
    if (read.m_origin == self.m_self.m_id) {
        at.m_out.m_reads.push_back({read.m_token, granted, read.m_index});
        return;
    }
    auto answer = make_message(self, message_kind::read_reply, read.m_origin);
    answer.m_round = read.m_token;
    answer.m_granted = granted;
    answer.m_commit = read.m_index;
    at.m_out.m_messages.push_back(std::move(answer));
}

bool is_confirmed(const replica& self, const pending_read& read)
{
    std::size_t count = is_voter(self) ? 1 : 0;
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_votes && peer.m_round >= read.m_round) {
            ++count;
        }
    }
    return read.m_round > 0 && is_majority(self, count);
}

}  // namespace

void start_read(context& at, replica_id origin, std::uint64_t token)
{
    auto& self = at.m_self;
    self.m_reads.push_back({token, origin, 0, 0});
    if (self.m_commit >= self.m_term_start) {
        confirm(at, self.m_reads.back());
        answer_reads(at);
        broadcast(at);
    }
}

void start_waiting_reads(context& at)
{
    auto& self = at.m_self;
    if (self.m_commit < self.m_term_start) {
        return;
    }
    for (auto& read : self.m_reads) {
        if (read.m_round == 0) {
            confirm(at, read);
        }
    }
    answer_reads(at);
}

void answer_reads(context& at)
{
    auto& reads = at.m_self.m_reads;
    const auto first_open = std::stable_partition(
        reads.begin(), reads.end(),
        [&](const pending_read& read) { return is_confirmed(at.m_self, read); });
    for (auto place = reads.begin(); place != first_open; ++place) {
        finish_read(at, *place, true);
    }
    reads.erase(reads.begin(), first_open);
}

void refuse_reads(context& at)
{
    for (const auto& read : at.m_self.m_reads) {
        finish_read(at, read, false);
    }
    at.m_self.m_reads.clear();
}

}  // namespace dewbeam::consensus::internal
