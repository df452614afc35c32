#include "dewbeam/src/engine_model/engine.h"

#include <algorithm>

namespace dewbeam::engine_model {

namespace {

using admission::kv_outcome;
using admission::kv_owner;

time_span to_span(double seconds)
{
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(seconds));
}

std::size_t cache_room(const engine& subject)
{
    return static_cast<std::size_t>(
        std::max<std::int64_t>(0, free_kv(subject).m_count / subject.m_options.m_block_tokens));
}

void note_change(engine& subject, bool is_removal, std::vector<std::uint64_t> blocks)
{
    if (!blocks.empty()) {
        subject.m_changes.push_back({is_removal, std::move(blocks)});
    }
}

void fit_cache(engine& subject)
{
    note_change(subject, true, subject.m_cache.set_capacity(cache_room(subject)));
}

void enqueue(engine& subject, engine_run run, bool is_first)
{
    auto& queue = subject.m_waiting;
    const bool is_urgent = run.m_request.m_is_urgent;
    const auto place = std::find_if(queue.begin(), queue.end(), [&](const engine_run& other) {
        return is_urgent && !other.m_request.m_is_urgent;
    });
    const bool goes_first =
        is_first && (is_urgent || queue.empty() || !queue.front().m_request.m_is_urgent);
    queue.insert(goes_first ? queue.begin() : (is_urgent ? place : queue.end()), std::move(run));
}

/// The waiting request that may start: the first urgent one, unless urgent work has all that it
/// may have while ordinary work waits; else the first ordinary one, if it has a place.
std::deque<engine_run>::iterator next_to_start(engine& subject)
{
    const auto& options = subject.m_options;
    auto& queue = subject.m_waiting;
    if (subject.m_running.size() >= options.m_most_running) {
        return queue.end();
    }
    const auto urgent = static_cast<std::size_t>(
        std::count_if(subject.m_running.begin(), subject.m_running.end(),
                      [](const engine_run& run) { return run.m_request.m_is_urgent; }));
    const auto ordinary = subject.m_running.size() - urgent;
    const auto first_ordinary = std::find_if(queue.begin(), queue.end(), [](const engine_run& run) {
        return !run.m_request.m_is_urgent;
    });
    const bool may_ordinary = first_ordinary != queue.end() && ordinary < options.m_most_ordinary;
    const bool may_urgent = !queue.empty() && queue.front().m_request.m_is_urgent &&
                            (!may_ordinary || urgent < options.m_most_urgent);
    if (may_urgent) {
        return queue.begin();
    }
    return may_ordinary ? first_ordinary : queue.end();
}

/// Takes a waiting request in, if there is a place and memory for it.
bool start_one(engine& subject)
{
    auto& queue = subject.m_waiting;
    const auto place = next_to_start(subject);
    if (place == queue.end()) {
        return false;
    }
    auto& first = *place;
    const token_count prompt{first.m_request.m_prompt + first.m_done};
    const token_count bound{first.m_request.m_output_bound - first.m_done};
    const kv_owner owner{first.m_request.m_number};
    if (admission::reserve(subject.m_kv, owner, prompt, bound) != kv_outcome::granted) {
        return false;
    }
    const auto held = subject.m_cache.use_prefix(first.m_request.m_prefix);
    const auto cached = static_cast<std::int64_t>(held) * subject.m_options.m_block_tokens;
    first.m_missing = std::max<std::int64_t>(1, prompt.m_count - cached);
    subject.m_running.push_back(std::move(first));
    queue.erase(place);
    fit_cache(subject);
    return true;
}

/// Computes prompts, the urgent and then the oldest first; gives the tokens computed.
std::int64_t compute_prompts(engine& subject)
{
    std::int64_t left = subject.m_options.m_step_tokens;
    for (const bool is_urgent : {true, false}) {
        for (auto& run : subject.m_running) {
            if (run.m_request.m_is_urgent != is_urgent) {
                continue;
            }
            const auto taken = std::min(left, run.m_missing);
            run.m_missing -= taken;
            left -= taken;
        }
    }
    const auto computed = subject.m_options.m_step_tokens - left;
    subject.m_computed += static_cast<std::uint64_t>(computed);
    return computed;
}

void evict(engine& subject, kv_owner owner)
{
    auto& running = subject.m_running;
    const auto place = std::find_if(running.begin(), running.end(), [&](const engine_run& run) {
        return run.m_request.m_number == owner.value();
    });
    engine_run run = std::move(*place);
    running.erase(place);
    run.m_done = run.m_produced;
    ++subject.m_evictions;
    enqueue(subject, std::move(run), true);
}

bool is_running(const engine& subject, std::uint64_t number)
{
    return std::any_of(subject.m_running.begin(), subject.m_running.end(),
                       [&](const engine_run& run) { return run.m_request.m_number == number; });
}

void finish(engine& subject, std::uint64_t number)
{
    auto& running = subject.m_running;
    const auto place = std::find_if(running.begin(), running.end(), [&](const engine_run& run) {
        return run.m_request.m_number == number;
    });
    const auto prefix = std::move(place->m_request.m_prefix);
    running.erase(place);
    admission::release(subject.m_kv, kv_owner{number});
    fit_cache(subject);
    std::vector<std::uint64_t> stored;
    for (const auto block : prefix) {
        if (subject.m_cache.store(block)) {
            stored.push_back(block);
        }
    }
    note_change(subject, false, std::move(stored));
    note_change(subject, true, subject.m_cache.trim());
}

/// One output token of a run whose prompt is computed.
void produce(engine& subject, engine_run& run, time_point at, std::vector<engine_event>& events)
{
    const auto number = run.m_request.m_number;
    ++run.m_produced;
    if (!run.m_has_first_token) {
        run.m_has_first_token = true;
        events.push_back({engine_event::kind::first_token, number, at});
    }
    if (run.m_produced >= run.m_request.m_output) {
        finish(subject, number);
        events.push_back({engine_event::kind::completed, number, at});
        return;
    }
    for (const auto owner : admission::grow(subject.m_kv, kv_owner{number}, {1})) {
        evict(subject, owner);
    }
}

}  // namespace

engine make_engine(const engine_options& options)
{
    engine result;
    result.m_options = options;
    result.m_kv.m_options = options.m_kv;
    fit_cache(result);
    return result;
}

void add(engine& subject, const engine_request& request)
{
    engine_run run;
    run.m_request = request;
    enqueue(subject, std::move(run), false);
}

bool cancel(engine& subject, std::uint64_t number)
{
    const auto is_it = [&](const engine_run& run) { return run.m_request.m_number == number; };
    if (std::erase_if(subject.m_waiting, is_it) > 0) {
        return true;
    }
    if (std::erase_if(subject.m_running, is_it) == 0) {
        return false;
    }
    admission::release(subject.m_kv, kv_owner{number});
    fit_cache(subject);
    return true;
}

bool is_idle(const engine& subject)
{
    return subject.m_waiting.empty() && subject.m_running.empty();
}

time_point step(engine& subject, time_point now, std::vector<engine_event>& events)
{
    if (subject.m_stalled_until > now) {
        return subject.m_stalled_until;
    }
    while (start_one(subject)) {
    }
    const auto& options = subject.m_options;
    std::vector<std::uint64_t> producing;
    const auto computed = compute_prompts(subject);
    for (const auto& run : subject.m_running) {
        if (run.m_missing == 0) {
            producing.push_back(run.m_request.m_number);
        }
    }
    const double seconds = options.m_base_seconds +
                           options.m_prompt_seconds * static_cast<double>(computed) +
                           options.m_output_seconds * static_cast<double>(producing.size());
    subject.m_last_step = to_span(seconds * subject.m_slowest_rank);
    const auto end = now + subject.m_last_step;
    for (const auto number : producing) {
        if (!is_running(subject, number)) {
            continue;  // evicted for one before it
        }
        auto& run = *std::find_if(
            subject.m_running.begin(), subject.m_running.end(),
            [&](const engine_run& other) { return other.m_request.m_number == number; });
        if (run.m_request.m_is_poison) {
            events.push_back({engine_event::kind::crashed, number, end});
            return end;
        }
        produce(subject, run, end, events);
    }
    return end;
}

std::vector<std::uint64_t> crash(engine& subject)
{
    std::vector<std::uint64_t> lost;
    for (const auto& run : subject.m_running) {
        lost.push_back(run.m_request.m_number);
    }
    for (const auto& run : subject.m_waiting) {
        lost.push_back(run.m_request.m_number);
    }
    subject.m_running.clear();
    subject.m_waiting.clear();
    subject.m_changes.clear();
    subject.m_cache.clear();
    subject.m_kv.m_grants.clear();
    subject.m_kv.m_reserved = {};
    fit_cache(subject);
    return lost;
}

token_count free_kv(const engine& subject)
{
    return subject.m_kv.m_options.m_total - subject.m_kv.m_reserved;
}

}  // namespace dewbeam::engine_model
