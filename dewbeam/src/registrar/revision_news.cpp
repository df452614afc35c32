#include "dewbeam/src/registrar/revision_news.h"

namespace dewbeam::registrar {

void revision_news::put(const revisions::revision_store& held, bool is_sure,
                        const wire::Watch& watch, wire::WatchNews& news)
{
    news.set_newest_revision(held.m_number.value());
    news.set_is_sure(is_sure);
    if (watch.wants_revision() && watch.known_revision() < held.m_number.value()) {
        news.mutable_revision()->set_number(held.m_number.value());
        news.mutable_revision()->set_content(*held.m_content);
    }
}

}  // namespace dewbeam::registrar
