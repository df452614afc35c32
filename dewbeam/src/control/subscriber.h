/// \file
/// Follows the configuration that control accepted, on entries and agents.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dewbeam/configuration"
#include "dewbeam/link"

namespace dewbeam::control {

/// A configuration in force.
struct active_configuration {
    configuration_version m_version;
    std::uint64_t m_number = 0;
    std::string m_source;  ///< JSON, as it came
    configuration::document m_document;
};

using active_pointer = std::shared_ptr<const active_configuration>;

/// Holds the newest configuration heard of and asks for newer ones. Thread-safe.
///
/// A version never goes back: an older one than the one held is passed over.
class subscriber {
public:
    /// `on_change` is called after each adoption, outside the lock.
    subscriber(std::vector<std::string> controls, std::function<void()> on_change);

    /// The configuration in force; empty at version (0, 0) until one was heard of.
    [[nodiscard]] active_pointer current() const;

    /// Whether a control host of the settings has this link address.
    [[nodiscard]] bool is_control(const std::string& address) const;

    /// Whether a control host answered since the start.
    [[nodiscard]] bool has_heard() const;

    /// Whether a process of any kind gave a configuration since the start.
    [[nodiscard]] bool knows_any() const;

    /// Takes what a control's answer to `tick` tells: until when no version newer than its own was
    /// accepted.
    void take_confirmation(const wire::Configuration& answer, time_point now);

    /// Whether a quorum confirmed at `since` or later that the configuration in force is the
    /// newest; true where no control is known, since nothing can be asked then.
    [[nodiscard]] bool is_confirmed(time_point since) const;

    /// Takes a configuration from any process; true where it is newer and now in force.
    /// `is_from_control` says that a control host sent it.
    bool adopt(const wire::Configuration& message, bool is_from_control);

    /// The configuration as a message, for a process that knows an older one.
    [[nodiscard]] wire::Configuration message() const;

    /// Asks a control host for news when it is time; where none answers, the `peers` as well, so
    /// that a cut-off domain keeps the newest configuration that one of its hosts has.
    void tick(link::node& node, const std::vector<std::string>& peers, time_point now);

    /// Takes the next control host where the one in use was lost.
    void peer_lost(const std::string& address);

private:
    std::vector<std::string> m_controls;
    std::function<void()> m_on_change;
    mutable std::mutex m_mutex;
    active_pointer m_current;
    bool m_has_heard = false;
    bool m_heard_control_since_ask = false;
    std::size_t m_in_use = 0;
    time_point m_next_ask{};
    time_point m_control_deadline{};  ///< after that control counts as silent
    configuration_version
        m_confirmed_version;      ///< no newer one was accepted before `m_confirmed_at`
    time_point m_confirmed_at{};  ///< `time_point{}`: not confirmed yet
};

}  // namespace dewbeam::control
