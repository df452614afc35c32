/// \file
/// What a load run found: counts, latency histograms and wrong answers.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam/src/load/answers.h"
#include "dewbeam/src/load/experiment.h"

namespace dewbeam::load {

/// How a request ended, with all its resends.
enum class ending {
    answered,   ///< status 200 and a right answer
    wrong,      ///< status 200 and an answer that is not its own, whole, once
    refused,    ///< an error status
    failed,     ///< the connection broke, or the stream ended with an error event
    timed_out,  ///< no end within the time limit
};

/// Number of endings.
inline constexpr std::size_t ending_count = 5;

/// One request's end. Latencies run from the planned arrival, so a late send counts as waiting.
struct request_end {
    std::size_t m_work = 0;
    ending m_ending = ending::failed;
    verdict m_verdict = verdict::right;
    int m_status = 0;  ///< the last one; 0: none
    std::uint64_t m_resends = 0;
    time_span m_first_byte = time_span::zero();
    time_span m_whole = time_span::zero();
    std::string m_marker;
};

/// Latencies in milliseconds, in buckets that grow evenly on a logarithmic scale.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

/// A histogram from 0.1 ms to the longest run.
latency_histogram make_latency_histogram();

/// The latency that the share `part` of the requests stays below, in milliseconds; 0 for none.
double quantile(const latency_histogram& latencies, double part);

/// The results of one kind of work.
struct work_results {
    std::string m_name;
    std::array<std::uint64_t, ending_count> m_endings{};
    std::uint64_t m_resends = 0;
    latency_histogram m_first_byte = make_latency_histogram();  ///< of right answers
    latency_histogram m_whole = make_latency_histogram();       ///< of right answers
};

/// An answer that broke the promise.
struct wrong_answer {
    std::string m_marker;
    std::string m_work;
    verdict m_verdict = verdict::foreign;
};

/// The results of a run.
struct results {
    std::vector<work_results> m_work;
    std::vector<wrong_answer> m_wrong;            ///< the first `most_listed_wrong`
    time_span m_latest_send = time_span::zero();  ///< the most that a send came after its time
};

/// Wrong answers that are listed one by one.
inline constexpr std::size_t most_listed_wrong = 20;

/// Empty results of an experiment.
results make_results(const experiment& wanted);

/// Counts one request.
void add(results& found, const request_end& end);

/// How many requests ended so, over all work.
std::uint64_t count(const results& found, ending kind);

/// Name in results.
const char* to_string(ending value);

/// The JSON form.
nlohmann::json to_json(const results& found);

/// One self-contained HTML page with histograms.
std::string to_html(const results& found);

}  // namespace dewbeam::load
