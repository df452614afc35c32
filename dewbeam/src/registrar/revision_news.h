/// \file
/// What a registry tells its watchers of the newest revision.
#pragma once

#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/revisions"

namespace dewbeam::registrar {

/// Writes the number of the newest revision, and its document if a watch requests it. The
/// compressed document is cached and shared by all watchers. Not thread-safe for watches that
/// request the document: answer these on one thread. Others may be answered on any thread.
class revision_news {
public:
    /// `is_sure`: a majority of registries knows none that is newer.
    void put(const revisions::revision_store& held, bool is_sure, const wire::Watch& watch,
             wire::WatchNews& news);

private:
    const std::string& packed_content(const revisions::revision_store& held);

    revisions::revision_number m_packed_revision;
    std::string m_packed;
};

}  // namespace dewbeam::registrar
