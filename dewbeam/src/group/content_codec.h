/// \file
/// Compression of expert map content sent to the ranks.
///
/// Successive maps differ in few places, so content is compressed with the content of the map in
/// force as a dictionary. The ranks know that content, which they received when it was staged.
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

/// Codec of one agent, with the map contents that it remembers. Not thread-safe.
class content_codec {
public:
    /// Packs the content of a `stage` command, with the content of `base` as dictionary if this
    /// agent knows it and the command is not a repeat, otherwise without a dictionary.
    void pack(const group_map::command& from, const group_map::map_id& base,
              wire::GroupCommand& to);

    /// Sets and remembers the content of a command that was read from `from`. Content that was sent
    /// unpacked is only remembered. Returns an error if the content was packed with an unknown map
    /// or is damaged; the repeat of the command will contain it without a dictionary.
    absl::Status unpack(const wire::GroupCommand& from, group_map::command& to);

private:
    void remember(const group_map::map_id& map, const group_map::map_content& content);
    [[nodiscard]] group_map::map_content find(const group_map::map_id& map) const;

    std::deque<std::pair<group_map::map_id, group_map::map_content>> m_known;  ///< oldest first
    group_map::map_content m_packed_from;  ///< content in `m_packed`
    group_map::map_content m_packed_with;  ///< dictionary used for `m_packed`
    std::string m_packed;                  ///< cached, since every rank gets the same bytes
};

}  // namespace dewbeam::group
