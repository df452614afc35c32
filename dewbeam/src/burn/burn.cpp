#include "dewbeam/src/burn/burn.h"

#include <algorithm>
#include <tuple>

namespace dewbeam::burn {

namespace {

using json = nlohmann::json;

constexpr std::int64_t longest_latency_us = 86'400'000'000;
constexpr std::size_t bucket_fields = 4;
constexpr time_span longest_memory = ring_shapes.back().m_width * ring_shapes.back().m_count;

std::array<ring, ring_shapes.size()> empty_rings()
{
    std::array<ring, ring_shapes.size()> rings;
    for (std::size_t i = 0; i < rings.size(); ++i) {
        rings[i].resize(ring_shapes[i].m_count);
    }
    return rings;
}

std::vector<series>::iterator find_place(state& counts, const series_key& key)
{
    return std::lower_bound(
        counts.m_series.begin(), counts.m_series.end(), key,
        [](const series& item, const series_key& wanted) { return item.m_key < wanted; });
}

bool is_at(const state& counts, std::vector<series>::const_iterator place, const series_key& key)
{
    return place != counts.m_series.end() && place->m_key == key;
}

series& insert_series(state& counts, const series_key& key)
{
    const auto place = find_place(counts, key);
    if (is_at(counts, place, key)) {
        return *place;
    }
    return *counts.m_series.insert(place, series{key, {}, {}, empty_rings()});
}

/// The series of `key`, or of `other_key` where there is no room. One place stays free for it.
series& series_of(state& counts, const series_key& key)
{
    const auto place = find_place(counts, key);
    if (is_at(counts, place, key)) {
        return *place;
    }
    const bool has_room = counts.m_series.size() + 1 < most_series;
    return insert_series(counts, has_room ? key : other_key());
}

/// The bucket of that number, emptied if it held an older one; null for a number too old.
bucket* bucket_for(ring& buckets, std::int64_t number)
{
    if (number < 0) {
        return nullptr;
    }
    auto& place = buckets[static_cast<std::size_t>(number) % buckets.size()];
    if (place.m_number > number) {
        return nullptr;
    }
    if (place.m_number < number) {
        place = bucket{number};
    }
    return &place;
}

void add_to(bucket& target, const bucket& source)
{
    target.m_served += source.m_served;
    target.m_failed += source.m_failed;
    target.m_slow += source.m_slow;
}

void merge_ring(ring& target, const ring& source)
{
    for (const auto& item : source) {
        if (auto* place = bucket_for(target, item.m_number)) {
            add_to(*place, item);
        }
    }
}

/// Takes over the target of the newer record; equal times are settled by the stricter target.
void merge_target(series& target, const series& other)
{
    const auto rank = [](const series& item) {
        return std::tuple(item.m_recorded_at, item.m_target.m_availability,
                          item.m_target.m_latency_share, item.m_target.m_latency);
    };
    if (rank(other) > rank(target)) {
        target.m_target = other.m_target;
        target.m_recorded_at = other.m_recorded_at;
    }
}

std::int64_t to_microseconds(time_point at)
{
    return at.time_since_epoch().count();
}

json encode_ring(const ring& buckets)
{
    json result = json::array();
    for (const auto& item : buckets) {
        if (item.m_number >= 0) {
            result.push_back({item.m_number, item.m_served, item.m_failed, item.m_slow});
        }
    }
    return result;
}

json encode_target(const configuration::service_target& target)
{
    return {{"availability", target.m_availability},
            {"latency_us", target.m_latency.count()},
            {"latency_share", target.m_latency_share}};
}

absl::Status wrong(const std::string& what)
{
    return absl::InvalidArgumentError("burn counts are not allowed in this form: " + what);
}

bool is_count(const json& value)
{
    return value.is_number_unsigned() ||
           (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

absl::Status decode_ring(const json& source, ring& out)
{
    if (!source.is_array() || source.size() > out.size()) {
        return wrong("a ring must be a list of at most " + std::to_string(out.size()) + " buckets");
    }
    for (const auto& item : source) {
        const bool is_right = item.is_array() && item.size() == bucket_fields &&
                              std::all_of(item.begin(), item.end(), is_count) &&
                              item[0].get<std::uint64_t>() <= INT64_MAX;
        if (!is_right) {
            return wrong("a bucket must be four whole numbers from 0");
        }
        if (auto* place = bucket_for(out, item[0].get<std::int64_t>())) {
            add_to(*place, {0, item[1], item[2], item[3]});
        }
    }
    return absl::OkStatus();
}

bool is_share(const json& value)
{
    return value.is_number() && value.get<double>() >= 0.0 && value.get<double>() < 1.0;
}

absl::StatusOr<configuration::service_target> decode_target(const json& source)
{
    const bool is_right = source.is_object() && is_share(source.value("availability", json())) &&
                          is_share(source.value("latency_share", json())) &&
                          is_count(source.value("latency_us", json())) &&
                          source["latency_us"].get<std::uint64_t>() <= longest_latency_us;
    if (!is_right) {
        return wrong(
            "a target needs availability and latency_share from 0 to below 1 and "
            "latency_us of a day at most");
    }
    return configuration::service_target{source["availability"].get<double>(),
                                         time_span(source["latency_us"].get<std::int64_t>()),
                                         source["latency_share"].get<double>()};
}

bool is_text(const json& value)
{
    return value.is_string();
}

absl::StatusOr<series> decode_series(const json& source)
{
    const bool is_right = source.is_object() && is_text(source.value("selector", json())) &&
                          is_text(source.value("workspace_class", json())) &&
                          is_count(source.value("recorded_at_us", json())) &&
                          source["recorded_at_us"].get<std::uint64_t>() <= INT64_MAX &&
                          source.contains("rings") && source["rings"].is_array() &&
                          source["rings"].size() == ring_shapes.size();
    if (!is_right) {
        return wrong("a series needs selector, workspace_class, recorded_at_us, target and " +
                     std::to_string(ring_shapes.size()) + " rings");
    }
    auto target = decode_target(source.value("target", json()));
    if (!target.ok()) {
        return target.status();
    }
    series result{{source["selector"], source["workspace_class"]},
                  *target,
                  time_point(time_span(source["recorded_at_us"].get<std::int64_t>())),
                  empty_rings()};
    for (std::size_t i = 0; i < ring_shapes.size(); ++i) {
        if (auto status = decode_ring(source["rings"][i], result.m_rings[i]); !status.ok()) {
            return status;
        }
    }
    return result;
}

}  // namespace

series_key other_key()
{
    return {"(other)", "(other)"};
}

std::string workspace_class(const configuration::workspace* owner)
{
    const auto* tier = owner == nullptr ? nullptr : owner->m_labels.find("tier");
    return tier == nullptr || tier->empty() ? "default" : *tier;
}

void record(state& counts, const series_key& key, const configuration::service_target& target,
            outcome result, time_span latency, time_point now)
{
    if (result == outcome::excluded) {
        return;
    }
    auto& series = series_of(counts, key);
    series.m_target = target;
    series.m_recorded_at = std::max(series.m_recorded_at, now);
    const bool is_served = result == outcome::served;
    const bool is_slow =
        is_served && target.m_latency > time_span::zero() && latency > target.m_latency;
    const bucket one{0, is_served ? 1U : 0U, is_served ? 0U : 1U, is_slow ? 1U : 0U};
    for (std::size_t i = 0; i < ring_shapes.size(); ++i) {
        const auto number = now.time_since_epoch() / ring_shapes[i].m_width;
        if (auto* place = bucket_for(series.m_rings[i], number)) {
            add_to(*place, one);
        }
    }
}

void merge(state& counts, const state& other)
{
    for (const auto& item : other.m_series) {
        auto& target = series_of(counts, item.m_key);
        merge_target(target, item);
        for (std::size_t i = 0; i < ring_shapes.size(); ++i) {
            merge_ring(target.m_rings[i], item.m_rings[i]);
        }
    }
}

void forget_old(state& counts, time_point now)
{
    std::erase_if(counts.m_series,
                  [&](const series& item) { return item.m_recorded_at + longest_memory < now; });
}

json encode(const state& counts)
{
    json all = json::array();
    for (const auto& item : counts.m_series) {
        json rings = json::array();
        for (const auto& buckets : item.m_rings) {
            rings.push_back(encode_ring(buckets));
        }
        all.push_back({{"selector", item.m_key.m_selector},
                       {"workspace_class", item.m_key.m_workspace_class},
                       {"target", encode_target(item.m_target)},
                       {"recorded_at_us", to_microseconds(item.m_recorded_at)},
                       {"rings", rings}});
    }
    return {{"series", all}};
}

absl::StatusOr<state> decode(const json& source)
{
    const bool is_right =
        source.is_object() && source.contains("series") && source["series"].is_array();
    if (!is_right || source["series"].size() > most_series) {
        return wrong("an object with \"series\", a list of at most " + std::to_string(most_series) +
                     ", is needed");
    }
    state result;
    for (const auto& item : source["series"]) {
        auto next = decode_series(item);
        if (!next.ok()) {
            return next.status();
        }
        auto& place = insert_series(result, next->m_key);
        place = *std::move(next);
    }
    return result;
}

}  // namespace dewbeam::burn
