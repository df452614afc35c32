#include "dewbeam/src/storage/frame.h"

#include <cstdint>
#include <cstring>
#include <optional>

#include "dewbeam/base"

namespace dewbeam::storage {

namespace {

/// Stands before each payload, in the byte order of the host.
struct frame_header {
    std::uint32_t m_magic = 0x4D414C44;
    std::uint32_t m_length = 0;
    std::uint64_t m_checksum = 0;  ///< of the payload, seeded with its length
};

std::uint64_t checksum(std::string_view payload)
{
    return stable_hash(payload, payload.size());
}

std::optional<std::string_view> payload_at(std::string_view bytes, std::size_t offset)
{
    frame_header header;
    const auto magic = header.m_magic;
    if (bytes.size() - offset < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data() + offset, sizeof(header));
    const auto rest = bytes.substr(offset + sizeof(header));
    if (header.m_magic != magic || header.m_length > rest.size()) {
        return std::nullopt;
    }
    const auto payload = rest.substr(0, header.m_length);
    return checksum(payload) == header.m_checksum ? std::optional(payload) : std::nullopt;
}

bool has_frame_after(std::string_view bytes, std::size_t offset)
{
    const std::uint32_t magic = frame_header{}.m_magic;
    std::string mark(sizeof(magic), '\0');
    std::memcpy(mark.data(), &magic, sizeof(magic));
    for (auto next = bytes.find(mark, offset + 1); next != std::string_view::npos;
         next = bytes.find(mark, next + 1)) {
        if (payload_at(bytes, next)) {
            return true;
        }
    }
    return false;
}

}  // namespace

std::string make_frame(std::string_view payload)
{
    frame_header header;
    header.m_length = static_cast<std::uint32_t>(payload.size());
    header.m_checksum = checksum(payload);
    std::string made(sizeof(header), '\0');
    std::memcpy(made.data(), &header, sizeof(header));
    made += payload;
    return made;
}

frames read_frames(std::string_view bytes)
{
    frames found;
    while (found.m_good_bytes < bytes.size()) {
        const auto payload = payload_at(bytes, found.m_good_bytes);
        if (!payload) {
            found.m_end =
                has_frame_after(bytes, found.m_good_bytes) ? frames_end::corrupt : frames_end::torn;
            return found;
        }
        found.m_payloads.push_back(*payload);
        found.m_good_bytes += sizeof(frame_header) + payload->size();
    }
    return found;
}

}  // namespace dewbeam::storage
