/// \file
/// The content of expert maps on its way to the ranks, packed.
///
/// Two maps that follow each other differ in few places, so content is compressed with the content
/// of the map in force as a dictionary. The ranks know that one: they were told it when it was
/// staged.
///
/// \code
/// codec.pack(command, settled, *message.mutable_command());       // at the coordinator
/// const auto status = codec.unpack(message.command(), command);   // at a rank
/// \endcode
#pragma once

#include <deque>
#include <string>
#include <utility>

#include "dewbeam.pb.h"
#include "dewbeam/group_map"

namespace dewbeam::group {

/// What one agent knows of maps' contents. Not thread-safe.
class content_codec {
public:
    /// Packs the content of a `stage` command: with the content of `base` as dictionary where this
    /// agent knows it and the command is no repeat, else by itself.
    void pack(const group_map::command& from, const group_map::map_id& base,
              wire::GroupCommand& to);

    /// Sets the content of a command that was read from `from`, and remembers it; nothing to do
    /// where it came as it is. An error where it was packed with a map that is not known here, or
    /// damaged: the repeat of the command will have it whole.
    absl::Status unpack(const wire::GroupCommand& from, group_map::command& to);

private:
    void remember(const group_map::map_id& map, const group_map::map_content& content);
    [[nodiscard]] group_map::map_content find(const group_map::map_id& map) const;

    std::deque<std::pair<group_map::map_id, group_map::map_content>> m_known;  ///< latest last
    group_map::map_content m_packed_from;  ///< what `m_packed` was made from ...
    group_map::map_content m_packed_with;  ///< ... and with
    std::string m_packed;                  ///< the same bytes go to every rank
};

}  // namespace dewbeam::group
