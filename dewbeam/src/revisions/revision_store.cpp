#include "dewbeam/src/revisions/revision_store.h"

namespace dewbeam::revisions {

revision_result apply(revision_store& state, const revision& wanted)
{
    if (wanted.m_number <= state.m_number) {
        return revision_result::overtaken;
    }
    state.m_number = wanted.m_number;
    state.m_content = std::make_shared<const std::string>(wanted.m_content);
    return revision_result::adopted;
}

}  // namespace dewbeam::revisions
