#include "dewbeam/src/group/content_codec.h"

#include <zlib.h>

#include <algorithm>

namespace dewbeam::group {

namespace {

/// The map in force, the one before it, and proposals that came to nothing.
constexpr std::size_t most_known = 4;
/// Longer than any map of a group: 256 ranks of 64 layers with 4 experts each.
constexpr std::size_t longest_content = 1 << 20;
constexpr std::size_t unpacked_at_once = 1 << 14;

/// zlib asks for pointers to bytes that it doesn't change.
Bytef* bytes_of(const std::string& text)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast,cppcoreguidelines-pro-type-const-cast)
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

std::string deflate_text(const std::string& text, const std::string* dictionary)
{
    z_stream stream{};
    require(deflateInit(&stream, Z_BEST_COMPRESSION) == Z_OK, "zlib has memory to pack a map");
    if (dictionary != nullptr) {
        deflateSetDictionary(&stream, bytes_of(*dictionary), static_cast<uInt>(dictionary->size()));
    }
    std::string result(deflateBound(&stream, text.size()), '\0');
    stream.next_in = bytes_of(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = bytes_of(result);
    stream.avail_out = static_cast<uInt>(result.size());
    const int end = deflate(&stream, Z_FINISH);
    require(end == Z_STREAM_END, "the bound of zlib holds a packed map");
    result.resize(stream.total_out);
    deflateEnd(&stream);
    return result;
}

absl::StatusOr<std::string> inflate_text(const std::string& packed, const std::string* dictionary)
{
    z_stream stream{};
    require(inflateInit(&stream) == Z_OK, "zlib has memory to unpack a map");
    std::string result;
    stream.next_in = bytes_of(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    int end = Z_OK;
    while (end == Z_OK && result.size() < longest_content) {
        // A buffer for the longest map would be touched by every agent, 1 MB each.
        result.resize(result.size() + unpacked_at_once);
        stream.next_out = bytes_of(result) + stream.total_out;
        stream.avail_out = static_cast<uInt>(result.size() - stream.total_out);
        end = inflate(&stream, Z_NO_FLUSH);
        if (end == Z_NEED_DICT && dictionary != nullptr &&
            inflateSetDictionary(&stream, bytes_of(*dictionary),
                                 static_cast<uInt>(dictionary->size())) == Z_OK) {
            end = inflate(&stream, Z_NO_FLUSH);
        }
    }
    result.resize(stream.total_out);
    inflateEnd(&stream);
    if (end != Z_STREAM_END) {
        return absl::DataLossError("the packed content of a map is damaged");
    }
    return result;
}

}  // namespace

void content_codec::pack(const group_map::command& from, const group_map::map_id& base,
                         wire::GroupCommand& to)
{
    remember(from.m_target.m_map, from.m_content);
    const auto dictionary = from.m_is_repeat ? nullptr : find(base);
    if (m_packed_from != from.m_content || m_packed_with != dictionary) {
        m_packed = deflate_text(*from.m_content, dictionary.get());
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
            return absl::NotFoundError("packed with a map that is not known here");
        }
        auto content = inflate_text(from.packed_content(), dictionary.get());
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
    if (m_known.size() > most_known) {
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
