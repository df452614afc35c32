#include "dewbeam/src/link/wire.h"

namespace dewbeam::link {

void to_wire(const attempt_id& id, wire::AttemptId& out)
{
    out.set_entry_incarnation(id.m_entry.value());
    out.set_sequence(id.m_sequence);
}

attempt_id from_wire(const wire::AttemptId& source)
{
    return {incarnation(source.entry_incarnation()), source.sequence()};
}

void to_wire(const configuration_version& version, wire::Version& out)
{
    out.set_term(version.m_term);
    out.set_index(version.m_index);
}

configuration_version from_wire(const wire::Version& source)
{
    return {source.term(), source.index()};
}

wire::Outcome to_wire(ledger::outcome value)
{
    switch (value) {
        case ledger::outcome::completed:
            return wire::OUTCOME_COMPLETED;
        case ledger::outcome::not_run:
            return wire::OUTCOME_NOT_RUN;
        case ledger::outcome::unknown:
            break;
    }
    return wire::OUTCOME_UNKNOWN;
}

ledger::outcome from_wire(wire::Outcome value)
{
    switch (value) {
        case wire::OUTCOME_COMPLETED:
            return ledger::outcome::completed;
        case wire::OUTCOME_NOT_RUN:
            return ledger::outcome::not_run;
        default:
            return ledger::outcome::unknown;
    }
}

void to_wire(const http::fields& source, google::protobuf::RepeatedPtrField<wire::Header>& out)
{
    out.Clear();
    for (const auto& item : source) {
        auto& header = *out.Add();
        header.set_name(item.m_name);
        header.set_value(item.m_value);
    }
}

http::fields from_wire(const google::protobuf::RepeatedPtrField<wire::Header>& source)
{
    http::fields result;
    for (const auto& item : source) {
        result.push_back({item.name(), item.value()});
    }
    return result;
}

void to_wire(const configuration::label_set& source,
             google::protobuf::RepeatedPtrField<wire::Label>& out)
{
    out.Clear();
    for (const auto& item : source) {
        auto& label = *out.Add();
        label.set_key(item.m_key);
        label.set_value(item.m_value);
    }
}

configuration::label_set from_wire(const google::protobuf::RepeatedPtrField<wire::Label>& source)
{
    configuration::label_set result;
    for (const auto& item : source) {
        result.set(item.key(), item.value());
    }
    return result;
}

std::uint64_t remaining_us(time_point deadline, time_point now)
{
    return deadline <= now ? 0 : static_cast<std::uint64_t>((deadline - now).count());
}

time_point deadline_after(std::uint64_t remaining_us, time_point now)
{
    const auto room = link::remaining_us(no_deadline, now);
    return remaining_us >= room ? no_deadline
                                : now + time_span(static_cast<std::int64_t>(remaining_us));
}

}  // namespace dewbeam::link
