// Simulates how fast a new revision reaches every gateway over links of limited bandwidth.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <vector>

#include "dewbeam/src/registrar/registry_feed.h"
#include "dewbeam/src/registrar/revision_update.h"

namespace dewbeam::registrar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double registry_rate = 170e6 / 8;  // bytes a second
constexpr double gateway_rate = 40e6 / 8;
constexpr time_span one_way = milliseconds(1);
constexpr time_span step = milliseconds(5);
constexpr time_span feed_tick = milliseconds(20);
/// Maximum time from the acknowledgement of a revision until every gateway has it.
constexpr time_span apply_limit = milliseconds(2500);

/// A link that transmits messages sequentially at a fixed rate.
struct uplink {
    double m_rate = 0.0;
    time_point m_free_at{};

    time_point transmit(std::size_t bytes, time_point now)
    {
        const auto span = std::chrono::duration<double>(static_cast<double>(bytes) / m_rate);
        m_free_at = std::max(m_free_at, now) + std::chrono::duration_cast<time_span>(span);
        return m_free_at;
    }
};

struct delivery {
    time_point m_at{};
    std::uint64_t m_order = 0;
    std::size_t m_from = 0;  ///< registry
    std::size_t m_to = 0;    ///< gateway
    wire::Envelope m_message;

    friend bool operator<(const delivery& a, const delivery& b)
    {
        return a.m_at != b.m_at ? a.m_at > b.m_at : a.m_order > b.m_order;
    }
};

struct simulated_registry {
    std::string m_address;
    uplink m_link{registry_rate};
    revisions::revision_store m_held;
    revision_update m_news;
    bool m_is_unresponsive = false;  ///< receives everything but answers nothing
    std::uint64_t m_documents = 0;
};

struct simulated_gateway {
    std::unique_ptr<registry_feed> m_feed;
    uplink m_link{gateway_rate};
};

std::string document(std::size_t routes, std::uint64_t seed)
{
    random_engine random(seed);
    std::string result = R"({"routes":[)";
    for (std::size_t i = 0; i < routes; ++i) {
        const auto name = std::to_string(uniform_below(random, 1'000'000'000));
        result += R"({"name":"r-)" + name + R"(","host":"h)" + name.substr(0, 3) +
                  R"(.example","path-prefix":"/p)" + name +
                  R"(/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,)" +
                  R"("priority":1,"service":"s)" + name.substr(0, 1) +
                  R"(","max-attempts":2,"allow-anonymous":false,"session-affinity":true,)" +
                  R"("stream-resume":true,"gap-aim-ms":120},)";
    }
    return result + "{}]}";
}

/// Simulated registries and the gateways that watch them.
class deployment {
public:
    deployment(std::size_t registries, std::size_t gateways)
    {
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < registries; ++i) {
            m_registries.emplace_back();
            m_registries.back().m_address = "tcp://10.0.0." + std::to_string(i + 1) + ":7000";
            seeds.push_back(m_registries.back().m_address);
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            m_gateways.emplace_back();
            feed_handlers handlers;
            handlers.m_send = [this, i](const std::string& address, wire::Envelope&& message) {
                send_watch(i, address, message);
            };
            handlers.m_follow_log = [](log_id) {};
            handlers.m_on_upstream = [](const registry::record&) {};
            handlers.m_on_revision = [](const revisions::revision&, const std::string&) {
                return true;
            };
            handlers.m_on_load = [](const std::string&, std::uint32_t) {};
            handlers.m_on_slowdown = [](const std::string&, double) {};
            handlers.m_on_loads_end = [] {};
            handlers.m_on_gateways = [](std::uint32_t) {};
            m_gateways.back().m_feed =
                std::make_unique<registry_feed>(seeds, feed_options{}, std::move(handlers));
        }
    }

    /// The registry at `place` applies a revision and sends every gateway its number.
    void apply_revision(std::size_t place, std::uint64_t number, const std::string& content)
    {
        auto& subject = m_registries[place];
        revisions::apply(subject.m_held, {revisions::revision_number(number), content});
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            answer(place, i, {});
        }
    }

    void run_for(time_span span)
    {
        for (const auto end = m_now + span; m_now < end; m_now += step) {
            while (!m_deliveries.empty() && m_deliveries.top().m_at <= m_now) {
                const auto item = m_deliveries.top();
                m_deliveries.pop();
                m_gateways[item.m_to].m_feed->take({m_registries[item.m_from].m_address, {}},
                                                   item.m_message, m_now);
            }
            if (m_now >= m_next_tick) {
                m_next_tick = m_now + feed_tick;
                for (auto& gateway : m_gateways) {
                    gateway.m_feed->tick({}, {}, m_now);
                }
            }
        }
    }

    [[nodiscard]] std::size_t count_outdated(std::uint64_t number) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_gateways.begin(), m_gateways.end(),
            [&](const auto& gateway) { return gateway.m_feed->revision().value() < number; }));
    }

    [[nodiscard]] std::uint64_t documents() const
    {
        std::uint64_t result = 0;
        for (const auto& subject : m_registries) {
            result += subject.m_documents;
        }
        return result;
    }

    std::vector<simulated_registry> m_registries;

private:
    void send_watch(std::size_t gateway, const std::string& address, const wire::Envelope& message)
    {
        for (std::size_t i = 0; i < m_registries.size(); ++i) {
            if (m_registries[i].m_address == address && !m_registries[i].m_is_unresponsive) {
                answer(i, gateway, message.watch());
            }
        }
    }

    void answer(std::size_t place, std::size_t gateway, const wire::Watch& watch)
    {
        auto& subject = m_registries[place];
        delivery item;
        item.m_message.set_log(1);
        auto& news = *item.m_message.mutable_watch_news();
        news.set_registry_life(1);
        subject.m_news.put(subject.m_held, time_span::zero(), watch, news);
        subject.m_documents += news.has_revision() ? 1 : 0;
        const auto bytes = item.m_message.ByteSizeLong();
        const auto sent_at = subject.m_link.transmit(bytes, m_now + one_way);
        item.m_at = m_gateways[gateway].m_link.transmit(bytes, sent_at) + one_way;
        item.m_order = ++m_last_order;
        item.m_from = place;
        item.m_to = gateway;
        m_deliveries.push(std::move(item));
    }

    time_point m_now{seconds(100)};
    time_point m_next_tick{};
    std::uint64_t m_last_order = 0;
    std::vector<simulated_gateway> m_gateways;
    std::priority_queue<delivery> m_deliveries;
};

/// Applies a revision at all registries, 10 ms apart: followers apply an entry only at the leader's
/// next heartbeat.
void apply_at_all_registries(deployment& subject, std::uint64_t number, const std::string& content)
{
    for (std::size_t i = 0; i < subject.m_registries.size(); ++i) {
        subject.apply_revision(i, number, content);
        subject.run_for(milliseconds(10));
    }
}

TEST(revision_spread, changes_of_a_large_configuration_in_a_row_are_in_force_in_time)
{
    deployment subject(6, 42);
    const auto content = document(5840, 1);
    apply_at_all_registries(subject, 1, content);
    subject.run_for(seconds(10));
    ASSERT_EQ(subject.count_outdated(1), 0U);
    std::uint64_t last = 1;
    for (int i = 0; i < 66; ++i) {
        apply_at_all_registries(subject, ++last, content);
    }
    subject.run_for(apply_limit);
    EXPECT_EQ(subject.count_outdated(last), 0U) << "gateways that hold an older revision";
}

TEST(revision_spread, a_document_that_is_on_its_way_is_not_fetched_again)
{
    deployment subject(6, 42);
    apply_at_all_registries(subject, 1, document(5840, 1));
    subject.run_for(seconds(10));
    ASSERT_EQ(subject.count_outdated(1), 0U);
    const auto before = subject.documents();
    apply_at_all_registries(subject, 2, document(5840, 2));
    subject.run_for(apply_limit);
    EXPECT_EQ(subject.count_outdated(2), 0U);
    EXPECT_EQ(subject.documents() - before, 42U) << "one for each gateway";
}

TEST(revision_spread, a_registry_that_falls_silent_delays_no_revision)
{
    deployment subject(6, 42);
    apply_at_all_registries(subject, 1, document(240, 1));
    subject.run_for(seconds(2));
    ASSERT_EQ(subject.count_outdated(1), 0U);
    subject.apply_revision(0, 2, document(240, 2));
    subject.m_registries[0].m_is_unresponsive = true;
    for (std::size_t i = 1; i < subject.m_registries.size(); ++i) {
        subject.apply_revision(i, 2, document(240, 2));
    }
    subject.run_for(apply_limit);
    EXPECT_EQ(subject.count_outdated(2), 0U);
}

}  // namespace
}  // namespace dewbeam::registrar
