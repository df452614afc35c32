/// \file
/// Limits on what upstreams send, so that one that sends bytes without end harms only its own
/// answers.
#pragma once

#include <cstddef>
#include <memory>

#include "dewbeam/base"
#include "dewbeam/replies"

namespace dewbeam::gateway {

/// Limits of the answers of one gateway.
struct answer_limits {
    std::size_t m_most_event_bytes;  ///< of a stream without a complete event
    time_span
        m_silence_limit;  ///< a stream without an event for so long is silent, whatever it sends
    std::shared_ptr<replies::answer_budget> m_budget;
};

}  // namespace dewbeam::gateway
