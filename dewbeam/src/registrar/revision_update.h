/// \file
/// The part of a watch update that announces the newest revision.
#pragma once

#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/revisions"

namespace dewbeam::registrar {

/// Writes the number of the newest revision, and its document if a watch requests it. The
/// compressed document is cached and shared by all watchers. Not thread-safe for watches that
/// request the document: answer these on one thread. Others may be answered on any thread.
class revision_update {
public:
    /// \param is_sure whether this registry is caught up with the log and has a quorum, so that a
    ///     majority of registries knows no newer revision
    void put(const revisions::revision_store& held, bool is_sure, const wire::Watch& watch,
             wire::WatchNews& news);

private:
    const std::string& packed_content(const revisions::revision_store& held);

    revisions::revision_number m_packed_revision;
    std::string m_packed;
};

}  // namespace dewbeam::registrar
