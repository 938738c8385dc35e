#include "command.hpp"

#include "endivelatch/timeline/explanation.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Explains the outcome of a request from router logs.

Usage:
  endivelatch explain <request> <log>...
  endivelatch explain (-h | --help)

The logs are those of entry routers (endivelatch serve), one file per router. The exit code is 1 if
no line names the request.
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
    findings errors;
    for (const auto& file : flags.at("<log>").asStringList()) {
        std::ifstream in{file};
        if (!in) {
            errors.push_back({file, "cannot be opened"});
            continue;
        }
        search.read(in, std::filesystem::path{file}.stem().string());
    }
    print_findings(errors);
    const auto found = search.explain();
    if (!found) {
        std::cerr << "error: no log line names request " << request << '\n';
        return exit_code::failure;
    }
    std::cout << to_text(*found);
    return errors.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
