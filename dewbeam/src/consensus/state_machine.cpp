#include "dewbeam/src/consensus/state_machine.h"

namespace dewbeam::consensus {

namespace {

struct applier {
    replicated_state& m_state;
    const position& m_place;

    command_result operator()(const configuration::change& wanted) const
    {
        return configuration::apply(m_state.m_configuration, wanted,
                                    {m_place.m_term, m_place.m_index});
    }
    command_result operator()(const claims::claim& wanted) const
    {
        return claims::apply(m_state.m_claims, wanted);
    }
    command_result operator()(const claims::claim_report& report) const
    {
        claims::apply(m_state.m_claims, report);
        return report_accepted{};
    }
    command_result operator()(const revisions::revision& wanted) const
    {
        return revisions::apply(m_state.m_revisions, wanted);
    }
    command_result operator()(const drains::order& wanted) const
    {
        return drains::apply(m_state.m_drains, wanted, drains::change_number(m_place.m_index));
    }
};

}  // namespace

command_result apply(replicated_state& state, const command& wanted, const position& place)
{
    return std::visit(applier{state, place}, wanted.m_body);
}

}  // namespace dewbeam::consensus
