#include "dewbeam/src/routes/book.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <map>
#include <unordered_set>

namespace dewbeam::routes {

namespace {

std::string place_key(std::string_view host, std::string_view prefix)
{
    std::string result(host);
    result += '\n';  // stands in no host
    result += prefix;
    return result;
}

std::string_view without_port(std::string_view host)
{
    if (host.starts_with('[')) {
        return host.substr(0, host.find(']') + 1);
    }
    return host.substr(0, host.find(':'));
}

std::string path_of(const char* list, std::size_t place, const char* member)
{
    return std::string("/") + list + "/" + std::to_string(place) + "/" + member;
}

bool is_prefix(std::string_view text)
{
    return text.starts_with('/') && text.ends_with('/');
}

/// Collects the mistakes of one book.
class checker {
public:
    explicit checker(const book& rules) : m_rules(rules) {}

    mistakes run()
    {
        check_services();
        for (std::size_t i = 0; i < m_rules.m_routes.size(); ++i) {
            check_route(m_rules.m_routes[i], i);
        }
        check_workspaces();
        return std::move(m_found);
    }

private:
    void check_services()
    {
        for (std::size_t i = 0; i < m_rules.m_services.size(); ++i) {
            const auto& name = m_rules.m_services[i].m_name;
            if (!m_services.insert(name).second) {
                m_found.push_back({path_of("services", i, "name"), name, "a name of its own"});
            }
        }
    }

    void check_route(const route& subject, std::size_t place)
    {
        if (subject.m_time_limit <= time_span::zero()) {
            m_found.push_back({path_of("routes", place, "time_limit"), "0", "a time above 0"});
        }
        if (!is_prefix(subject.m_path_prefix)) {
            m_found.push_back({path_of("routes", place, "path_prefix"), subject.m_path_prefix,
                               "a path that begins and ends with a slash"});
        }
        if (!m_places.insert(place_key(subject.m_host, subject.m_path_prefix)).second) {
            m_found.push_back({path_of("routes", place, "path_prefix"), subject.m_path_prefix,
                               "a host and prefix that no other route has"});
        }
        check_targets(subject, place);
    }

    void check_targets(const route& subject, std::size_t place)
    {
        std::uint64_t weights = 0;
        for (const auto& target : subject.m_targets) {
            weights += target.m_weight;
            if (!m_services.contains(target.m_service)) {
                m_found.push_back({path_of("routes", place, "targets"), target.m_service,
                                   "a service of this configuration"});
            }
        }
        if (weights == 0) {
            m_found.push_back(
                {path_of("routes", place, "targets"), "0", "weights that add up to more than 0"});
        }
    }

    void check_workspaces()
    {
        std::unordered_set<std::string> names;
        std::unordered_map<std::string, std::size_t> holders;
        for (std::size_t i = 0; i < m_rules.m_workspaces.size(); ++i) {
            const auto& subject = m_rules.m_workspaces[i];
            if (!names.insert(subject.m_name.value()).second) {
                m_found.push_back({path_of("workspaces", i, "name"), subject.m_name.value(),
                                   "a name of its own"});
            }
            for (const auto& key : subject.m_keys) {
                if (holders.try_emplace(key, i).first->second != i) {
                    // The key itself is a secret: the mistake doesn't show it.
                    m_found.push_back({path_of("workspaces", i, "keys"), "a key",
                                       "keys that no other workspace holds"});
                }
            }
        }
    }

    const book& m_rules;
    mistakes m_found;
    std::unordered_set<std::string> m_services;
    std::unordered_set<std::string> m_places;
};

}  // namespace

mistakes check(const book& rules)
{
    return checker(rules).run();
}

void index(book& rules)
{
    rules.m_by_place.clear();
    rules.m_by_key.clear();
    rules.m_by_place.reserve(rules.m_routes.size());
    for (std::size_t i = 0; i < rules.m_routes.size(); ++i) {
        const auto& item = rules.m_routes[i];
        rules.m_by_place.emplace(place_key(item.m_host, item.m_path_prefix),
                                 static_cast<std::uint32_t>(i));
    }
    for (std::size_t i = 0; i < rules.m_workspaces.size(); ++i) {
        for (const auto& key : rules.m_workspaces[i].m_keys) {
            rules.m_by_key.emplace(key, static_cast<std::uint32_t>(i));
        }
    }
}

const route* find_route(const book& rules, std::string_view host, std::string_view path)
{
    const auto name = absl::AsciiStrToLower(
        absl::string_view(without_port(host).data(), without_port(host).size()));
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = rules.m_by_place.find(place_key(name, path.substr(0, end + 1)));
        if (found != rules.m_by_place.end()) {
            return &rules.m_routes[found->second];
        }
    }
    return nullptr;
}

const workspace* find_workspace(const book& rules, const std::string& key)
{
    const auto found = rules.m_by_key.find(key);
    return found == rules.m_by_key.end() ? nullptr : &rules.m_workspaces[found->second];
}

const std::string& choose_target(const route& subject, random_engine& random)
{
    require(!subject.m_targets.empty(), "a route of a checked book has a target");
    std::uint64_t sum = 0;
    for (const auto& target : subject.m_targets) {
        sum += target.m_weight;
    }
    auto draw = sum > 1 ? uniform_below(random, sum) : 0;
    for (const auto& target : subject.m_targets) {
        if (draw < target.m_weight) {
            return target.m_service;
        }
        draw -= target.m_weight;
    }
    return subject.m_targets.back().m_service;
}

void note_route(service_use& use, bool is_streaming, std::uint64_t priority)
{
    use.m_is_streaming = use.m_is_streaming && is_streaming;
    use.m_priorities.insert(priority);
}

bool has_priorities(const service_use& use)
{
    return use.m_is_streaming && use.m_priorities.size() > 1;
}

std::set<std::string> streaming_services_with_priorities(const book& rules)
{
    std::map<std::string, service_use> uses;
    for (const auto& item : rules.m_routes) {
        for (const auto& target : item.m_targets) {
            note_route(uses[target.m_service], item.m_kind == work_kind::streaming,
                       item.m_priority);
        }
    }
    std::set<std::string> result;
    for (const auto& [service, use] : uses) {
        if (has_priorities(use)) {
            result.insert(service);
        }
    }
    return result;
}

bool is_idempotent(const route& subject)
{
    return subject.m_kind == work_kind::safe ||
           (subject.m_kind == work_kind::streaming && subject.m_is_resumable);
}

}  // namespace dewbeam::routes
