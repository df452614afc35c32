/// \file
/// Sends the requests of an experiment at their times and judges the answers.
#pragma once

#include "dewbeam/src/load/experiment.h"
#include "dewbeam/src/load/results.h"

namespace dewbeam::load {

/// Runs the whole experiment; returns when each request has ended. A send never waits for an
/// earlier answer.
results run(const experiment& wanted);

}  // namespace dewbeam::load
