/// \file
/// Many members in one process and in virtual time, with the bytes that they would send.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "dewbeam/membership"

namespace dewbeam::bench {

/// How many of each there are.
struct site_size {
    std::uint32_t m_entries = 0;
    std::uint32_t m_agents = 0;
    std::uint32_t m_domains = 1;
    std::uint32_t m_controls = 0;
};

/// What one member of a role costs in a second, on average.
struct role_cost {
    double m_bytes_out = 0;
    double m_bytes_in = 0;
    double m_messages_out = 0;
    double m_processor_us = 0;  ///< real time in the decisions alone
    double m_links = 0;         ///< distinct processes that messages went to
    double m_view_bytes = 0;    ///< memory of the view, estimated from its records
};

/// Who reads the load reports of the agents.
struct reader_figures {
    double m_mean = 0;
    std::size_t m_most = 0;
    double m_upstreams_of_entry = 0;
};

/// All members of a site.
class member_site {
public:
    member_site(const site_size& size, std::uint64_t seed);

    void run(time_span span);
    void clear_costs();
    [[nodiscard]] role_cost cost_of(membership::role kind) const;

    /// Ends a random member and starts it again under a new incarnation.
    void restart_one();
    /// An agent leaves; virtual time until all entries and controls know.
    double milliseconds_until_leaving_is_known();
    /// An agent falls silent; virtual time until all entries and controls hold it dead.
    double milliseconds_until_death_is_known();

    [[nodiscard]] reader_figures readers_of_agents(std::size_t subset) const;

private:
    struct process {
        membership::view m_view;
        bool m_is_running = true;
        double m_bytes_out = 0;
        double m_bytes_in = 0;
        double m_messages_out = 0;
        double m_processor_us = 0;
        std::set<std::size_t> m_targets{};
    };

    struct flight {
        std::size_t m_to = 0;
        membership::gossip m_message;
        double m_bytes = 0;
    };

    void add(const std::string& host, std::uint32_t number, membership::role kind);
    void step();
    void send(std::size_t from, membership::effects& out);
    std::size_t random_agent();
    template <class Known>
    double milliseconds_until(const host_id& subject, Known is_known);

    site_size m_size;
    random_engine m_random;
    std::vector<process> m_processes;
    std::map<std::string, std::size_t> m_by_address;
    std::deque<flight> m_flights;
    time_point m_now{};
    time_point m_measured_since{};
};

/// Bytes of one load report in its envelope.
double report_size();

/// Bytes of one ping and its answer on a link.
double ping_size();

}  // namespace dewbeam::bench
