/// \file
/// The part of a watch update that announces the newest revision.
#pragma once

#include <optional>
#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/revisions"

namespace dewbeam::registrar {

/// Writes the number of the newest revision, and its document if a watch requests it. The
/// compressed document is cached and shared by all watchers. Not thread-safe for watches that
/// request the document: answer these on one thread. Others may be answered on any thread.
class revision_update {
public:
    /// \param confirmed_age how long ago a quorum confirmed that it knows no newer revision; empty
    ///     if it has not since this registry started
    void put(const revisions::revision_store& held, std::optional<time_span> confirmed_age,
             const wire::Watch& watch, wire::WatchNews& news);

private:
    const std::string& packed_content(const revisions::revision_store& held);

    revisions::revision_number m_packed_revision;
    std::string m_packed;
};

}  // namespace dewbeam::registrar
