#include "dewbeam/src/operators/site_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <thread>
#include <tuple>

namespace dewbeam::operators {

namespace {

using json = nlohmann::json;
using std::chrono::steady_clock;

/// The answers of controls hold the document one level deep.
constexpr std::size_t max_answer_depth = max_json_depth + 2;

constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;
constexpr auto shortest_pause = std::chrono::milliseconds(50);
constexpr auto longest_pause = std::chrono::milliseconds(500);

steady_time deadline_of(const site& target)
{
    return steady_clock::now() + target.m_time_limit;
}

/// One server among several gets no more than its share of the time that is left.
steady_time share_of_time(steady_time deadline, std::size_t servers_left)
{
    const auto now = steady_clock::now();
    return now +
           (deadline - now) / static_cast<std::int64_t>(std::max<std::size_t>(servers_left, 1));
}

absl::StatusOr<json> get_json(const endpoint& server, const site& target, std::string path,
                              steady_time deadline)
{
    const auto reply =
        exchange(server, target.m_authority_file, {"GET", std::move(path), {}, {}}, deadline);
    if (!reply.ok()) {
        return reply.status();
    }
    if (reply->m_status != http_ok) {
        return absl::UnavailableError(to_string(server) + " answered " +
                                      std::to_string(reply->m_status) + ": " + reply->m_body);
    }
    auto body = parse_json(reply->m_body, max_answer_depth).value_or(json());
    if (!body.is_object()) {
        return absl::DataLossError(to_string(server) + " answered no JSON object");
    }
    return body;
}

/// A field of the kind of `fallback`, or `fallback` where it is absent or of another kind.
template <class Value>
Value field(const json& source, const char* key, Value fallback)
{
    const auto place = source.is_object() ? source.find(key) : source.end();
    if (!source.is_object() || place == source.end()) {
        return fallback;
    }
    try {
        return place->template get<Value>();
    }
    catch (const json::exception&) {
        return fallback;
    }
}

json object_field(const json& source, const char* key)
{
    return field(source, key, json::object());
}

configuration_version version_of(const json& source)
{
    return {field<std::uint64_t>(source, "term", 0), field<std::uint64_t>(source, "index", 0)};
}

mistakes read_mistakes(const json& source)
{
    mistakes result;
    for (const auto& item : field(source, "mistakes", json::array())) {
        result.push_back({field<std::string>(item, "path", ""),
                          field<std::string>(item, "value", ""),
                          field<std::string>(item, "allowed", "")});
    }
    return result;
}

submission read_submission(const endpoint& server, const http::response& reply)
{
    const auto body = parse_json(reply.m_body, max_answer_depth).value_or(json());
    submission result;
    result.m_number = field<std::uint64_t>(body, "number", 0);
    switch (reply.m_status) {
        case http_ok:
            result.m_status = submission_status::accepted;
            break;
        case http_conflict:
            result.m_status = submission_status::conflict;
            result.m_winner = field<std::string>(body, "winner", "");
            break;
        case http_unprocessable:
            result.m_status = submission_status::invalid;
            result.m_mistakes = read_mistakes(body);
            break;
        case http_unavailable:
            result.m_status = submission_status::no_quorum;
            result.m_message = to_string(server) + ": no quorum";
            break;
        default:
            result.m_status = submission_status::refused;
            result.m_message = to_string(server) + " answered " + std::to_string(reply.m_status) +
                               ": " + reply.m_body;
    }
    return result;
}

submission lost(const absl::Status& error)
{
    submission result;
    const bool was_sent = !absl::IsUnavailable(error);
    result.m_status = was_sent ? submission_status::unknown : submission_status::no_quorum;
    result.m_message = std::string(error.message());
    return result;
}

bool is_final(const submission& result)
{
    return result.m_status != submission_status::no_quorum &&
           result.m_status != submission_status::unknown;
}

http::request change_request(const configuration::change& wanted)
{
    return {"POST",
            "/v1/changes",
            {{"Content-Type", "application/json"}},
            configuration::encode(wanted)};
}

configuration::label_set read_labels(const json& source)
{
    configuration::label_set labels;
    for (const auto& [key, value] : source.items()) {
        if (value.is_string()) {
            labels.set(key, value.get_ref<const std::string&>());
        }
    }
    return labels;
}

member_view read_member(const json& source)
{
    member_view result;
    result.m_host = field<std::string>(source, "host", "");
    result.m_role = field<std::string>(source, "role", "");
    result.m_failure_domain = field<std::string>(source, "failure_domain", "");
    result.m_http_address = field<std::string>(source, "http_address", "");
    result.m_upstream = field<std::string>(source, "upstream", "");
    result.m_labels = read_labels(object_field(source, "labels"));
    for (const auto& model : field(source, "models", std::vector<std::string>())) {
        result.m_models.emplace_back(model);
    }
    result.m_slots = field<std::uint64_t>(source, "slots", 0);
    result.m_incarnation = field<std::uint64_t>(source, "incarnation", 0);
    result.m_leaving = field(source, "leaving", false);
    result.m_suspect = field(source, "suspect", false);
    result.m_dead = field(source, "dead", false);
    result.m_configuration = version_of(object_field(source, "configuration"));
    return result;
}

bool is_alive(const member_view& item)
{
    return !item.m_dead && !item.m_suspect;
}

/// Of two views of a host, that of the later life; of one life, that of a program that sees it.
void take_newer(member_view& known, const member_view& other)
{
    const auto rank = [](const member_view& item) {
        return std::tuple(item.m_incarnation, is_alive(item), item.m_configuration);
    };
    const auto seen_by = known.m_seen_by + (is_alive(other) ? 1U : 0U);
    if (rank(other) > rank(known)) {
        known = other;
    }
    known.m_seen_by = seen_by;
}

/// Entries to ask: a name for the report and where they listen.
struct entry_address {
    std::string m_host;
    endpoint m_address;
};

std::vector<entry_address> known_entries(const site& target)
{
    std::vector<entry_address> result;
    for (const auto& item : merge_members(get_statuses(target))) {
        const auto address = parse_endpoint(item.m_http_address);
        if (item.m_role == "entry" && address.ok() && !item.m_leaving) {
            result.push_back({item.m_host, *address});
        }
    }
    for (const auto& address : target.m_entries) {
        const bool is_known =
            std::any_of(result.begin(), result.end(),
                        [&](const entry_address& item) { return item.m_address == address; });
        if (!is_known) {
            result.push_back({to_string(address), address});
        }
    }
    return result;
}

struct entry_burn {
    host_id m_host;
    burn::state m_counts;
};

absl::StatusOr<entry_burn> get_entry_burn(const entry_address& entry, const site& target,
                                          steady_time deadline)
{
    const auto body = get_json(entry.m_address, target, "/v1/burn", deadline);
    if (!body.ok()) {
        return body.status();
    }
    auto counts = burn::decode(object_field(*body, "burn"));
    if (!counts.ok()) {
        return counts.status();
    }
    return entry_burn{host_id(field(*body, "host", entry.m_host)), *std::move(counts)};
}

}  // namespace

absl::StatusOr<configuration_reply> get_configuration(const site& target)
{
    const auto deadline = deadline_of(target);
    absl::Status last = absl::UnavailableError("no control address is given");
    auto servers_left = target.m_controls.size();
    for (const auto& server : target.m_controls) {
        auto body =
            get_json(server, target, "/v1/configuration", share_of_time(deadline, servers_left--));
        if (body.ok()) {
            return configuration_reply{field<std::uint64_t>(*body, "number", 0),
                                       version_of(object_field(*body, "version")),
                                       object_field(*body, "document")};
        }
        last = body.status();
    }
    return last;
}

submission submit(const site& target, const configuration::change& wanted)
{
    const auto deadline = deadline_of(target);
    const auto request = change_request(wanted);
    auto pause = std::chrono::milliseconds(shortest_pause);
    bool is_unknown = false;
    submission last;
    last.m_status = submission_status::no_quorum;
    last.m_message = "no control address is given";
    while (!target.m_controls.empty() && steady_clock::now() < deadline) {
        auto servers_left = target.m_controls.size();
        for (const auto& server : target.m_controls) {
            const auto reply = exchange(server, target.m_authority_file, request,
                                        share_of_time(deadline, servers_left--));
            last = reply.ok() ? read_submission(server, *reply) : lost(reply.status());
            if (is_final(last)) {
                return last;
            }
            is_unknown = is_unknown || last.m_status == submission_status::unknown;
        }
        std::this_thread::sleep_until(std::min(steady_clock::now() + pause, deadline));
        pause = std::min(pause * 2, longest_pause);
    }
    if (is_unknown) {
        last.m_status = submission_status::unknown;
    }
    return last;
}

std::vector<status_reply> get_statuses(const site& target)
{
    auto servers = target.m_controls;
    servers.insert(servers.end(), target.m_entries.begin(), target.m_entries.end());
    const auto deadline = deadline_of(target);
    auto servers_left = servers.size();
    std::vector<status_reply> replies;
    replies.reserve(servers.size());
    for (const auto& server : servers) {
        replies.push_back({server, get_json(server, target, "/v1/status",
                                            share_of_time(deadline, servers_left--))});
    }
    return replies;
}

std::vector<member_view> merge_members(const std::vector<status_reply>& replies)
{
    std::map<std::string, member_view> by_host;
    for (const auto& reply : replies) {
        if (!reply.m_status.ok()) {
            continue;
        }
        for (const auto& source : field(*reply.m_status, "members", json::array())) {
            const auto item = read_member(source);
            const auto [place, is_new] = by_host.try_emplace(item.m_host, item);
            if (is_new) {
                place->second.m_seen_by = is_alive(item) ? 1U : 0U;
                continue;
            }
            take_newer(place->second, item);
        }
    }
    std::vector<member_view> result;
    result.reserve(by_host.size());
    for (auto& [host, item] : by_host) {
        result.push_back(std::move(item));
    }
    return result;
}

std::vector<configuration::announced_upstream> upstreams_of(const std::vector<member_view>& members)
{
    std::vector<configuration::announced_upstream> result;
    for (const auto& item : members) {
        if (item.m_role == "agent" && !item.m_dead) {
            result.push_back({upstream_id(item.m_upstream),
                              failure_domain_id(item.m_failure_domain), item.m_labels,
                              item.m_models, item.m_leaving});
        }
    }
    return result;
}

absl::StatusOr<burn::report> get_burn(const site& target, time_point now)
{
    const auto entries = known_entries(target);
    if (entries.empty()) {
        return absl::UnavailableError(
            "no entry is known: no control answered, and no entry "
            "address is given");
    }
    const auto deadline = deadline_of(target);
    auto servers_left = entries.size();
    std::set<host_id> hosts;
    std::vector<host_id> missing;
    burn::state counts;
    for (const auto& entry : entries) {
        const auto one = get_entry_burn(entry, target, share_of_time(deadline, servers_left--));
        if (!one.ok()) {
            missing.emplace_back(entry.m_host);
        }
        else if (hosts.insert(one->m_host).second) {
            burn::merge(counts, one->m_counts);
        }
    }
    return burn::evaluate(counts, {hosts.begin(), hosts.end()}, std::move(missing), now);
}

}  // namespace dewbeam::operators
