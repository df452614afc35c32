#include "dewbeam/src/entry/membership_runner.h"

#include <iterator>
#include <utility>

#include "dewbeam/src/entry/member_wire.h"

namespace dewbeam::entry {

namespace {

/// How long an agent sends load reports to an entry after its last request for them.
constexpr time_span report_interest = std::chrono::seconds(15);

/// Whether two announcements are equal in all fields that `announce` copies.
bool has_same_announcement(const membership::member& a, const membership::member& b)
{
    return a.m_http_address == b.m_http_address && a.m_leaving == b.m_leaving &&
           a.m_upstream == b.m_upstream && a.m_labels == b.m_labels && a.m_models == b.m_models &&
           a.m_slots == b.m_slots && a.m_upstream_life == b.m_upstream_life;
}

}  // namespace

membership_runner::membership_runner(const membership::view_options& options,
                                     const membership::member& self, membership_hooks hooks,
                                     std::uint64_t seed, time_point now)
    : m_hooks(std::move(hooks)),
      m_view(membership::make_view(options, self, now)),
      m_random(seed),
      m_tick_at(now)
{
}

bool membership_runner::take(const wire::Envelope& message, time_point now)
{
    if (message.has_announcement() && message.announcement().has_report()) {
        const auto& source = message.announcement();
        if (m_hooks.m_on_report) {
            m_hooks.m_on_report({host_id(message.sender()), incarnation(source.upstream_life()),
                                 from_wire(source.report(), now)});
        }
        return true;
    }
    if (!message.has_gossip()) {
        return false;
    }
    membership::effects out;
    {
        const std::lock_guard lock(m_mutex);
        const auto received = from_wire(message.gossip(), host_id(message.sender()), now);
        if (message.gossip().wants_reports()) {
            membership::subscribe(m_readers, received.m_reply_to, now + report_interest, now);
            return true;
        }
        out = membership::receive(m_view, received, now);
        queue_changes(out);
    }
    perform(out, now);
    return true;
}

void membership_runner::tick(time_point now)
{
    membership::effects out;
    {
        const std::lock_guard lock(m_mutex);
        if (now < m_tick_at) {
            return;
        }
        m_tick_at = now + m_view.m_options.m_gossip;
        if (m_hooks.m_held_up) {
            membership::put_off_leases(m_view, take_growth(m_link_delay, m_hooks.m_held_up()), now);
        }
        out = membership::tick(m_view, now, m_random);
        queue_changes(out);
    }
    perform(out, now);
}

void membership_runner::announce(const membership::member& self, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (has_same_announcement(self, m_view.m_self)) {
        return;
    }
    auto renewed = m_view.m_self;
    renewed.m_http_address = self.m_http_address;
    renewed.m_leaving = renewed.m_leaving || self.m_leaving;
    renewed.m_upstream = self.m_upstream;
    renewed.m_labels = self.m_labels;
    renewed.m_models = self.m_models;
    renewed.m_slots = self.m_slots;
    renewed.m_upstream_life = self.m_upstream_life;
    membership::announce_self(m_view, renewed, now);
    m_tick_at = now;
}

void membership_runner::leave(time_point now)
{
    {
        const std::lock_guard lock(m_mutex);
        membership::leave(m_view, now);
        m_tick_at = now;
    }
    tick(now);
}

void membership_runner::note_quorum(time_point now)
{
    const std::lock_guard lock(m_mutex);
    membership::note_quorum(m_view, now);
}

void membership_runner::report(const membership::member_load& load,
                               incarnation upstream_incarnation, time_point now)
{
    wire::Envelope message;
    std::vector<std::string> readers;
    {
        const std::lock_guard lock(m_mutex);
        readers = membership::readers_at(m_readers, now);
        message.mutable_announcement()->set_host(m_view.m_self.m_host.value());
        message.mutable_announcement()->set_incarnation(m_view.m_self.m_incarnation.value());
    }
    message.mutable_announcement()->set_upstream_life(upstream_incarnation.value());
    *message.mutable_announcement()->mutable_report() = to_wire(load, now);
    for (const auto& address : readers) {
        send(address, message);
    }
}

void membership_runner::request_load_reports(std::size_t size)
{
    wire::Envelope message;
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& host : membership::choose_upstreams(m_view, size)) {
            addresses.push_back(membership::find(m_view, host)->m_member.m_address);
        }
        message.mutable_gossip()->set_reply_to(m_view.m_self.m_address);
        message.mutable_gossip()->set_failure_domain(m_view.m_self.m_failure_domain.value());
    }
    message.mutable_gossip()->set_wants_reports(true);
    for (const auto& address : addresses) {
        send(address, message);
    }
}

std::vector<membership::member> membership_runner::members() const
{
    const std::lock_guard lock(m_mutex);
    return membership::members(m_view);
}

membership::reachability membership_runner::reach(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return membership::reach(m_view, now);
}

nlohmann::json membership_runner::reach_json(time_point now) const
{
    const auto heard = reach(now);
    nlohmann::json domains = nlohmann::json::object();
    for (const auto& item : heard.m_domains) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - item.m_heard_at);
        domains[item.m_name.value()] = {{"reachable", item.m_is_reachable},
                                        {"heard_ms_ago", age.count()}};
    }
    return {{"cut_off", heard.m_is_cut_off},
            {"hears_control_quorum", heard.m_hears_quorum},
            {"hears_own_domain", heard.m_hears_own_domain},
            {"failure_domains", domains}};
}

void membership_runner::perform(membership::effects& out, time_point now)
{
    for (const auto& item : out.m_sends) {
        wire::Envelope message;
        *message.mutable_gossip() = to_wire(item.m_message, now);
        send(item.m_address, std::move(message));
    }
    if (out.m_has_new_incarnation && m_hooks.m_on_new_incarnation) {
        m_hooks.m_on_new_incarnation(own_incarnation());
    }
    if (out.m_is_superseded && m_hooks.m_on_superseded) {
        m_hooks.m_on_superseded();
    }
    deliver_changes();
}

/// Queues the changes that the view reported. Called with the lock held.
void membership_runner::queue_changes(membership::effects& out)
{
    std::move(out.m_changes.begin(), out.m_changes.end(), std::back_inserter(m_undelivered));
}

/// Delivers the queued changes, unless another thread is already doing so. If two threads delivered
/// their own changes, these could arrive in the wrong order, and the program would keep treating a
/// member as suspect although the view has cleared it.
void membership_runner::deliver_changes()
{
    std::unique_lock lock(m_mutex);
    if (m_is_delivering) {
        return;
    }
    m_is_delivering = true;
    while (!m_undelivered.empty()) {
        const auto change = std::move(m_undelivered.front());
        m_undelivered.pop_front();
        if (m_hooks.m_on_change) {
            lock.unlock();
            m_hooks.m_on_change(change);
            lock.lock();
        }
    }
    m_is_delivering = false;
}

incarnation membership_runner::own_incarnation() const
{
    const std::lock_guard lock(m_mutex);
    return m_view.m_self.m_incarnation;
}

void membership_runner::send(const std::string& address, wire::Envelope message)
{
    m_hooks.m_send(address, std::move(message));
}

}  // namespace dewbeam::entry
