#include "dewbeam/src/control/subscriber.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/consensus/confirmed_time.h"

namespace dewbeam::control {

namespace {

constexpr std::chrono::milliseconds ask_interval{500};
constexpr std::chrono::milliseconds control_silence{2000};

active_pointer parse(const wire::Configuration& message)
{
    const auto source = nlohmann::json::parse(message.document(), nullptr, false);
    if (source.is_discarded()) {
        log_event(log_level::error, "configuration_unreadable", {{"number", message.number()}});
        return nullptr;
    }
    auto parsed = configuration::parse_document(source);
    if (!parsed.m_mistakes.empty()) {
        log_event(log_level::error, "configuration_wrong",
                  {{"number", message.number()}, {"mistakes", to_string(parsed.m_mistakes)}});
        return nullptr;
    }
    auto result = std::make_shared<active_configuration>();
    result->m_version = link::from_wire(message.version());
    result->m_number = message.number();
    result->m_source = message.document();
    result->m_document = std::move(parsed.m_document);
    return result;
}

std::chrono::microseconds confirmed_age(const wire::Configuration& message)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(message.confirmed_age_us()));
}

/// Whether the sender reaches a quorum. Controls of earlier versions don't tell.
bool is_up_to_date(const wire::Configuration& message)
{
    return !message.has_confirmed_age_us() || confirmed_age(message) <= control_silence;
}

}  // namespace

subscriber::subscriber(std::vector<std::string> controls, std::function<void()> on_change)
    : m_controls(std::move(controls)),
      m_on_change(std::move(on_change)),
      m_current(std::make_shared<active_configuration>())
{
}

active_pointer subscriber::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

bool subscriber::is_control(const std::string& address) const
{
    return std::find(m_controls.begin(), m_controls.end(), address) != m_controls.end();
}

bool subscriber::has_heard() const
{
    const std::lock_guard lock(m_mutex);
    return m_has_heard;
}

bool subscriber::knows_any() const
{
    const std::lock_guard lock(m_mutex);
    return m_current->m_version != configuration_version{};
}

void subscriber::take_confirmation(const wire::Configuration& answer, time_point now)
{
    if (!answer.has_confirmed_age_us() || answer.subscribe_sent_at() == 0) {
        return;
    }
    const time_point asked_at(time_span(static_cast<std::int64_t>(answer.subscribe_sent_at())));
    const auto at = consensus::confirmed_time(asked_at, confirmed_age(answer), now);
    const auto version = link::from_wire(answer.version());
    const std::lock_guard lock(m_mutex);
    if (at > m_confirmed_at && version >= m_confirmed_version) {
        m_confirmed_at = at;
        m_confirmed_version = version;
    }
}

bool subscriber::is_confirmed(time_point since) const
{
    const std::lock_guard lock(m_mutex);
    return m_controls.empty() ||
           (m_confirmed_at >= since && m_confirmed_version <= m_current->m_version);
}

bool subscriber::adopt(const wire::Configuration& message, bool is_from_control)
{
    const auto version = link::from_wire(message.version());
    {
        const std::lock_guard lock(m_mutex);
        m_has_heard = m_has_heard || is_from_control;
        // One that reaches no quorum is heard but knows no news: the next one is asked, too.
        m_heard_control_since_ask =
            m_heard_control_since_ask || (is_from_control && is_up_to_date(message));
        if (version <= m_current->m_version) {
            return false;
        }
    }
    auto fresh = parse(message);
    if (!fresh) {
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (version <= m_current->m_version) {
            return false;
        }
        m_current = std::move(fresh);
    }
    log_event(log_level::info, "configuration_in_force",
              {{"number", message.number()}, {"term", version.m_term}, {"index", version.m_index}});
    m_on_change();
    return true;
}

wire::Configuration subscriber::message() const
{
    const auto active = current();
    wire::Configuration result;
    link::to_wire(active->m_version, *result.mutable_version());
    result.set_number(active->m_number);
    result.set_document(active->m_source);
    return result;
}

void subscriber::tick(link::node& node, const std::vector<std::string>& peers, time_point now)
{
    std::vector<std::string> targets;
    wire::Envelope message;
    {
        const std::lock_guard lock(m_mutex);
        if (m_controls.empty() || now < m_next_ask) {
            return;
        }
        m_next_ask = now + ask_interval;
        if (m_heard_control_since_ask) {
            m_control_deadline = now + control_silence;
        }
        m_heard_control_since_ask = false;
        if (m_control_deadline <= now) {
            targets = peers;
            m_in_use = (m_in_use + 1) % m_controls.size();
        }
        targets.push_back(m_controls[m_in_use]);
        link::to_wire(m_current->m_version, *message.mutable_subscribe()->mutable_known());
        message.mutable_subscribe()->set_sent_at(
            static_cast<std::uint64_t>(now.time_since_epoch().count()));
    }
    for (const auto& target : targets) {
        node.send(target, message);
    }
}

void subscriber::peer_lost(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    if (!m_controls.empty() && m_controls[m_in_use] == address) {
        m_in_use = (m_in_use + 1) % m_controls.size();
        m_next_ask = {};
    }
}

}  // namespace dewbeam::control
