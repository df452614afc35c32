/// \file
/// What each upstream should have loaded, from the placements of the configuration.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"

namespace dewbeam::orders {

/// What an artifact is.
enum class artifact_kind { model, adapter };

/// Weights that can be loaded.
struct artifact {
    artifact_kind m_kind = artifact_kind::model;
    std::string m_name;
    std::string m_version;  ///< empty: any

    friend auto operator<=>(const artifact&, const artifact&) = default;
};

/// What an upstream holds or should hold.
struct contents {
    std::vector<artifact> m_artifacts;  ///< sorted, each once
    std::string m_role;                 ///< empty: any

    friend bool operator==(const contents&, const contents&) = default;
};

/// An upstream as its agent last read it.
struct observed_upstream {
    upstream_id m_name;
    failure_domain_id m_failure_domain;
    configuration::label_set m_labels;  ///< as announced
    contents m_contents;
    bool m_is_able = true;            ///< alive, and not leaving
    bool m_checks_fencing = false;    ///< refuses an order with an old number
    std::uint32_t m_room = 1;         ///< models that fit at once
    time_point m_read_at{};           ///< when the contents were read
    bool m_is_busy = false;           ///< an order was being carried out at that time
    fencing_number m_highest_number;  ///< that it had seen by then; 0 where it ignores numbers
};

/// What one upstream should hold.
struct desired_upstream {
    upstream_id m_name;
    contents m_contents;
    bool m_is_placed = false;  ///< false: no placement matches, leave it as it is

    friend bool operator==(const desired_upstream&, const desired_upstream&) = default;
};

/// What each of `upstreams` should hold: the union of the matching placements, the later by name
/// deciding role and version of what several name. In the order of `upstreams`.
std::vector<desired_upstream> desired_contents(const configuration::document& rules,
                                               const std::vector<observed_upstream>& upstreams);

/// Whether `have` meets `wanted`: holds all of it and nothing else, in the role wanted.
bool meets(const contents& have, const contents& wanted);

/// Artifacts of `wanted` that `have` lacks.
std::vector<artifact> missing(const contents& have, const contents& wanted);

/// Artifacts of `have` that `wanted` has no use for.
std::vector<artifact> superfluous(const contents& have, const contents& wanted);

/// Whether a model of that name is held, in any version.
bool holds_model(const contents& have, const std::string& model);

}  // namespace dewbeam::orders
