/// \file
/// How a request names the engine that it is meant for, so that another one that took over the
/// address doesn't run it.
#pragma once

namespace dewbeam::engine {

/// Field of a request: the name of the engine that is to run it.
inline constexpr const char* expected_engine_field = "X-Expect-Engine";

/// Status by which an engine of another name says that it did not run the request.
inline constexpr int other_engine_status = 421;

}  // namespace dewbeam::engine
