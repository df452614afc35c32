/// \file
/// Reads the JSON object of an engine's message. Internal to the module.
#pragma once

#include <absl/status/status.h>

#include <nlohmann/json.hpp>
#include <string>

#include "dewbeam/base"

namespace dewbeam::engine::internal {

/// Calls `read` on the object in `body`; what JSON throws becomes a value.
template <class Reader>
auto read_object(const std::string& body, Reader read) -> decltype(read(nlohmann::json()))
{
    const auto source = parse_json(body);
    if (!source.ok()) {
        return source.status();
    }
    if (!source->is_object()) {
        return absl::InvalidArgumentError("the body must be a JSON object");
    }
    try {
        return read(*source);
    }
    catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

}  // namespace dewbeam::engine::internal
