#include "dewbeam/src/membership/reports.h"

#include <algorithm>
#include <tuple>

namespace dewbeam::membership {

namespace {

/// An agent that serves one model, and its place in the entry's rendezvous.
struct offer {
    model_id m_model;  ///< empty: a plain service
    std::uint64_t m_score = 0;
    host_id m_host;
};

std::vector<offer> offers_in(const view& state)
{
    std::vector<offer> offers;
    const auto own = stable_hash(state.m_self.m_host.value());
    for (const auto& [host, item] : state.m_records) {
        const auto& agent = item.m_member;
        const bool is_usable = agent.m_role == role::agent && !agent.m_dead && !agent.m_leaving &&
                               agent.m_failure_domain == state.m_self.m_failure_domain;
        if (!is_usable) {
            continue;
        }
        const auto score = combine_hash(own, item.m_hash);
        for (const auto& model : agent.m_models) {
            offers.push_back({model, score, host});
        }
        if (agent.m_models.empty()) {
            const auto service = agent.m_labels.find("service");
            offers.push_back({model_id(service == nullptr ? "" : *service), score, host});
        }
    }
    return offers;
}

}  // namespace

bool subscribe(report_readers& state, const std::string& address, time_point deadline,
               time_point now)
{
    readers_at(state, now);
    const auto place = std::lower_bound(
        state.m_readers.begin(), state.m_readers.end(), address,
        [](const report_reader& a, const std::string& b) { return a.m_address < b; });
    if (place != state.m_readers.end() && place->m_address == address) {
        place->m_deadline = std::max(place->m_deadline, deadline);
        return true;
    }
    if (state.m_readers.size() >= state.m_most) {
        return false;
    }
    state.m_readers.insert(place, {address, deadline});
    return true;
}

std::vector<std::string> readers_at(report_readers& state, time_point now)
{
    std::erase_if(state.m_readers,
                  [now](const report_reader& item) { return item.m_deadline <= now; });
    std::vector<std::string> addresses;
    for (const auto& item : state.m_readers) {
        addresses.push_back(item.m_address);
    }
    return addresses;
}

std::vector<host_id> choose_upstreams(const view& state, std::size_t size)
{
    auto offers = offers_in(state);
    std::sort(offers.begin(), offers.end(), [](const offer& a, const offer& b) {
        return std::tie(a.m_model, b.m_score, a.m_host) < std::tie(b.m_model, a.m_score, b.m_host);
    });
    std::vector<host_id> chosen;
    std::size_t taken = 0;
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const bool is_next_model = i == 0 || offers[i].m_model != offers[i - 1].m_model;
        taken = is_next_model ? 0 : taken;
        if (taken < size) {
            chosen.push_back(offers[i].m_host);
            ++taken;
        }
    }
    std::sort(chosen.begin(), chosen.end());
    chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
    return chosen;
}

}  // namespace dewbeam::membership
