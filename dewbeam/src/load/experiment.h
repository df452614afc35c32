/// \file
/// What a load run sends, read from a JSON file.
///
/// \code{.json}
/// {"entries": ["127.0.0.1:8080"], "seed": 1, "most_requests": 1000, "time_limit_ms": 20000,
///  "most_resends": 2, "arrivals": {"kind": "poisson", "rate": 50, "duration_ms": 5000},
///  "work": [{"name": "briefs", "share": 3, "path": "/v1/chat/completions", "model": "ad-copy",
///            "workspaces": [{"name": "arusha", "share": 5}], "labels": "task=brief",
///            "prompt_words": [5, 50], "output_tokens": [4, 32], "stream": true, "key": false}]}
/// \endcode
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::load {

/// A range of whole numbers, both ends included.
struct size_range {
    std::uint64_t m_least = 1;
    std::uint64_t m_most = 1;
};

/// A workspace and its share of the requests.
struct workspace_share {
    std::string m_name;  ///< empty: none is named
    double m_share = 1.0;
};

/// One kind of work.
struct work {
    std::string m_name;
    double m_share = 1.0;
    std::string m_path = "/v1/chat/completions";
    std::string m_model;  ///< empty: a plain service
    std::string m_labels;
    std::vector<workspace_share> m_workspaces;
    size_range m_prompt_words{5, 50};
    size_range m_output_tokens{4, 32};
    bool m_streams = true;
    bool m_has_key = false;  ///< sends an Idempotency-Key, the same for resends
};

/// How arrival times come about.
enum class arrival_kind { poisson, recorded };

/// When requests arrive, whatever becomes of the earlier ones.
struct arrivals {
    arrival_kind m_kind = arrival_kind::poisson;
    double m_rate = 10.0;  ///< requests a second, of Poisson arrivals
    time_span m_duration = std::chrono::seconds(5);
    std::vector<time_span> m_recorded;  ///< since the start, ascending
};

/// A whole experiment.
struct experiment {
    std::vector<endpoint> m_entries;  ///< loopback only; requests take turns
    std::uint64_t m_seed = 1;
    std::uint64_t m_most_requests = 1000;
    time_span m_time_limit = std::chrono::seconds(20);  ///< for one request with its resends
    std::uint64_t m_most_resends = 0;                   ///< as Retry-After says; 0: none
    arrivals m_arrivals;
    std::vector<work> m_work;
};

/// An experiment, or every mistake in its file.
struct parsed_experiment {
    experiment m_experiment;
    mistakes m_mistakes;  ///< empty: the experiment is right
};

/// Bounds of one run.
inline constexpr std::uint64_t most_requests = 1'000'000;
inline constexpr std::int64_t longest_run_ms = 600'000;

/// Reads an experiment; addresses that are not of the loopback are mistakes.
parsed_experiment parse_experiment(const nlohmann::json& source);

/// One request that will be sent.
struct planned_request {
    time_span m_at = time_span::zero();  ///< since the start of the run
    std::size_t m_work = 0;
    std::string m_workspace;
    std::string m_marker;  ///< unique in the run; stands in the prompt
    std::string m_prompt;
    std::uint64_t m_output_tokens = 0;
};

/// All requests of a run in the order of their arrival; the same for the same seed.
std::vector<planned_request> plan_requests(const experiment& wanted);

}  // namespace dewbeam::load
