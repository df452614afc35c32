#include "dewbeam/src/registrar/drain_calls.h"

#include <atomic>
#include <nlohmann/json.hpp>

#include "dewbeam/src/registrar/error_response.h"

namespace dewbeam::registrar {

namespace {

using json = nlohmann::json;

std::string list_of(const std::set<failure_domain_id>& domains)
{
    std::string result;
    for (const auto& domain : domains) {
        result += (result.empty() ? "" : ", ") + domain.value();
    }
    return result.empty() ? "none" : result;
}

/// An order in progress.
struct pending_order {
    drain_order m_wanted;
    std::shared_ptr<http::exchange> m_answer;
    std::atomic<bool> m_is_abandoned = false;  ///< the caller has disconnected
};

using order_pointer = std::shared_ptr<pending_order>;

void acknowledge(const pending_order& subject, const char* result)
{
    log_event(log_level::info, "drain_acknowledged",
              {{"domain", subject.m_wanted.m_domain.value()},
               {"drained", subject.m_wanted.m_is_drained},
               {"result", result}});
    subject.m_answer->respond(http::json_response(200, write_json({{"result", result}})));
}

void refuse(const pending_order& subject, const char* code, const std::string& message)
{
    log_event(log_level::warning, "drain_undecided",
              {{"domain", subject.m_wanted.m_domain.value()},
               {"drained", subject.m_wanted.m_is_drained},
               {"code", code}});
    subject.m_answer->respond(error_response(503, code, message));
}

void finish(const pending_order& subject, const control::drain_answer& ended)
{
    const auto* result = std::get_if<drains::order_result>(&ended);
    if (result == nullptr) {
        refuse(subject, "no_quorum", "no majority answered; the order may still take effect");
        return;
    }
    switch (*result) {
        case drains::order_result::applied:
            return acknowledge(subject, "applied");
        case drains::order_result::in_force:
            return acknowledge(subject, "in_force");
        case drains::order_result::outdated:
            return refuse(subject, "outdated", "another order for this domain came in between");
    }
}

void propose(control::replica_runner& runner, const order_pointer& subject)
{
    const auto state = runner.drains();
    runner.propose_drain(
        {subject->m_wanted.m_domain, subject->m_wanted.m_is_drained,
         drains::last_change(state, subject->m_wanted.m_domain)},
        [subject](const control::drain_answer& ended) { finish(*subject, ended); });
}

}  // namespace

void order_drain(control::replica_runner& runner, const drain_order& wanted,
                 const std::set<failure_domain_id>& known, time_point (*now)(),
                 const std::shared_ptr<http::exchange>& answer)
{
    if (known.empty()) {
        answer->respond(error_response(503, "not_sure", "no upstream has announced itself yet"));
        return;
    }
    if (!known.contains(wanted.m_domain)) {
        answer->respond(error_response(422, "unknown_failure_domain",
                                       "failure domain " + excerpt_text(wanted.m_domain.value()) +
                                           " is unknown; known are " + list_of(known)));
        return;
    }
    const auto subject = std::make_shared<pending_order>();
    subject->m_wanted = wanted;
    subject->m_answer = answer;
    answer->on_gone([subject] { subject->m_is_abandoned = true; });
    runner.read_index([&runner, subject, now](bool is_confirmed) {
        if (subject->m_is_abandoned) {
            log_event(log_level::info, "drain_abandoned",
                      {{"domain", subject->m_wanted.m_domain.value()},
                       {"drained", subject->m_wanted.m_is_drained}});
            return;
        }
        if (!is_confirmed) {
            refuse(*subject, "no_quorum", "this registry reaches no majority");
            return;
        }
        if (is_outdated(subject->m_wanted.m_deadline, now())) {
            refuse(*subject, "order_too_old",
                   "the order waited here for so long that later ones may have been acknowledged");
            return;
        }
        propose(runner, subject);
    });
}

void list_domains(control::replica_runner& runner, const std::set<failure_domain_id>& known,
                  const std::shared_ptr<http::exchange>& answer)
{
    runner.read_index([&runner, known, answer](bool is_confirmed) {
        if (!is_confirmed) {
            answer->respond(error_response(503, "not_sure",
                                           "this registry can't tell which orders are the newest"));
            return;
        }
        const auto state = runner.drains();
        auto names = known;
        for (const auto& [domain, held] : state.m_domains) {
            names.insert(domain);
        }
        json page{{"failure_domains", json::array()}};
        for (const auto& domain : names) {
            page["failure_domains"].push_back(
                {{"name", domain.value()}, {"drained", drains::is_drained(state, domain)}});
        }
        answer->respond(http::json_response(200, write_json(page)));
    });
}

void put_drains(const drains::drain_state& state, wire::WatchNews& news)
{
    news.set_has_drains(true);
    news.set_drain_change(state.m_last_change.value());
    for (const auto& domain : drains::drained_domains(state)) {
        news.add_drained_domains(domain.value());
    }
}

std::set<failure_domain_id> drained_domains(const wire::WatchNews& news)
{
    std::set<failure_domain_id> result;
    for (const auto& domain : news.drained_domains()) {
        result.insert(failure_domain_id(domain));
    }
    return result;
}

}  // namespace dewbeam::registrar
