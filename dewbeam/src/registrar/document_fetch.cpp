#include "dewbeam/src/registrar/document_fetch.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

constexpr time_span min_answer_timeout = std::chrono::seconds(1);
/// The timeout doubles with each unanswered request, so that retries don't saturate slow links.
constexpr std::uint32_t max_timeout_doublings = 2;

time_span answer_timeout(std::uint32_t unanswered)
{
    return min_answer_timeout * (1U << std::min(unanswered, max_timeout_doublings));
}

/// Rendezvous hash: the registry with the lowest value is preferred.
std::uint64_t preference(const document_source& subject, std::uint64_t seed)
{
    return stable_hash(subject.m_address, seed);
}

/// The preferred registry other than `excluded`, or null if there is none.
const document_source* preferred_source(const std::vector<document_source>& sources,
                                        std::uint64_t seed, bool must_have_newer,
                                        const std::string& excluded)
{
    const document_source* best = nullptr;
    for (const auto& candidate : sources) {
        if ((must_have_newer && !candidate.m_has_newer) || candidate.m_address == excluded) {
            continue;
        }
        if (best == nullptr || preference(candidate, seed) < preference(*best, seed)) {
            best = &candidate;
        }
    }
    return best;
}

}  // namespace

std::string next_request(document_fetch& state, const std::vector<document_source>& sources,
                         std::uint64_t seed, bool skip_preferred_wait, time_point now)
{
    const bool is_due = state.m_requested_from.empty() || state.m_answer_deadline <= now;
    const bool is_available = std::any_of(sources.begin(), sources.end(),
                                          [](const auto& item) { return item.m_has_newer; });
    if (!is_due || !is_available || state.m_not_before > now) {
        return {};
    }
    const bool was_unanswered = !state.m_requested_from.empty();
    if (state.m_any_source_from == no_deadline) {
        state.m_any_source_from = now + preferred_wait;
    }
    const bool may_use_any =
        skip_preferred_wait || was_unanswered || state.m_any_source_from <= now;
    const auto* target = preferred_source(sources, seed, may_use_any, state.m_requested_from);
    if (target == nullptr) {
        target = preferred_source(sources, seed, true, {});  // no other registry has it
    }
    if (!target->m_has_newer) {
        return {};
    }
    state.m_unanswered += was_unanswered ? 1 : 0;
    state.m_requested_from = target->m_address;
    state.m_answer_deadline = now + answer_timeout(state.m_unanswered);
    return state.m_requested_from;
}

void note_answer(document_fetch& state, const std::string& address, time_point not_before)
{
    if (state.m_requested_from == address) {
        state = {};
    }
    state.m_not_before = not_before;
}

void record_disconnect(document_fetch& state, const std::string& address)
{
    if (state.m_requested_from == address) {
        state.m_requested_from.clear();
    }
}

}  // namespace dewbeam::registrar
