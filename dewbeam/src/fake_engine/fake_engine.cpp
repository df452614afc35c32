#include "dewbeam/src/fake_engine/fake_engine.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "dewbeam/src/engine/expert_json.h"
#include "dewbeam/src/engine/identity.h"
#include "dewbeam/src/engine/order_json.h"
#include "dewbeam/src/fake_engine/rank_engine.h"

namespace dewbeam::fake_engine {

namespace {

namespace asio = boost::asio;
using json = nlohmann::json;

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t default_output_tokens = 16;

/// A request that runs or waits.
struct job {
    std::shared_ptr<http::exchange> m_answer;
    std::string m_id;
    std::string m_model;
    bool m_is_chat = true;
    bool m_is_stream = false;
    bool m_is_urgent = false;
    std::uint64_t m_prompt_hash = 0;
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_next = 0;  ///< index of the next word
    std::uint64_t m_end = 0;   ///< one past the last word
    time_span m_prefill_left{};
    std::string m_text;
    std::atomic<bool> m_is_gone = false;

    [[nodiscard]] std::uint64_t kv_tokens() const { return m_prompt_tokens + m_next; }
};

using job_pointer = std::shared_ptr<job>;

std::string prompt_of(const json& body)
{
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"];
    }
    std::string text;
    if (body.contains("messages") && body["messages"].is_array()) {
        for (const auto& message : body["messages"]) {
            text += message.value("content", "");
            text += '\n';
        }
    }
    return text;
}

json choice(const job& work, const std::string& text, bool is_chunk)
{
    json result{{"index", 0}, {"finish_reason", nullptr}};
    if (!work.m_is_chat) {
        result["text"] = text;
    }
    else {
        result[is_chunk ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
    }
    return result;
}

std::string chunk_text(const job& work, const std::string& word)
{
    const json chunk{{"id", work.m_id},
                     {"object", work.m_is_chat ? "chat.completion.chunk" : "text_completion"},
                     {"model", work.m_model},
                     {"choices", json::array({choice(work, word, true)})}};
    return "data: " + chunk.dump() + "\n\n";
}

http::response whole_answer(const job& work)
{
    auto only = choice(work, work.m_text, false);
    only["finish_reason"] = "stop";
    const json body{
        {"id", work.m_id},
        {"object", work.m_is_chat ? "chat.completion" : "text_completion"},
        {"model", work.m_model},
        {"choices", json::array({only})},
        {"usage", {{"prompt_tokens", work.m_prompt_tokens}, {"completion_tokens", work.m_end}}}};
    return http::json_response(200, body.dump());
}

http::response error_answer(int status, const std::string& message)
{
    return http::json_response(status, json{{"error", {{"message", message}}}}.dump());
}

}  // namespace

/// The order of popularity is another one in each layer.
experts::group_counts tokens_per_step(const expert_options& options)
{
    experts::group_counts counts(options.m_layers);
    double whole = 0;
    for (std::uint32_t place = 0; place < options.m_experts; ++place) {
        whole += std::pow(place + 1, -options.m_skew);
    }
    for (std::uint32_t layer = 0; layer < options.m_layers; ++layer) {
        for (std::uint32_t expert = 0; expert < options.m_experts; ++expert) {
            const auto place = (expert + layer) % options.m_experts;
            const double share = std::pow(place + 1, -options.m_skew) / whole;
            counts[layer].push_back(options.m_tokens_per_step * share);
        }
    }
    return counts;
}

std::string answer_word(std::uint64_t prompt_hash, std::uint64_t index)
{
    return absl::StrFormat("w%d-%x ", index, prompt_hash);
}

class engine::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, engine_options options)
        : m_options(std::move(options)), m_timer(asio::make_strand(context))
    {
        m_rank.m_checks_fencing = m_options.m_checks_fencing;
        m_rank.m_state.m_group = m_options.m_group;
        m_rank.m_state.m_can_hold = m_options.m_can_hold;
    }

    void begin() { schedule(); }

    void stop() { m_is_stopped = true; }

    void handle(http::request&& request, const std::shared_ptr<http::exchange>& answer)
    {
        const auto path = http::path_of(request.m_target);
        const auto expected =
            http::find_field(request.m_fields, dewbeam::engine::expected_engine_field);
        if (!expected.empty() && expected != m_options.m_host) {
            answer->respond(
                error_answer(dewbeam::engine::other_engine_status, "this is another engine"));
            return;
        }
        if (path == "/load") {
            answer->respond(http::json_response(200, load_report()));
        }
        else if (path == "/experts" && m_options.m_experts.m_experts > 0) {
            answer->respond(http::json_response(200, experts_report()));
        }
        else if (path == "/maps") {
            answer->respond(http::json_response(200, maps_report()));
        }
        else if (path == "/runs") {
            answer->respond(http::json_response(200, runs_report()));
        }
        else if (path == "/orders" && request.m_method == "POST") {
            take_order(request, *answer);
        }
        else if (path == "/faults" && request.m_method == "POST") {
            set_faults(request, *answer);
        }
        else if (path == "/v1/chat/completions" || path == "/v1/completions") {
            complete(request, path == "/v1/chat/completions", answer);
        }
        else if (path.starts_with("/services/")) {
            serve_plain(request, answer);
        }
        else {
            answer->respond(error_answer(404, "no such path"));
        }
    }

    [[nodiscard]] std::size_t in_flight() const
    {
        const std::lock_guard lock(m_mutex);
        return m_running.size() + m_waiting.size() + m_calls;
    }

private:
    void schedule()
    {
        m_timer.expires_after(m_options.m_step);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->m_is_stopped) {
                self->step();
                self->schedule();
            }
        });
    }

    void complete(const http::request& request, bool is_chat,
                  const std::shared_ptr<http::exchange>& answer)
    {
        const auto body = json::parse(request.m_body, nullptr, false);
        if (!body.is_object()) {
            answer->respond(error_answer(400, "the body is not a JSON object"));
            return;
        }
        auto work = std::make_shared<job>();
        work->m_answer = answer;
        work->m_is_chat = is_chat;
        work->m_is_stream = body.value("stream", false);
        work->m_model = body.value("model", "");
        const auto prompt = prompt_of(body);
        crash_on_marker(prompt);
        work->m_prompt_hash = stable_hash(prompt);
        work->m_id = absl::StrFormat("cmpl-%x", work->m_prompt_hash);
        work->m_prompt_tokens = prompt.size() / bytes_per_token + 1;
        work->m_end = body.value("max_tokens", default_output_tokens);
        work->m_prefill_left = m_options.m_prefill_per_token * work->m_prompt_tokens;
        work->m_is_urgent = http::find_field(request.m_fields, "X-Priority") == "urgent";
        const auto offset = std::string(http::find_field(request.m_fields, "X-Resume-Offset"));
        if (absl::SimpleAtoi(offset, &work->m_next)) {
            work->m_next = std::min(work->m_next, work->m_end);
        }
        answer->on_gone([work] { work->m_is_gone = true; });
        const std::lock_guard lock(m_mutex);
        ++m_runs;
        m_waiting.push_back(work);
    }

    void crash_on_marker(const std::string& text) const
    {
        const auto& marker = m_options.m_crash_marker;
        if (!marker.empty() && text.find(marker) != std::string::npos) {
            log_event(log_level::error, "crashed_on_marker");
            std::_Exit(1);
        }
    }

    void step()
    {
        const std::lock_guard lock(m_mutex);
        if (std::chrono::steady_clock::now() < m_stalled_until) {
            return;
        }
        if (!begin_step(m_rank)) {
            return;  // held until the next expert map is committed or given up
        }
        std::erase_if(m_running, [](const job_pointer& work) { return work->m_is_gone.load(); });
        std::erase_if(m_waiting, [](const job_pointer& work) { return work->m_is_gone.load(); });
        admit();
        for (const auto& work : m_running) {
            advance(*work);
        }
        std::erase_if(m_running,
                      [](const job_pointer& work) { return work->m_next >= work->m_end; });
    }

    void admit()
    {
        std::stable_sort(m_waiting.begin(), m_waiting.end(),
                         [](const job_pointer& a, const job_pointer& b) {
                             return a->m_is_urgent && !b->m_is_urgent;
                         });
        while (!m_waiting.empty() && m_running.size() < m_options.m_slots) {
            auto& work = m_waiting.front();
            if (work->m_is_stream) {
                work->m_answer->start(200, {{"Content-Type", "text/event-stream"},
                                            {"X-Resume-Offset", std::to_string(work->m_next)}});
            }
            m_running.push_back(std::move(work));
            m_waiting.pop_front();
        }
    }

    void advance(job& work)
    {
        if (work.m_prefill_left > time_span::zero()) {
            work.m_prefill_left -= m_options.m_step;
            return;
        }
        if (work.m_next < work.m_end) {
            const auto word = answer_word(work.m_prompt_hash, work.m_next);
            ++work.m_next;
            if (work.m_is_stream) {
                work.m_answer->write(chunk_text(work, word));
            }
            else {
                work.m_text += word;
            }
        }
        if (work.m_next >= work.m_end) {
            end(work);
        }
    }

    static void end(job& work)
    {
        if (work.m_is_stream) {
            work.m_answer->write("data: [DONE]\n\n");
            work.m_answer->finish();
        }
        else {
            work.m_answer->respond(whole_answer(work));
        }
    }

    void serve_plain(const http::request& request, const std::shared_ptr<http::exchange>& answer)
    {
        crash_on_marker(request.m_body);
        std::uint64_t run = 0;
        {
            const std::lock_guard lock(m_mutex);
            run = ++m_runs;
            m_run_bodies.push_back(request.m_body);
        }
        const json body{{"host", m_options.m_host},
                        {"path", std::string(http::path_of(request.m_target))},
                        {"method", request.m_method},
                        {"run", run},
                        {"echo", request.m_body}};
        auto whole =
            http::json_response(200, body.dump(-1, ' ', false, json::error_handler_t::replace));
        ++m_calls;
        auto timer =
            std::make_shared<asio::steady_timer>(m_timer.get_executor(), m_options.m_service_time);
        timer->async_wait([self = shared_from_this(), timer, answer,
                           whole = std::move(whole)](const boost::system::error_code&) {
            answer->respond(whole);
            --self->m_calls;
        });
    }

    void take_order(const http::request& request, http::exchange& answer)
    {
        const auto order = dewbeam::engine::order_from_json(request.m_body);
        if (!order.ok()) {
            answer.respond(error_answer(400, std::string(order.status().message())));
            return;
        }
        const std::lock_guard lock(m_mutex);
        const auto now = time_point(std::chrono::duration_cast<time_span>(
            std::chrono::steady_clock::now().time_since_epoch()));
        auto done = obey(m_rank, *order, now);
        done.m_state.m_busy = !m_running.empty() || !m_waiting.empty();
        answer.respond(http::json_response(200, dewbeam::engine::answer_to_json(done)));
    }

    void set_faults(const http::request& request, http::exchange& answer)
    {
        const auto body = json::parse(request.m_body, nullptr, false);
        if (!body.is_object()) {
            answer.respond(error_answer(400, "the body is not a JSON object"));
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_stalled_until =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(body.value("stall_ms", 0));
        answer.respond(http::json_response(200, "{}"));
    }

    std::string load_report() const
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t used = 0;
        for (const auto& work : m_running) {
            used += work->kv_tokens();
        }
        const auto total = m_options.m_kv_tokens;
        return json{{"name", m_options.m_host},
                    {"running", m_running.size() + m_calls},
                    {"waiting", m_waiting.size()},
                    {"free_kv_tokens", total - std::min(total, used)},
                    {"total_kv_tokens", total},
                    {"step_us", m_options.m_step.count()},
                    {"skew", 1.0},
                    {"slots", m_options.m_slots},
                    {"incarnation", m_incarnation},
                    {"models", m_options.m_models}}
            .dump();
    }

    std::string experts_report() const
    {
        const std::lock_guard lock(m_mutex);
        const auto settled = group_map::settled_map(m_rank.m_state);
        const auto& own = m_options.m_experts;
        dewbeam::engine::expert_report report;
        report.m_map_version = settled.m_number;
        report.m_map = content_of(m_rank, settled);
        report.m_shape = {1, own.m_slots_per_rank, own.m_experts, own.m_layers};
        report.m_steps = m_rank.m_state.m_step.value();
        report.m_step_time = m_options.m_step;
        report.m_counts = tokens_per_step(own);
        for (auto& layer : report.m_counts) {
            for (double& tokens : layer) {
                tokens *= static_cast<double>(report.m_steps);
            }
        }
        return dewbeam::engine::report_to_json(report);
    }

    /// The maps that steps were run under, each with its first step.
    std::string maps_report() const
    {
        const std::lock_guard lock(m_mutex);
        json maps = json::array();
        for (const auto& known : m_rank.m_known) {
            if (known.m_first_step) {
                maps.push_back({{"number", known.m_map.m_number},
                                {"content", known.m_content ? *known.m_content : ""},
                                {"first_step", known.m_first_step->value()}});
            }
        }
        return json{{"maps", maps}, {"steps", m_rank.m_state.m_step.value()}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
    }

    std::string runs_report() const
    {
        const std::lock_guard lock(m_mutex);
        return json{{"runs", m_runs}, {"bodies", m_run_bodies}}.dump(
            -1, ' ', false, json::error_handler_t::replace);
    }

    engine_options m_options;
    std::int64_t m_incarnation = std::chrono::system_clock::now().time_since_epoch().count();
    asio::steady_timer m_timer;
    std::atomic<bool> m_is_stopped = false;
    mutable std::mutex m_mutex;
    rank_engine m_rank;
    std::vector<job_pointer> m_running;
    std::deque<job_pointer> m_waiting;
    std::atomic<std::size_t> m_calls = 0;  ///< of plain services, under way
    std::uint64_t m_runs = 0;
    std::vector<std::string> m_run_bodies;
    std::chrono::steady_clock::time_point m_stalled_until{};
};

engine::engine(boost::asio::io_context& context, engine_options options)
    : m_implementation(std::make_shared<implementation>(context, std::move(options)))
{
    m_implementation->begin();
}

engine::~engine()
{
    m_implementation->stop();
}

void engine::handle(http::request&& request, const std::shared_ptr<http::exchange>& answer)
{
    m_implementation->handle(std::move(request), answer);
}

std::size_t engine::in_flight() const
{
    return m_implementation->in_flight();
}

}  // namespace dewbeam::fake_engine
