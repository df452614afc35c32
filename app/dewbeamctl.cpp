/// \file
/// `dewbeamctl`: the operator's tool.

#include <iostream>
#include <iterator>

#include "dewbeam/operators"

namespace {

namespace operators = dewbeam::operators;

bool reads_input(const operators::command_line& wanted)
{
    return wanted.m_file == "-" || wanted.m_command == operators::command_kind::token_hash;
}

std::string read_input()
{
    return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
}

}  // namespace

int main(int count, char** words)
{
    const auto wanted = operators::parse_command_line({words + 1, words + count});
    if (!wanted.ok()) {
        std::cerr << wanted.status().message() << "\n\n" << operators::usage();
        return static_cast<int>(operators::exit_code::usage);
    }
    const auto result = operators::run(*wanted, reads_input(*wanted) ? read_input() : "");
    std::cout << result.m_output << std::flush;
    std::cerr << result.m_error;
    return static_cast<int>(result.m_exit);
}
