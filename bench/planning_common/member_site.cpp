#include "bench/planning_common/member_site.h"

#include <algorithm>
#include <chrono>

#include "dewbeam/src/entry/member_wire.h"

namespace dewbeam::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto step_span = 200ms;
constexpr std::size_t seeds = 5;
/// TCP, IP and ZeroMQ framing of a small message, without acknowledgements.
constexpr double framing_bytes = 60;

double microseconds_since(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
        .count();
}

double wire_bytes(const membership::gossip& message, time_point now)
{
    wire::Envelope envelope;
    envelope.set_sender(message.m_from.value());
    envelope.set_sender_incarnation(1'764'700'000'000'000);
    *envelope.mutable_gossip() = entry::to_wire(message, now);
    return static_cast<double>(envelope.ByteSizeLong()) + framing_bytes;
}

/// A record with its strings and its node in the map.
double memory_of(const membership::record& item)
{
    constexpr double map_node = 48;
    constexpr double string_and_allocation = 48;
    const auto& known = item.m_member;
    const double labels = 2 * string_and_allocation * static_cast<double>(known.m_labels.size()) +
                          64 * static_cast<double>(known.m_labels.size());
    return map_node + sizeof(host_id) + sizeof(membership::record) + 5 * string_and_allocation +
           labels + 2 * string_and_allocation * static_cast<double>(known.m_models.size());
}

}  // namespace

member_site::member_site(const site_size& size, std::uint64_t seed) : m_size(size), m_random(seed)
{
    for (std::uint32_t i = 0; i < size.m_entries; ++i) {
        add("entry-" + std::to_string(i), i, membership::role::entry);
    }
    for (std::uint32_t i = 0; i < size.m_agents; ++i) {
        add("upstream-" + std::to_string(i), i, membership::role::agent);
    }
    for (std::uint32_t i = 0; i < size.m_controls; ++i) {
        add("control-" + std::to_string(i), i, membership::role::control);
    }
}

void member_site::add(const std::string& host, std::uint32_t number, membership::role kind)
{
    membership::member self;
    self.m_host = host_id(host);
    self.m_failure_domain =
        failure_domain_id("domain-" + std::to_string(number % m_size.m_domains));
    self.m_role = kind;
    self.m_address = "tcp://10.20." + std::to_string(m_processes.size() / 200) + "." +
                     std::to_string(m_processes.size() % 200) + ":7401";
    self.m_incarnation = incarnation(1'764'700'000'000'000 + number);
    if (kind == membership::role::agent) {
        self.m_upstream = upstream_id("upstream-" + std::to_string(number));
        self.m_models = {model_id("model-" + std::to_string(number / m_size.m_domains % 5))};
        self.m_labels.set("pool", "chat");
        self.m_labels.set("ring", "stable");
        self.m_slots = 64;
    }
    membership::view_options options;
    for (std::size_t i = 0; i < std::min<std::size_t>(seeds, m_size.m_entries); ++i) {
        options.m_seeds.push_back("tcp://10.20.0." + std::to_string(i) + ":7401");
    }
    m_by_address[self.m_address] = m_processes.size();
    m_processes.push_back({membership::make_view(options, self, m_now)});
}

void member_site::run(time_span span)
{
    for (const auto end = m_now + span; m_now < end;) {
        step();
    }
}

void member_site::step()
{
    m_now += step_span;
    std::deque<flight> due;
    due.swap(m_flights);
    for (auto& item : due) {
        auto& receiver = m_processes[item.m_to];
        if (receiver.m_is_running) {
            const auto begin = std::chrono::steady_clock::now();
            auto out = membership::receive(receiver.m_view, item.m_message, m_now);
            receiver.m_processor_us += microseconds_since(begin);
            receiver.m_bytes_in += item.m_bytes;
            send(item.m_to, out);
        }
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        auto& item = m_processes[i];
        if (item.m_is_running) {
            if (item.m_view.m_self.m_role == membership::role::control) {
                membership::note_quorum(item.m_view, m_now);
            }
            const auto begin = std::chrono::steady_clock::now();
            auto out = membership::tick(item.m_view, m_now, m_random);
            item.m_processor_us += microseconds_since(begin);
            send(i, out);
        }
    }
}

void member_site::send(std::size_t from, membership::effects& out)
{
    for (auto& item : out.m_sends) {
        const auto place = m_by_address.find(item.m_address);
        if (place == m_by_address.end()) {
            continue;
        }
        const double bytes = wire_bytes(item.m_message, m_now);
        m_processes[from].m_bytes_out += bytes;
        m_processes[from].m_messages_out += 1;
        m_processes[from].m_targets.insert(place->second);
        m_flights.push_back({place->second, std::move(item.m_message), bytes});
    }
}

void member_site::clear_costs()
{
    m_measured_since = m_now;
    for (auto& item : m_processes) {
        item.m_bytes_out = item.m_bytes_in = item.m_messages_out = item.m_processor_us = 0;
        item.m_targets.clear();
    }
}

role_cost member_site::cost_of(membership::role kind) const
{
    role_cost sum;
    double count = 0;
    for (const auto& item : m_processes) {
        if (item.m_view.m_self.m_role != kind) {
            continue;
        }
        count += 1;
        sum.m_bytes_out += item.m_bytes_out;
        sum.m_bytes_in += item.m_bytes_in;
        sum.m_messages_out += item.m_messages_out;
        sum.m_processor_us += item.m_processor_us;
        sum.m_links += static_cast<double>(item.m_targets.size());
        for (const auto& [host, known] : item.m_view.m_records) {
            sum.m_view_bytes += memory_of(known);
        }
    }
    const double seconds = std::chrono::duration<double>(m_now - m_measured_since).count() * count;
    return {sum.m_bytes_out / seconds,    sum.m_bytes_in / seconds, sum.m_messages_out / seconds,
            sum.m_processor_us / seconds, sum.m_links / count,      sum.m_view_bytes / count};
}

void member_site::restart_one()
{
    auto& item = m_processes[uniform_below(m_random, m_processes.size())];
    auto self = item.m_view.m_self;
    self.m_incarnation = incarnation(self.m_incarnation.value() + 1'000'000);
    self.m_sequence = 0;
    self.m_leaving = false;
    item.m_view = membership::make_view(item.m_view.m_options, self, m_now);
}

std::size_t member_site::random_agent()
{
    return m_size.m_entries + uniform_below(m_random, m_size.m_agents);
}

template <class Known>
double member_site::milliseconds_until(const host_id& subject, Known is_known)
{
    const auto begin = m_now;
    const auto all_know = [&] {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const process& item) {
            const auto* known = membership::find(item.m_view, subject);
            return !membership::spreads(item.m_view.m_self.m_role) ||
                   (known != nullptr && is_known(known->m_member));
        });
    };
    while (!all_know() && m_now - begin < 60s) {
        step();
    }
    return std::chrono::duration<double, std::milli>(m_now - begin).count();
}

double member_site::milliseconds_until_leaving_is_known()
{
    auto& view = m_processes[random_agent()].m_view;
    membership::leave(view, m_now);
    return milliseconds_until(view.m_self.m_host,
                              [](const membership::member& item) { return item.m_leaving; });
}

double member_site::milliseconds_until_death_is_known()
{
    auto& item = m_processes[random_agent()];
    item.m_is_running = false;
    return milliseconds_until(item.m_view.m_self.m_host,
                              [](const membership::member& known) { return known.m_dead; });
}

reader_figures member_site::readers_of_agents(std::size_t subset) const
{
    reader_figures figures;
    std::map<host_id, std::size_t> readers;
    for (const auto& item : m_processes) {
        if (item.m_view.m_self.m_role == membership::role::entry) {
            const auto chosen = membership::choose_upstreams(item.m_view, subset);
            figures.m_upstreams_of_entry += static_cast<double>(chosen.size()) / m_size.m_entries;
            for (const auto& host : chosen) {
                ++readers[host];
            }
        }
    }
    for (const auto& [host, count] : readers) {
        figures.m_mean += static_cast<double>(count) / m_size.m_agents;
        figures.m_most = std::max(figures.m_most, count);
    }
    return figures;
}

double ping_size()
{
    wire::Envelope envelope;
    envelope.set_sender("upstream-619");
    envelope.set_sender_incarnation(1'764'700'000'000'000);
    envelope.mutable_ping()->set_nonce(1);
    return 2 * (static_cast<double>(envelope.ByteSizeLong()) + framing_bytes);
}

double report_size()
{
    membership::member_load load;
    load.m_running = 40;
    load.m_waiting = 3;
    load.m_free_kv = {400'000};
    load.m_total_kv = {900'000};
    load.m_step_time = 6ms;
    load.m_skew = 1.07;
    load.m_event_sequence = 1'000'000;
    wire::Envelope envelope;
    envelope.set_sender("upstream-619");
    envelope.set_sender_incarnation(1'764'700'000'000'000);
    auto& announcement = *envelope.mutable_announcement();
    announcement.set_host("upstream-619");
    announcement.set_incarnation(1'764'700'000'000'000);
    *announcement.mutable_report() = entry::to_wire(load, time_point{} + 1s);
    return static_cast<double>(envelope.ByteSizeLong()) + framing_bytes;
}

}  // namespace dewbeam::bench
