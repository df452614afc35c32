/// \file
/// The commands of `dewbeamctl`.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "dewbeam/src/operators/command_line.h"

namespace dewbeam::operators {

/// How the tool ends. The numbers are part of its interface.
enum class exit_code : int {
    done = 0,
    usage = 1,
    refused = 2,
    unreachable = 3,
    stranded = 4,
};

/// What a command printed and how it ended.
struct command_result {
    exit_code m_exit = exit_code::done;
    std::string m_output;  ///< for the standard output
    std::string m_error;   ///< for the standard error
};

/// Runs one command. `input` is what the standard input holds, where the command reads it.
command_result run(const command_line& wanted, const std::string& input);

/// The smallest JSON merge patch that turns `before` into `after`.
nlohmann::json patch_between(const nlohmann::json& before, const nlohmann::json& after);

/// The name, in the document's `upstreams`, of what `drain SELECTOR` adds.
std::string drain_name(const configuration::selector& match);

}  // namespace dewbeam::operators
