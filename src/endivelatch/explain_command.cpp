#include "command.hpp"

#include "endivelatch/timeline/explanation.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Explains from logs why a request ended as it did.

Usage:
  endivelatch explain <request> <log>...
  endivelatch explain (-h | --help)

The logs are those of entry routers (endivelatch serve), one file each. The exit code is 1 when no
line names the request.
)";

} // namespace

exit_code run_explain(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    const auto request = flags.at("<request>").asString();
    log_search search{request};
    findings faults;
    for (const auto& it : flags.at("<log>").asStringList()) {
        std::ifstream in{it};
        if (!in) {
            faults.push_back({it, "cannot be opened"});
            continue;
        }
        search.read(in, std::filesystem::path{it}.stem().string());
    }
    print_findings(faults);
    const auto found = search.explain();
    if (!found) {
        std::cerr << "error: no line names request " << request << '\n';
        return exit_code::failure;
    }
    std::cout << to_text(*found);
    return faults.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
