#include "dewbeam/src/control/wire.h"

#include "dewbeam/link"

namespace dewbeam::control {

namespace {

using consensus::disk_id;
using consensus::replica_id;

absl::Status damaged(const char* what)
{
    return absl::DataLossError(std::string(what) + " is damaged");
}

std::uint64_t to_us(time_point from)
{
    return static_cast<std::uint64_t>(from.time_since_epoch().count());
}

time_point from_us(std::uint64_t from)
{
    constexpr std::uint64_t most = 1ULL << 62U;  // sums of two stay in range
    return time_point(time_span(static_cast<std::int64_t>(std::min(from, most))));
}

void put(wire::AttemptId* to, const attempt_id& from)
{
    to->set_entry_incarnation(from.m_entry.value());
    to->set_sequence(from.m_sequence);
}

attempt_id take(const wire::AttemptId& from)
{
    return {incarnation(from.entry_incarnation()), from.sequence()};
}

template <class To>
void put_members(To& to, const consensus::membership& from)
{
    for (const auto& item : from) {
        auto* made = to.add_members();
        made->set_replica(item.m_identity.m_id.value());
        made->set_disk(item.m_identity.m_disk.value());
        made->set_votes(item.m_votes);
    }
}

template <class From>
consensus::membership take_members(const From& from)
{
    consensus::membership made;
    for (const auto& item : from.members()) {
        made.push_back({{replica_id(item.replica()), disk_id(item.disk())}, item.votes()});
    }
    return made;
}

template <class To>
void put_answer(To& to, const claims::kept_answer& from)
{
    to.set_status(from.m_status);
    to.set_body(from.m_body);
    for (const auto& item : from.m_headers) {
        auto* made = to.add_headers();
        made->set_name(item.m_name);
        made->set_value(item.m_value);
    }
}

template <class From>
claims::kept_answer take_answer(const From& from)
{
    claims::kept_answer made{from.status(), {}, from.body()};
    for (const auto& item : from.headers()) {
        made.m_headers.push_back({item.name(), item.value()});
    }
    return made;
}

/// Writes the body of a command.
struct body_writer {
    wire::LogCommand& m_to;

    void operator()(const configuration::change& from) const
    {
        m_to.set_change(configuration::encode(from));
    }
    void operator()(const claims::claim& from) const
    {
        auto* made = m_to.mutable_claim();
        made->set_key(from.m_key.value());
        put(made->mutable_attempt(), from.m_attempt);
        made->set_agent(from.m_agent.value());
        made->set_fingerprint(from.m_fingerprint.value());
        put_times(from.m_time, from.m_forget_at);
    }
    void operator()(const claims::claim_report& from) const
    {
        auto* made = m_to.mutable_claim_result();
        made->set_key(from.m_key.value());
        put(made->mutable_attempt(), from.m_attempt);
        made->set_outcome(link::to_wire(from.m_outcome));
        made->set_answer_held(from.m_answer.has_value());
        if (from.m_answer) {
            put_answer(*made, *from.m_answer);
        }
        put_times(from.m_time, from.m_forget_at);
        m_to.set_withdraws(from.m_withdraws ? from.m_withdraws->m_number : 0);
    }
    void operator()(const revisions::revision& from) const
    {
        auto* made = m_to.mutable_revision();
        made->set_number(from.m_number.value());
        made->set_content(from.m_content);
    }
    void operator()(const drains::order& from) const
    {
        auto* made = m_to.mutable_drain_order();
        made->set_domain(from.m_domain.value());
        made->set_is_drained(from.m_is_drained);
        made->set_expected_change(from.m_expected_change.value());
    }
    void put_times(time_point now, time_point forget_at) const
    {
        m_to.set_time_us(to_us(now));
        m_to.set_forget_at_us(to_us(forget_at));
    }
};

revisions::revision take_revision(const wire::Revision& from)
{
    return {revisions::revision_number(from.number()), from.content()};
}

drains::order take_order(const wire::DrainOrder& from)
{
    return {failure_domain_id(from.domain()), from.is_drained(),
            drains::change_number(from.expected_change())};
}

void put_domains(wire::LogState& to, const drains::drain_state& from)
{
    for (const auto& [domain, known] : from.m_domains) {
        auto& made = *to.add_domains();
        made.set_domain(domain.value());
        made.set_is_drained(known.m_is_drained);
        made.set_last_change(known.m_last_change.value());
    }
}

drains::drain_state take_domains(const wire::LogState& from)
{
    drains::drain_state result;
    for (const auto& item : from.domains()) {
        const drains::change_number change(item.last_change());
        result.m_domains[failure_domain_id(item.domain())] = {item.is_drained(), change};
        result.m_last_change = std::max(result.m_last_change, change);
    }
    return result;
}

claims::claim take_claim(const wire::LogCommand& from)
{
    const auto& body = from.claim();
    claims::claim made;
    made.m_proposal = {from.origin(), incarnation(from.origin_life()), from.number()};
    made.m_key = claims::claim_key(body.key());
    made.m_attempt = take(body.attempt());
    made.m_agent = host_id(body.agent());
    made.m_fingerprint = fingerprint(body.fingerprint());
    made.m_time = from_us(from.time_us());
    made.m_forget_at = from_us(from.forget_at_us());
    return made;
}

claims::claim_report take_report(const wire::LogCommand& from)
{
    const auto& body = from.claim_result();
    claims::claim_report made;
    made.m_key = claims::claim_key(body.key());
    made.m_attempt = take(body.attempt());
    made.m_outcome = link::from_wire(body.outcome());
    if (body.answer_held()) {
        made.m_answer = take_answer(body);
    }
    made.m_time = from_us(from.time_us());
    made.m_forget_at = from_us(from.forget_at_us());
    if (from.withdraws() != 0) {
        made.m_withdraws =
            claims::proposal_id{from.origin(), incarnation(from.origin_life()), from.withdraws()};
    }
    return made;
}

void put_record(wire::ClaimRecord& to, const claims::claim_key& key,
                const claims::claim_record& from)
{
    to.set_key(key.value());
    to.set_state(static_cast<std::uint32_t>(from.m_state));
    put(to.mutable_attempt(), from.m_attempt);
    to.set_agent(from.m_agent.value());
    to.set_fingerprint(from.m_fingerprint.value());
    to.set_forget_at_us(to_us(from.m_forget_at));
    to.set_origin(from.m_proposal.m_origin);
    to.set_origin_life(from.m_proposal.m_life.value());
    to.set_number(from.m_proposal.m_number);
    to.set_shared(from.m_is_shared);
    for (const auto& item : from.m_released) {
        put(to.add_released(), item);
    }
}

absl::Status take_record(claims::table& to, const wire::ClaimRecord& from)
{
    claims::claim_record made;
    if (from.state() > static_cast<std::uint32_t>(claims::claim_state::released)) {
        return damaged("a claim");
    }
    made.m_state = static_cast<claims::claim_state>(from.state());
    made.m_attempt = take(from.attempt());
    made.m_agent = host_id(from.agent());
    made.m_fingerprint = fingerprint(from.fingerprint());
    made.m_forget_at = from_us(from.forget_at_us());
    made.m_proposal = {from.origin(), incarnation(from.origin_life()), from.number()};
    made.m_is_shared = from.shared();
    for (const auto& item : from.released()) {
        made.m_released.push_back(take(item));
    }
    const claims::claim_key key(from.key());
    if (to.m_claims.contains(key)) {
        return damaged("a list of claims");
    }
    claims::restore(to, key, std::move(made));
    return absl::OkStatus();
}

absl::Status take_claims(claims::table& to, const wire::LogState& from)
{
    to.m_time = from_us(from.time_us());
    for (const auto& item : from.claims()) {
        if (auto status = take_record(to, item); !status.ok()) {
            return status;
        }
    }
    for (const auto& item : from.answers()) {
        const claims::claim_key key(item.key());
        const auto place = to.m_claims.find(key);
        if (place == to.m_claims.end() || place->second.m_answer) {
            return damaged("a kept answer");
        }
        claims::restore_answer(to, key, take_answer(item));
    }
    return absl::OkStatus();
}

bool parse(google::protobuf::MessageLite& to, std::string_view bytes)
{
    return to.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

wire::LogEntry to_wire(const consensus::entry& from)
{
    wire::LogEntry made;
    made.set_term(from.m_position.m_term);
    made.set_index(from.m_position.m_index);
    made.set_kind(static_cast<std::uint32_t>(from.m_kind));
    made.set_payload(from.m_payload);
    put_members(made, from.m_members);
    return made;
}

absl::StatusOr<consensus::entry> from_wire(const wire::LogEntry& from)
{
    if (from.kind() > static_cast<std::uint32_t>(consensus::entry_kind::members)) {
        return damaged("an entry of the log");
    }
    consensus::entry made;
    made.m_position = {from.term(), from.index()};
    made.m_kind = static_cast<consensus::entry_kind>(from.kind());
    made.m_payload = from.payload();
    made.m_members = take_members(from);
    return made;
}

wire::LogSnapshot to_wire(const consensus::snapshot& from)
{
    wire::LogSnapshot made;
    made.set_term(from.m_position.m_term);
    made.set_index(from.m_position.m_index);
    put_members(made, from.m_members);
    made.set_state(from.m_state);
    return made;
}

consensus::snapshot from_wire(const wire::LogSnapshot& from)
{
    return {{from.term(), from.index()}, take_members(from), from.state()};
}

wire::LogHardState to_wire(const consensus::hard_state& from)
{
    wire::LogHardState made;
    made.set_term(from.m_term);
    made.set_commit(from.m_commit);
    made.set_log(from.m_log.value());
    if (from.m_vote) {
        made.set_voted(true);
        made.set_vote_replica(from.m_vote->m_id.value());
        made.set_vote_disk(from.m_vote->m_disk.value());
    }
    return made;
}

consensus::hard_state from_wire(const wire::LogHardState& from)
{
    consensus::hard_state made;
    made.m_term = from.term();
    made.m_commit = from.commit();
    made.m_log = log_id(from.log());
    if (from.voted()) {
        made.m_vote =
            consensus::identity{replica_id(from.vote_replica()), disk_id(from.vote_disk())};
    }
    return made;
}

wire::ConsensusMessage to_wire(const consensus::message& from)
{
    wire::ConsensusMessage made;
    made.set_kind(static_cast<std::uint32_t>(from.m_kind));
    made.set_from(from.m_from.m_id.value());
    made.set_to(from.m_to.value());
    made.set_from_incarnation(from.m_from.m_disk.value());
    made.set_term(from.m_term);
    made.set_previous_index(from.m_previous.m_index);
    made.set_previous_term(from.m_previous.m_term);
    made.set_commit_index(from.m_commit);
    made.set_granted(from.m_granted);
    made.set_hint_index(from.m_hint);
    made.set_round(from.m_round);
    made.set_forced(from.m_forced);
    made.set_log(from.m_log.value());
    for (const auto& item : from.m_entries) {
        *made.add_entries() = to_wire(item);
    }
    if (from.m_snapshot) {
        *made.mutable_snapshot() = to_wire(*from.m_snapshot);
    }
    return made;
}

absl::StatusOr<consensus::message> from_wire(const wire::ConsensusMessage& from)
{
    if (from.kind() > static_cast<std::uint32_t>(consensus::message_kind::campaign_now)) {
        return damaged("a message of the log");
    }
    consensus::message made;
    made.m_kind = static_cast<consensus::message_kind>(from.kind());
    made.m_from = {replica_id(from.from()), disk_id(from.from_incarnation())};
    made.m_to = replica_id(from.to());
    made.m_term = from.term();
    made.m_previous = {from.previous_term(), from.previous_index()};
    made.m_commit = from.commit_index();
    made.m_granted = from.granted();
    made.m_hint = from.hint_index();
    made.m_round = from.round();
    made.m_forced = from.forced();
    made.m_log = log_id(from.log());
    for (const auto& item : from.entries()) {
        auto taken = from_wire(item);
        if (!taken.ok()) {
            return taken.status();
        }
        made.m_entries.push_back(*std::move(taken));
    }
    if (from.has_snapshot()) {
        made.m_snapshot = std::make_shared<consensus::snapshot>(from_wire(from.snapshot()));
    }
    return made;
}

std::string encode(const consensus::command& from)
{
    wire::LogCommand made;
    made.set_origin(from.m_id.m_origin.value());
    made.set_origin_life(from.m_id.m_life.value());
    made.set_number(from.m_id.m_number);
    std::visit(body_writer{made}, from.m_body);
    return made.SerializeAsString();
}

absl::StatusOr<consensus::command> decode_command(std::string_view bytes)
{
    wire::LogCommand from;
    if (!parse(from, bytes)) {
        return damaged("a command of the log");
    }
    consensus::command made;
    made.m_id = {replica_id(from.origin()), incarnation(from.origin_life()), from.number()};
    switch (from.body_case()) {
        case wire::LogCommand::kChange: {
            auto change = configuration::decode_change(from.change());
            if (!change.ok()) {
                return change.status();
            }
            made.m_body = *std::move(change);
            return made;
        }
        case wire::LogCommand::kClaim:
            made.m_body = take_claim(from);
            return made;
        case wire::LogCommand::kClaimResult:
            made.m_body = take_report(from);
            return made;
        case wire::LogCommand::kRevision:
            made.m_body = take_revision(from.revision());
            return made;
        case wire::LogCommand::kDrainOrder:
            made.m_body = take_order(from.drain_order());
            return made;
        case wire::LogCommand::BODY_NOT_SET:
            break;
    }
    return damaged("a command of the log");
}

std::string encode(const consensus::replicated_state& from)
{
    wire::LogState made;
    made.set_configuration(configuration::encode(from.m_configuration));
    made.set_time_us(to_us(from.m_claims.m_time));
    for (const auto& [key, record] : from.m_claims.m_claims) {
        put_record(*made.add_claims(), key, record);
    }
    for (const auto& key : from.m_claims.m_answers) {
        auto* answer = made.add_answers();
        answer->set_key(key.value());
        put_answer(*answer, *from.m_claims.m_claims.at(key).m_answer);
    }
    const auto& revision = from.m_revisions;
    if (revision.m_number != revisions::revision_number{}) {
        made.mutable_revision()->set_number(revision.m_number.value());
        made.mutable_revision()->set_content(*revision.m_content);
    }
    put_domains(made, from.m_drains);
    return made.SerializeAsString();
}

absl::StatusOr<consensus::replicated_state> decode_state(std::string_view bytes)
{
    wire::LogState from;
    if (!parse(from, bytes)) {
        return damaged("the state");
    }
    auto store = configuration::decode_store(from.configuration());
    if (!store.ok()) {
        return store.status();
    }
    consensus::replicated_state made;
    made.m_configuration = *std::move(store);
    if (auto status = take_claims(made.m_claims, from); !status.ok()) {
        return status;
    }
    revisions::apply(made.m_revisions, take_revision(from.revision()));
    made.m_drains = take_domains(from);
    return made;
}

}  // namespace dewbeam::control
