/// \file
/// What a registry tells its watchers of the newest revision.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/revisions"

namespace dewbeam::registrar {

/// Writes the number of the newest revision, and its document where a watch wants it.
class revision_news {
public:
    /// `is_sure`: a majority of registries knows none that is newer.
    void put(const revisions::revision_store& held, bool is_sure, const wire::Watch& watch,
             wire::WatchNews& news);
};

}  // namespace dewbeam::registrar
