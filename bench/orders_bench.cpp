// Five hundred label changes after a freeze, over 620 upstreams in five failure domains, each with
// room for one model: dewbeam's orders against applying each change as it comes.
#include <algorithm>

#include "bench/planning_common/json_line.h"
#include "bench/planning_common/order_site.h"

namespace dewbeam::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t upstreams = 620;
constexpr std::uint32_t domains = 5;
constexpr std::uint32_t models = 5;
constexpr std::uint32_t changes = 500;
constexpr auto burst = 10s;
constexpr auto load_time = 20s;
constexpr auto tick = 200ms;

std::string model_name(std::uint32_t number)
{
    return "model-" + std::to_string(number);
}

std::vector<orders::observed_upstream> make_upstreams()
{
    std::vector<orders::observed_upstream> all;
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        orders::observed_upstream item;
        item.m_name = upstream_id("upstream-" + std::to_string(i));
        item.m_failure_domain = failure_domain_id("domain-" + std::to_string(i % domains));
        item.m_contents.m_artifacts = {
            {orders::artifact_kind::model, model_name(i / domains % models), "1"}};
        item.m_checks_fencing = i % 2 == 0;
        all.push_back(item);
    }
    return all;
}

/// One label change: an upstream shall hold another model or version.
struct change {
    time_span m_at{};
    std::uint32_t m_upstream = 0;
    orders::artifact m_wanted;
};

/// A new version for all upstreams of three models and some of the fourth; every sixth change
/// changes one of them again.
std::vector<change> make_changes(random_engine& random)
{
    std::vector<std::uint32_t> order;
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        if (i / domains % models < 3 || (i / domains % models == 3 && i % 3 == 0)) {
            order.push_back(i);
        }
    }
    for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[uniform_below(random, i)]);
    }
    std::vector<change> all;
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < changes; ++i) {
        const bool is_again = next > 0 && (i % 6 == 5 || next == order.size());
        const auto upstream = is_again ? order[uniform_below(random, next)] : order[next++];
        const auto model = model_name(upstream / domains % models);
        all.push_back({burst * i / changes,
                       upstream,
                       {orders::artifact_kind::model, model, is_again ? "3" : "2"}});
    }
    return all;
}

struct figures {
    std::size_t m_loads = 0;
    std::size_t m_most_of_one = 0;
    std::size_t m_most_at_once = 0;
    double m_seconds_without_able = 0;  ///< summed over models and domains
    double m_done_after = 0;
    bool m_is_right = false;
};

void note(figures& result, const order_site& site)
{
    result.m_most_at_once = std::max(result.m_most_at_once, site.running_loads());
    for (std::uint32_t domain = 0; domain < domains; ++domain) {
        for (std::uint32_t model = 0; model < models; ++model) {
            const auto able =
                site.able(failure_domain_id("domain-" + std::to_string(domain)), model_name(model));
            result.m_seconds_without_able +=
                able == 0 ? std::chrono::duration<double>(tick).count() : 0;
        }
    }
}

void finish(figures& result, const order_site& site,
            const std::vector<orders::desired_upstream>& desired, time_point now)
{
    result.m_loads = site.all_loads();
    result.m_most_of_one = site.most_loads_of_one();
    result.m_done_after = std::chrono::duration<double>(now - time_point{}).count();
    const auto seen = site.observe(now);
    result.m_is_right = true;
    for (std::size_t i = 0; i < seen.size(); ++i) {
        result.m_is_right =
            result.m_is_right && orders::meets(seen[i].m_contents, desired[i].m_contents);
    }
}

std::vector<orders::desired_upstream> wants_of(const std::vector<orders::observed_upstream>& seen)
{
    std::vector<orders::desired_upstream> desired;
    desired.reserve(seen.size());
    for (const auto& item : seen) {
        desired.push_back({item.m_name, item.m_contents, true});
    }
    return desired;
}

figures run_dewbeam(const std::vector<change>& all, const order_faults& faults)
{
    order_site site(make_upstreams(), load_time, 3);
    site.m_faults = faults;
    auto state = orders::make_planner({}, 1, true, time_point{});
    auto desired = wants_of(site.observe(time_point{}));
    figures result;
    std::size_t next = 0;
    auto now = time_point{};
    for (; now < time_point{} + 2h; now += tick) {
        for (; next < all.size() && time_point{} + all[next].m_at <= now; ++next) {
            desired[all[next].m_upstream].m_contents.m_artifacts = {all[next].m_wanted};
        }
        site.advance(state, now);
        site.take(state, orders::step(state, desired, site.observe(now), now), now);
        note(result, site);
        finish(result, site, desired, now);
        if (next == all.size() && result.m_is_right && site.is_idle()) {
            break;
        }
    }
    return result;
}

/// Each change leads to its own order at once.
figures run_baseline(const std::vector<change>& all)
{
    order_site site(make_upstreams(), load_time, 3);
    auto state = orders::make_planner({}, 1, true, time_point{});
    auto desired = wants_of(site.observe(time_point{}));
    std::vector<std::vector<orders::artifact>> queued(upstreams);
    figures result;
    std::size_t next = 0;
    std::uint64_t number = 0;
    auto now = time_point{};
    for (; now < time_point{} + 2h; now += tick) {
        for (; next < all.size() && time_point{} + all[next].m_at <= now; ++next) {
            desired[all[next].m_upstream].m_contents.m_artifacts = {all[next].m_wanted};
            queued[all[next].m_upstream].push_back(all[next].m_wanted);
        }
        site.advance(state, now);
        const auto seen = site.observe(now);
        orders::plan_step step;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            if (queued[i].empty() || seen[i].m_is_busy) {
                continue;
            }
            orders::contents wanted{{queued[i].front()}, ""};
            queued[i].erase(queued[i].begin());
            step.m_orders.push_back({seen[i].m_name, fencing_number(++number), now + 1h, wanted,
                                     orders::missing(seen[i].m_contents, wanted),
                                     orders::superfluous(seen[i].m_contents, wanted), true});
        }
        site.take(state, step, now);
        note(result, site);
        finish(result, site, desired, now);
        if (next == all.size() && result.m_is_right && site.is_idle()) {
            break;
        }
    }
    return result;
}

json to_json(const figures& item)
{
    return {{"loads", item.m_loads},
            {"most_loads_of_one_upstream", item.m_most_of_one},
            {"most_loads_at_once", item.m_most_at_once},
            {"model_domain_seconds_without_able", rounded(item.m_seconds_without_able)},
            {"done_after_s", rounded(item.m_done_after)},
            {"is_right", item.m_is_right}};
}

int main_of_bench()
{
    random_engine random(20'261'202);
    const auto all = make_changes(random);
    const orders::plan_options options;
    const auto limit =
        static_cast<std::size_t>(options.m_store_rate.m_count / options.m_load_rate.m_count);
    const auto ours = run_dewbeam(all, {});
    const auto faulty = run_dewbeam(all, {5, 5, 5});
    const auto baseline = run_baseline(all);
    const bool is_met = ours.m_is_right && ours.m_most_of_one <= 1 &&
                        ours.m_most_at_once <= limit && ours.m_seconds_without_able == 0;
    const json line{{"bench", "orders"},
                    {"seed", 20'261'202},
                    {"changes", changes},
                    {"upstreams", upstreams},
                    {"store_limit_loads", limit},
                    {"dewbeam", to_json(ours)},
                    {"dewbeam_with_15_percent_lost_or_late", to_json(faulty)},
                    {"one_by_one", to_json(baseline)},
                    {"loads_ratio", rounded(static_cast<double>(ours.m_loads) /
                                            static_cast<double>(baseline.m_loads))},
                    {"aim",
                     "one load per upstream at most, store limit never passed, no model "
                     "without an able upstream in any domain"},
                    {"met", is_met}};
    return print(line);
}

}  // namespace
}  // namespace dewbeam::bench

int main()
{
    return dewbeam::bench::main_of_bench();
}
