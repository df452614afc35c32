/// \file
/// The identifiers that more than one module uses.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include "dewbeam/src/base/strong.h"

namespace dewbeam {

/// Name of a deployment: all processes that work together have the same one.
using deployment_id = strong<struct deployment_tag, std::string>;
/// Identity of a replicated log, drawn when it is founded; 0: none.
using log_id = strong<struct log_tag, std::uint64_t>;
/// Name of a host, unique in the deployment.
using host_id = strong<struct host_tag, std::string>;
/// Name of a failure domain.
using failure_domain_id = strong<struct failure_domain_tag, std::string>;
/// Name of a workspace.
using workspace_id = strong<struct workspace_tag, std::string>;
/// Name of an upstream.
using upstream_id = strong<struct upstream_tag, std::string>;
/// Name of a model.
using model_id = strong<struct model_tag, std::string>;
/// Number of a rank inside its group, from 0.
using rank_id = strong<struct rank_tag, std::uint32_t>;
/// One life of a process: later lives of the same host have larger numbers.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;
/// Fencing number of an order: an order with a lower number than the highest seen is refused.
using fencing_number = strong<struct fencing_tag, std::uint64_t>;
/// Content hash of a request.
using fingerprint = strong<struct fingerprint_tag, std::uint64_t>;

/// Identifies one attempt to run a request; never used twice.
struct attempt_id {
    incarnation m_entry;
    std::uint64_t m_sequence = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// Position of an accepted configuration in the replicated log; later positions compare greater.
struct configuration_version {
    std::uint64_t m_term = 0;
    std::uint64_t m_index = 0;

    friend auto operator<=>(const configuration_version&, const configuration_version&) = default;
};

}  // namespace dewbeam

/// Lets an attempt id be a key of the unordered containers.
template <>
struct std::hash<dewbeam::attempt_id> {
    std::size_t operator()(const dewbeam::attempt_id& id) const noexcept
    {
        constexpr std::uint64_t spread = 0x9E3779B97F4A7C15ULL;
        return id.m_entry.value() ^ (id.m_sequence * spread);
    }
};
