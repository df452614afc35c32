#include "dewbeam/src/registrar/revision_update.h"

#include "dewbeam/src/registrar/confirmation.h"

namespace dewbeam::registrar {

namespace {

/// Route lists are repetitive: the fastest level already makes them several times smaller.
constexpr int compression_level = 1;

}  // namespace

void revision_update::put(const revisions::revision_store& held,
                          std::optional<time_span> confirmed_age, const wire::Watch& watch,
                          wire::WatchNews& news)
{
    news.set_newest_revision(held.m_number.value());
    put_confirmation(confirmed_age, watch, news);
    if (!watch.wants_revision() || watch.known_revision() >= held.m_number.value()) {
        return;
    }
    auto& revision = *news.mutable_revision();
    revision.set_number(held.m_number.value());
    if (watch.takes_packed_revision()) {
        revision.set_packed_content(packed_content(held));
    }
    else {
        revision.set_content(*held.m_content);
    }
}

const std::string& revision_update::packed_content(const revisions::revision_store& held)
{
    if (m_packed_revision != held.m_number) {
        m_packed_revision = held.m_number;
        m_packed = deflate_text(*held.m_content, compression_level);
    }
    return m_packed;
}

}  // namespace dewbeam::registrar
