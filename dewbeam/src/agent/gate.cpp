#include "dewbeam/src/agent/gate.h"

#include <atomic>
#include <utility>
#include <vector>

#include "dewbeam/notices"
#include "dewbeam/src/engine/identity.h"
#include "dewbeam/src/program/program.h"

namespace dewbeam::agent {

namespace {

/// Entries are told of a silent upstream so often: one that has no room elsewhere may have some
/// now.
constexpr time_span silence_interval = std::chrono::milliseconds(500);
constexpr int unavailable = 503;

ledger::offered_attempt to_offer(const wire::Envelope& message, time_point now)
{
    const auto& source = message.dispatch();
    ledger::offered_attempt offer;
    offer.m_id = link::from_wire(source.attempt());
    offer.m_agent = incarnation(source.agent_incarnation());
    offer.m_configuration = link::from_wire(source.configuration());
    offer.m_urgent = source.urgent();
    offer.m_alone = source.alone();
    offer.m_deadline = link::deadline_after(source.remaining_us(), now);
    offer.m_fingerprint = fingerprint(source.fingerprint());
    return offer;
}

/// Fields that belong to one connection and are not passed on.
bool is_hop_field(const std::string& name)
{
    for (const auto* hop : {"Connection", "Transfer-Encoding", "Content-Length", "Keep-Alive",
                            "Host", "Authorization", "Upgrade", "TE", "Trailer", "Expect"}) {
        if (http::is_same_name(name, hop)) {
            return true;
        }
    }
    return false;
}

http::fields end_to_end(const http::fields& source)
{
    http::fields result;
    for (const auto& item : source) {
        if (!is_hop_field(item.m_name)) {
            result.push_back(item);
        }
    }
    return result;
}

/// A connection that broke under an answer means that the upstream's process went away.
const char* reason_of(const absl::Status& result)
{
    if (absl::IsCancelled(result)) {
        return "cancelled";
    }
    return absl::IsUnavailable(result) ? "upstream_died" : "upstream_silent";
}

ledger::outcome outcome_of(const absl::Status& result, http::progress how_far)
{
    if (result.ok()) {
        return ledger::outcome::completed;
    }
    return how_far == http::progress::not_sent ? ledger::outcome::not_run
                                               : ledger::outcome::unknown;
}

}  // namespace

/// One attempt that runs. Its chunks are numbered on the upstream connection's strand.
struct gate::attempt {
    attempt_id m_id;
    link::peer m_entry;
    std::uint64_t m_next_chunk = 0;
    std::shared_ptr<http::client_exchange> m_exchange;  ///< under the gate's mutex
    bool m_is_cancelled = false;                        ///< under the gate's mutex
    bool m_is_given_up = false;                         ///< the same; another engine is there
    bool m_is_entry_lost = false;                       ///< the same
    bool m_is_idempotent = true;
    std::atomic<time_point> m_heard_at{};  ///< brought a piece of its answer
    bool m_is_other_engine = false;        ///< used on the connection's strand alone
};

gate::gate(ledger::ledger_options options, http::client& upstream,
           control::subscriber& configuration, std::string expected_engine)
    : m_upstream(upstream),
      m_configuration(configuration),
      m_expected_engine(std::move(expected_engine))
{
    m_ledger.m_options = options;
}

void gate::use(link::node& node)
{
    m_node = &node;
}

void gate::dispatch(const link::peer& from, const wire::Envelope& message, time_point now)
{
    const auto offer = to_offer(message, now);
    auto running = std::make_shared<attempt>();
    running->m_id = offer.m_id;
    running->m_entry = from;
    running->m_is_idempotent = message.dispatch().idempotent();
    ledger::decision decided;
    {
        const std::lock_guard lock(m_mutex);
        reserve_for_urgent(now);
        decided = ledger::offer(m_ledger, offer, now);
        if (decided.m_refusal == ledger::refusal::none) {
            m_running.emplace(offer.m_id, running);
        }
    }
    if (decided.m_refusal == ledger::refusal::duplicate) {
        return;  // the first offer's answer is under way, or was given
    }
    if (decided.m_refusal != ledger::refusal::none) {
        refuse(from, offer.m_id, decided, now);
        return;
    }
    begin(running, message.dispatch());
}

void gate::refuse(const link::peer& from, const attempt_id& id, const ledger::decision& why,
                  time_point now)
{
    log_event(log_level::info, "attempt_refused",
              {{"attempt", id.m_sequence}, {"reason", ledger::to_string(why.m_refusal)}});
    if (why.m_refusal == ledger::refusal::stale_configuration) {
        // The entry catches up from here, before it hears of the refusal.
        wire::Envelope newer;
        *newer.mutable_configuration_update() = m_configuration.message();
        m_node->reply(from, std::move(newer));
    }
    wire::Envelope message;
    auto& chunk = *message.mutable_reply_chunk();
    link::to_wire(id, *chunk.mutable_attempt());
    chunk.set_last(true);
    chunk.set_outcome(link::to_wire(why.m_outcome));
    chunk.set_reason(ledger::to_string(why.m_refusal));
    constexpr std::uint64_t us_per_ms = 1000;
    chunk.set_retry_after_ms(link::remaining_us(why.m_retry_at, now) / us_per_ms);
    m_node->reply(from, std::move(message));
}

void gate::begin(const attempt_pointer& running, const wire::Dispatch& message)
{
    log_event(log_level::info, "attempt_begun", {{"attempt", running->m_id.m_sequence}});
    wire::Envelope accepted;
    link::to_wire(running->m_id, *accepted.mutable_accepted()->mutable_attempt());
    m_node->reply(running->m_entry, std::move(accepted));
    http::request wanted;
    wanted.m_method = message.method();
    wanted.m_target = message.target();
    wanted.m_fields = end_to_end(link::from_wire(message.headers()));
    wanted.m_fields.push_back({"X-Priority", message.urgent() ? "urgent" : "ordinary"});
    if (!m_expected_engine.empty()) {
        wanted.m_fields.push_back({engine::expected_engine_field, m_expected_engine});
    }
    wanted.m_body = message.body();
    http::client_handlers handlers;
    handlers.m_on_head = [self = shared_from_this(), running](int status,
                                                              const http::fields& head) {
        if (status == engine::other_engine_status && !self->m_expected_engine.empty()) {
            running->m_is_other_engine = true;
            return;
        }
        self->note_backoff(*running, status, head);
        wire::ReplyChunk chunk;
        chunk.set_status(static_cast<std::uint32_t>(status));
        link::to_wire(end_to_end(head), *chunk.mutable_headers());
        self->send_chunk(*running, std::move(chunk));
    };
    handlers.m_on_data = [self = shared_from_this(), running](std::string bytes) {
        if (running->m_is_other_engine) {
            return;
        }
        wire::ReplyChunk chunk;
        chunk.set_data(std::move(bytes));
        self->send_chunk(*running, std::move(chunk));
    };
    handlers.m_on_end = [self = shared_from_this(), running](const absl::Status& result,
                                                             http::progress how_far) {
        self->end(running, result, how_far);
    };
    auto exchange = m_upstream.start(std::move(wanted), std::move(handlers));
    const std::lock_guard lock(m_mutex);
    running->m_exchange = std::move(exchange);
    if (running->m_is_cancelled) {
        running->m_exchange->cancel();
    }
}

/// Heeds `Retry-After` in a refusal of the engine: it wants no attempts for so long.
void gate::note_backoff(const attempt& running, int status, const http::fields& head)
{
    const auto asked = status == unavailable ? http::read_retry_after(head) : std::nullopt;
    if (!asked) {
        return;
    }
    const auto span = asked->m_span.value_or(notices::default_backoff);
    log_event(
        log_level::info, "engine_backoff",
        {{"attempt", running.m_id.m_sequence},
         {"readable", asked->m_span.has_value()},
         {"backoff_ms", std::chrono::duration_cast<std::chrono::milliseconds>(span).count()}});
    const std::lock_guard lock(m_mutex);
    ledger::back_off(m_ledger, program::now() + span);
}

void gate::send_chunk(attempt& running, wire::ReplyChunk chunk)
{
    running.m_heard_at = program::now();
    link::to_wire(running.m_id, *chunk.mutable_attempt());
    chunk.set_sequence(running.m_next_chunk++);
    wire::Envelope message;
    *message.mutable_reply_chunk() = std::move(chunk);
    m_node->reply(running.m_entry, std::move(message));
}

void gate::end(const attempt_pointer& running, const absl::Status& result, http::progress how_far)
{
    const auto outcome =
        running->m_is_other_engine ? ledger::outcome::not_run : outcome_of(result, how_far);
    const char* cancelled_for = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        ledger::finish(m_ledger, running->m_id, outcome, program::now());
        m_running.erase(running->m_id);
        running->m_exchange.reset();
        if (running->m_is_given_up) {
            cancelled_for = "upstream_replaced";
        }
        else if (running->m_is_entry_lost) {
            cancelled_for = ledger::entry_lost;
        }
    }
    wire::ReplyChunk chunk;
    chunk.set_last(true);
    chunk.set_outcome(link::to_wire(outcome));
    if (running->m_is_other_engine) {
        chunk.set_reason("other_engine");
        log_event(log_level::warning, "attempt_refused_by_other_engine",
                  {{"attempt", running->m_id.m_sequence}, {"expected", m_expected_engine}});
    }
    else if (!result.ok()) {
        chunk.set_reason(cancelled_for != nullptr ? cancelled_for : reason_of(result));
        log_event(
            log_level::info, "attempt_failed",
            {{"attempt", running->m_id.m_sequence}, {"reason", std::string(result.message())}});
    }
    send_chunk(*running, std::move(chunk));
}

void gate::cancel(const attempt_id& id)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_running.find(id);
    if (place == m_running.end()) {
        return;
    }
    place->second->m_is_cancelled = true;
    if (place->second->m_exchange) {
        place->second->m_exchange->cancel();
    }
}

void gate::tombstone(const link::peer& from, const wire::Tombstone& message, time_point now)
{
    const auto id = link::from_wire(message.attempt());
    ledger::outcome known = ledger::outcome::unknown;
    {
        const std::lock_guard lock(m_mutex);
        known = ledger::tombstone(m_ledger, id, incarnation(message.agent_incarnation()), now);
    }
    wire::Envelope answer;
    auto& reply = *answer.mutable_tombstone_reply();
    link::to_wire(id, *reply.mutable_attempt());
    reply.set_outcome(link::to_wire(known));
    m_node->reply(from, std::move(answer));
}

void gate::entry_lost(const link::peer& gone)
{
    const std::lock_guard lock(m_mutex);
    for (auto& [id, running] : m_running) {
        if (running->m_entry == gone && running->m_exchange) {
            running->m_is_cancelled = true;
            running->m_is_entry_lost = true;
            running->m_exchange->cancel();
        }
    }
}

/// Attempts that may run twice and brought nothing since `heard_at`. Under the mutex.
std::vector<gate::attempt_pointer> gate::unanswered_since(time_point heard_at) const
{
    std::vector<attempt_pointer> result;
    for (const auto& [id, running] : m_running) {
        if (running->m_is_idempotent && !running->m_is_cancelled && running->m_exchange &&
            running->m_heard_at.load() <= heard_at) {
            result.push_back(running);
        }
    }
    return result;
}

void gate::give_up_unanswered(time_point heard_at)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& running : unanswered_since(heard_at)) {
        running->m_is_cancelled = true;
        running->m_is_given_up = true;
        running->m_exchange->cancel();
    }
}

void gate::tell_silence(time_point heard_at, time_point now)
{
    std::vector<attempt_pointer> unanswered;
    {
        const std::lock_guard lock(m_mutex);
        if (now < m_next_silence) {
            return;
        }
        m_next_silence = now + silence_interval;
        unanswered = unanswered_since(heard_at);
    }
    for (const auto& running : unanswered) {
        wire::Envelope message;
        link::to_wire(running->m_id, *message.mutable_silence()->mutable_attempt());
        m_node->reply(running->m_entry, std::move(message));
    }
}

void gate::set_configuration(configuration_version version)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.m_configuration = std::max(m_ledger.m_configuration, version);
}

void gate::start_leaving()
{
    const std::lock_guard lock(m_mutex);
    ledger::start_leaving(m_ledger);
}

void gate::stop_leaving()
{
    const std::lock_guard lock(m_mutex);
    m_ledger.m_leaving = false;
}

void gate::set_incarnation(incarnation fresh)
{
    const std::lock_guard lock(m_mutex);
    ledger::renew(m_ledger, fresh);
}

void gate::set_paused(bool paused)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.m_paused = paused;
}

void gate::set_slots(std::uint32_t slots)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.m_options.m_slots = slots;
}

void gate::tick(time_point now)
{
    const std::lock_guard lock(m_mutex);
    reserve_for_urgent(now);
    ledger::expire(m_ledger, now);
}

void gate::reserve_for_urgent(time_point now)
{
    fairness::note_urgent(m_urgent_demand, m_ledger.m_running_urgent, now);
    auto& options = m_ledger.m_options;
    options.m_urgent_slots =
        options.m_slots - fairness::ordinary_slots({}, options.m_slots, m_urgent_demand);
}

gate::class_figures gate::classes() const
{
    const std::lock_guard lock(m_mutex);
    const auto& options = m_ledger.m_options;
    return {m_ledger.m_running_urgent, options.m_slots - options.m_urgent_slots};
}

std::size_t gate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

}  // namespace dewbeam::agent
