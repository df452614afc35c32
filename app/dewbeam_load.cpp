/// \file
/// `dewbeam-load`: sends an experiment's requests to entries on the loopback and checks the
/// answers.

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "dewbeam/load"

namespace {

namespace load = dewbeam::load;
using json = nlohmann::json;

constexpr int exit_done = 0;
constexpr int exit_usage = 1;
constexpr int exit_wrong = 2;

const std::string usage = R"(Sends an experiment's requests at their times and checks every answer.

Usage:
  dewbeam-load EXPERIMENT [--entry=ADDRESSES] [--json=RESULTS] [--html=PAGE]
  dewbeam-load (-h | --help)

Options:
  --entry=ADDRESSES  IP:PORT of entries on the loopback, joined by commas, in place of the file's.
  --json=RESULTS     Writes the results there instead of the standard output.
  --html=PAGE        Writes the results as one HTML page as well.
  -h --help          Prints this.

Exit codes:
  0  every answer with status 200 was its caller's own, whole, once
  1  wrong usage, or an experiment that can't be read or is not right
  2  a wrong answer
)";

using values = std::map<std::string, docopt::value>;

std::string text_of(const values& arguments, const char* name)
{
    const auto place = arguments.find(name);
    return place != arguments.end() && place->second.isString() ? place->second.asString()
                                                                : std::string();
}

json read_experiment(const values& arguments)
{
    std::ifstream file(text_of(arguments, "EXPERIMENT"));
    auto source = json::parse(file, nullptr, false);
    const auto entries = text_of(arguments, "--entry");
    if (source.is_object() && !entries.empty()) {
        source["entries"] = json::array();
        std::istringstream parts(entries);
        for (std::string part; std::getline(parts, part, ',');) {
            source["entries"].push_back(part);
        }
    }
    return source;
}

bool write(const std::string& file, const std::string& text)
{
    std::ofstream out(file);
    out << text;
    out.close();
    return static_cast<bool>(out);
}

int run(const values& arguments)
{
    const auto parsed = load::parse_experiment(read_experiment(arguments));
    if (!parsed.m_mistakes.empty()) {
        std::cerr << to_string(parsed.m_mistakes) << "\n";
        return exit_usage;
    }
    const auto found = load::run(parsed.m_experiment);
    const auto text = load::to_json(found).dump() + "\n";
    const auto json_file = text_of(arguments, "--json");
    const auto html_file = text_of(arguments, "--html");
    if (json_file.empty()) {
        std::cout << text;
    }
    const bool is_written = (json_file.empty() || write(json_file, text)) &&
                            (html_file.empty() || write(html_file, load::to_html(found)));
    if (!is_written) {
        std::cerr << "can't write the results\n";
        return exit_usage;
    }
    return load::count(found, load::ending::wrong) == 0 ? exit_done : exit_wrong;
}

}  // namespace

int main(int count, char** words)
{
    try {
        return run(docopt::docopt_parse(usage, {words + 1, words + count}, true, false));
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exit_done;
    }
    catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n\n" << usage;
        return exit_usage;
    }
}
