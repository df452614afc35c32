#include "dewbeam/src/load/experiment.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>

namespace dewbeam::load {

namespace {

using json = nlohmann::json;

constexpr double most_rate = 100'000.0;
constexpr double most_share = 1e6;
constexpr std::uint64_t most_prompt_words = 100'000;
constexpr std::uint64_t most_output_tokens = 100'000;
constexpr std::uint64_t most_resends = 100;
constexpr double microseconds_per_second = 1e6;
constexpr std::array<const char*, 8> words{"brief",   "flight", "placement", "copy",
                                           "station", "locker", "fob",       "late"};

/// Reads the fields of one JSON object; names the mistakes, unknown keys too.
class reader {
public:
    reader(const json& source, std::string path, mistakes& found)
        : m_source(source), m_path(std::move(path)), m_found(found)
    {
        if (!source.is_object()) {
            m_found.push_back({m_path, excerpt(source), "an object"});
        }
    }

    const json* find(const char* key)
    {
        m_known.emplace_back(key);
        const auto place = m_source.is_object() ? m_source.find(key) : m_source.end();
        return m_source.is_object() && place != m_source.end() ? &*place : nullptr;
    }

    void read(const char* key, std::string& out)
    {
        const auto* value = find(key);
        if (value != nullptr && value->is_string()) {
            out = value->get<std::string>();
        }
        else if (value != nullptr) {
            add(key, *value, "a string");
        }
    }

    void read(const char* key, bool& out)
    {
        const auto* value = find(key);
        if (value != nullptr && value->is_boolean()) {
            out = value->get<bool>();
        }
        else if (value != nullptr) {
            add(key, *value, "true or false");
        }
    }

    void read(const char* key, double& out, double most)
    {
        const auto* value = find(key);
        const bool is_right =
            value != nullptr && value->is_number() && *value > 0.0 && *value <= most;
        if (is_right) {
            out = value->get<double>();
        }
        else if (value != nullptr) {
            add(key, *value, absl::StrFormat("a number above 0, at most %g", most));
        }
    }

    void read(const char* key, std::uint64_t& out, std::uint64_t most)
    {
        const auto* value = find(key);
        if (value != nullptr && is_whole(*value, most)) {
            out = value->get<std::uint64_t>();
        }
        else if (value != nullptr) {
            add(key, *value, "a whole number from 0 to " + std::to_string(most));
        }
    }

    void read_milliseconds(const char* key, time_span& out)
    {
        auto count = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(out).count());
        read(key, count, longest_run_ms);
        out = std::chrono::milliseconds(count);
    }

    void read(const char* key, size_range& out, std::uint64_t most)
    {
        const auto* value = find(key);
        if (value == nullptr) {
            return;
        }
        const bool is_right = value->is_array() && value->size() == 2 &&
                              is_whole((*value)[0], most) && is_whole((*value)[1], most) &&
                              (*value)[0] <= (*value)[1] && (*value)[0] >= 1;
        if (!is_right) {
            add(key, *value, "[least, most], whole numbers from 1 to " + std::to_string(most));
            return;
        }
        out = {(*value)[0].get<std::uint64_t>(), (*value)[1].get<std::uint64_t>()};
    }

    void add(const char* key, const json& value, std::string allowed)
    {
        m_found.push_back({m_path + "/" + key, excerpt(value), std::move(allowed)});
    }

    void finish()
    {
        if (!m_source.is_object()) {
            return;
        }
        for (const auto& [key, value] : m_source.items()) {
            if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
                add(key.c_str(), value, "no such key");
            }
        }
    }

    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    static bool is_whole(const json& value, std::uint64_t most)
    {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
    }

    const json& m_source;
    std::string m_path;
    mistakes& m_found;
    std::vector<std::string> m_known;
};

bool is_loopback(const endpoint& address)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.m_ip, error);
    return !error && ip.is_loopback();
}

void read_entries(reader& top, std::vector<endpoint>& out)
{
    const auto* items = top.find("entries");
    if (items == nullptr || !items->is_array() || items->empty()) {
        top.add("entries", items == nullptr ? json() : *items, "a list of IP:PORT, not empty");
        return;
    }
    for (const auto& item : *items) {
        const auto address = item.is_string()
                                 ? parse_endpoint(item.get<std::string>())
                                 : absl::StatusOr<endpoint>(absl::InvalidArgumentError("no text"));
        if (!address.ok() || !is_loopback(*address)) {
            top.add("entries", item, "IP:PORT of the loopback");
            continue;
        }
        out.push_back(*address);
    }
}

void read_recorded(reader& source, std::vector<time_span>& out)
{
    const auto* times = source.find("at_ms");
    if (times == nullptr) {
        return;
    }
    std::int64_t previous = 0;
    for (const auto& item : *times) {
        const bool is_right = item.is_number() && item.get<double>() >= 0.0 &&
                              item.get<double>() <= static_cast<double>(longest_run_ms);
        const auto at = is_right ? static_cast<std::int64_t>(item.get<double>() * 1000.0) : -1;
        if (at < previous) {
            source.add("at_ms", item, "ascending milliseconds since the start");
            return;
        }
        previous = at;
        out.emplace_back(at);
    }
}

void read_arrivals(reader& top, arrivals& out, mistakes& found)
{
    const auto* source = top.find("arrivals");
    if (source == nullptr) {
        return;
    }
    reader fields(*source, "/arrivals", found);
    std::string kind = "poisson";
    fields.read("kind", kind);
    if (kind != "poisson" && kind != "recorded") {
        fields.add("kind", kind, "poisson or recorded");
    }
    out.m_kind = kind == "recorded" ? arrival_kind::recorded : arrival_kind::poisson;
    fields.read("rate", out.m_rate, most_rate);
    fields.read_milliseconds("duration_ms", out.m_duration);
    read_recorded(fields, out.m_recorded);
    fields.finish();
}

void read_workspaces(reader& item, std::vector<workspace_share>& out, mistakes& found)
{
    const auto* source = item.find("workspaces");
    if (source != nullptr && !source->is_array()) {
        item.add("workspaces", *source, "a list");
    }
    else if (source != nullptr) {
        for (const auto& one : *source) {
            reader fields(one, item.path() + "/workspaces", found);
            workspace_share share;
            fields.read("name", share.m_name);
            fields.read("share", share.m_share, most_share);
            fields.finish();
            out.push_back(std::move(share));
        }
    }
    if (out.empty()) {
        out.emplace_back();
    }
}

work read_work(const json& source, const std::string& path, mistakes& found)
{
    work result;
    reader fields(source, path, found);
    fields.read("name", result.m_name);
    fields.read("share", result.m_share, most_share);
    fields.read("path", result.m_path);
    fields.read("model", result.m_model);
    fields.read("labels", result.m_labels);
    read_workspaces(fields, result.m_workspaces, found);
    fields.read("prompt_words", result.m_prompt_words, most_prompt_words);
    fields.read("output_tokens", result.m_output_tokens, most_output_tokens);
    fields.read("stream", result.m_streams);
    fields.read("key", result.m_has_key);
    fields.finish();
    if (!result.m_path.starts_with('/')) {
        fields.add("path", result.m_path, "a path from /");
    }
    return result;
}

std::vector<time_span> poisson_times(const experiment& wanted, random_engine& engine)
{
    std::vector<time_span> times;
    const auto mean = microseconds_per_second / wanted.m_arrivals.m_rate;
    double at = exponential(engine, mean);
    while (at < static_cast<double>(wanted.m_arrivals.m_duration.count()) &&
           times.size() < wanted.m_most_requests) {
        times.emplace_back(static_cast<std::int64_t>(at));
        at += exponential(engine, mean);
    }
    return times;
}

std::vector<time_span> arrival_times(const experiment& wanted, random_engine& engine)
{
    if (wanted.m_arrivals.m_kind == arrival_kind::poisson) {
        return poisson_times(wanted, engine);
    }
    auto times = wanted.m_arrivals.m_recorded;
    times.resize(std::min<std::size_t>(times.size(), wanted.m_most_requests));
    return times;
}

/// Draws an index by the items' shares.
template <class Item>
std::size_t draw(const std::vector<Item>& items, random_engine& engine)
{
    double sum = 0.0;
    for (const auto& item : items) {
        sum += item.m_share;
    }
    double left = uniform_unit(engine) * sum;
    for (std::size_t i = 0; i + 1 < items.size(); ++i) {
        left -= items[i].m_share;
        if (left < 0.0) {
            return i;
        }
    }
    return items.size() - 1;
}

std::uint64_t draw(const size_range& range, random_engine& engine)
{
    return range.m_least + uniform_below(engine, range.m_most - range.m_least + 1);
}

std::string draw_prompt(const std::string& marker, std::uint64_t count, random_engine& engine)
{
    std::string prompt = marker;
    for (std::uint64_t i = 0; i < count; ++i) {
        prompt += ' ';
        prompt += words[uniform_below(engine, words.size())];
    }
    return prompt;
}

}  // namespace

parsed_experiment parse_experiment(const json& source)
{
    parsed_experiment result;
    auto& out = result.m_experiment;
    reader top(source, "", result.m_mistakes);
    read_entries(top, out.m_entries);
    top.read("seed", out.m_seed, UINT64_MAX);
    top.read("most_requests", out.m_most_requests, most_requests);
    top.read_milliseconds("time_limit_ms", out.m_time_limit);
    top.read("most_resends", out.m_most_resends, most_resends);
    read_arrivals(top, out.m_arrivals, result.m_mistakes);
    const auto* items = top.find("work");
    if (items == nullptr || !items->is_array() || items->empty()) {
        top.add("work", items == nullptr ? json() : *items, "a list of kinds of work, not empty");
    }
    else {
        for (std::size_t i = 0; i < items->size(); ++i) {
            out.m_work.push_back(
                read_work((*items)[i], "/work/" + std::to_string(i), result.m_mistakes));
        }
    }
    top.finish();
    return result;
}

std::vector<planned_request> plan_requests(const experiment& wanted)
{
    random_engine engine(wanted.m_seed);
    std::vector<planned_request> result;
    for (const auto at : arrival_times(wanted, engine)) {
        planned_request next;
        next.m_at = at;
        next.m_work = draw(wanted.m_work, engine);
        const auto& kind = wanted.m_work[next.m_work];
        next.m_workspace = kind.m_workspaces[draw(kind.m_workspaces, engine)].m_name;
        next.m_marker = absl::StrFormat("request-%x-%d", wanted.m_seed, result.size());
        next.m_prompt = draw_prompt(next.m_marker, draw(kind.m_prompt_words, engine), engine);
        next.m_output_tokens = draw(kind.m_output_tokens, engine);
        result.push_back(std::move(next));
    }
    return result;
}

}  // namespace dewbeam::load
