#include "dewbeam/src/base/deflate.h"

#include <zlib.h>

#include <algorithm>

#include "dewbeam/src/base/assert.h"

namespace dewbeam {

namespace {

constexpr std::size_t unpacked_at_once = 1 << 14;

/// zlib takes non-const pointers even to input that it doesn't modify.
Bytef* bytes_of(const std::string& text)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast,cppcoreguidelines-pro-type-const-cast)
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

std::string deflate_text(const std::string& text, int level, const std::string* dictionary)
{
    z_stream stream{};
    require(deflateInit(&stream, level) == Z_OK, "zlib allocates a deflate stream");
    if (dictionary != nullptr) {
        deflateSetDictionary(&stream, bytes_of(*dictionary), static_cast<uInt>(dictionary->size()));
    }
    std::string result(deflateBound(&stream, text.size()), '\0');
    stream.next_in = bytes_of(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = bytes_of(result);
    stream.avail_out = static_cast<uInt>(result.size());
    const int end = deflate(&stream, Z_FINISH);
    require(end == Z_STREAM_END, "deflateBound covers the compressed size");
    result.resize(stream.total_out);
    deflateEnd(&stream);
    return result;
}

absl::StatusOr<std::string> inflate_text(const std::string& packed, std::size_t max_size,
                                         const std::string* dictionary)
{
    z_stream stream{};
    require(inflateInit(&stream) == Z_OK, "zlib allocates an inflate stream");
    std::string result;
    stream.next_in = bytes_of(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    int end = Z_OK;
    while (end == Z_OK && result.size() < max_size) {
        // Grows on demand: allocating `max_size` up front would commit that much memory on each
        // call.
        result.resize(result.size() + std::max(unpacked_at_once, result.size()));
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
    if (end != Z_STREAM_END || result.size() > max_size) {
        return absl::DataLossError("the compressed text is corrupt or exceeds the size limit");
    }
    return result;
}

}  // namespace dewbeam
