#include "dewbeam/src/group/content_codec.h"

#include <zlib.h>

#include <algorithm>

namespace dewbeam::group {

namespace {

/// The map in force, the one before it, and proposals that were not put in force.
constexpr std::size_t max_known = 4;
/// In bytes; longer than any map of a group with 256 ranks of 64 layers with 4 experts each.
constexpr std::size_t max_content = 1 << 20;

}  // namespace

void content_codec::pack(const group_map::command& from, const group_map::map_id& base,
                         wire::GroupCommand& to)
{
    remember(from.m_target.m_map, from.m_content);
    const auto dictionary = from.m_is_repeat ? nullptr : find(base);
    if (m_packed_from != from.m_content || m_packed_with != dictionary) {
        m_packed = deflate_text(*from.m_content, Z_BEST_COMPRESSION, dictionary.get());
        m_packed_from = from.m_content;
        m_packed_with = dictionary;
    }
    to.clear_content();
    to.set_packed_content(m_packed);
    if (dictionary) {
        to.mutable_base()->set_number(base.m_number);
        to.mutable_base()->set_content(base.m_content.value());
    }
}

absl::Status content_codec::unpack(const wire::GroupCommand& from, group_map::command& to)
{
    if (!to.m_content) {
        return absl::OkStatus();
    }
    if (!from.packed_content().empty()) {
        const group_map::map_id base{from.base().number(), fingerprint(from.base().content())};
        const auto dictionary = from.has_base() ? find(base) : nullptr;
        if (from.has_base() && !dictionary) {
            return absl::NotFoundError(
                "content was packed with a base map that this agent doesn't know");
        }
        auto content = inflate_text(from.packed_content(), max_content, dictionary.get());
        if (!content.ok()) {
            return content.status();
        }
        to.m_content = std::make_shared<const std::string>(*std::move(content));
    }
    remember(to.m_target.m_map, to.m_content);
    return absl::OkStatus();
}

void content_codec::remember(const group_map::map_id& map, const group_map::map_content& content)
{
    if (find(map)) {
        return;
    }
    m_known.emplace_back(map, content);
    if (m_known.size() > max_known) {
        m_known.pop_front();
    }
}

group_map::map_content content_codec::find(const group_map::map_id& map) const
{
    const auto place = std::find_if(m_known.begin(), m_known.end(),
                                    [&](const auto& item) { return item.first == map; });
    return place == m_known.end() ? nullptr : place->second;
}

}  // namespace dewbeam::group
