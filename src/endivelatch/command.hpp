#pragma once

#include "endivelatch/base/result.hpp"

#include <docopt.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// What all subcommands share.
namespace endivelatch {

/// Exit codes of the program.
enum class exit_code : int {
    success = 0,
    failure = 1, ///< The command was understood but could not be carried out.
    usage = 2,   ///< The command line or the settings are wrong.
};

/// Version of the program as printed by --version.
inline constexpr const char* program_version = "endivelatch 0.1.0";

/// The arguments of a subcommand by name.
using arguments = std::map<std::string, docopt::value>;

/// Returns the parsed arguments, or the exit code after help or a usage error was printed.
std::variant<arguments, exit_code> parse_arguments(const char* usage,
                                                   const std::vector<std::string>& args);

/// Prints findings to the error output, one a line.
void print_findings(const findings& all);

/// The subcommands. Each takes its own name and arguments and returns the exit code.
exit_code run_serve(const std::vector<std::string>& args);
exit_code run_router(const std::vector<std::string>& args);
exit_code run_admin(const std::vector<std::string>& args);
exit_code run_entry(const std::vector<std::string>& args);
exit_code run_timeline(const std::vector<std::string>& args);
exit_code run_status(const std::vector<std::string>& args);
exit_code run_explain(const std::vector<std::string>& args);
exit_code run_check(const std::vector<std::string>& args);

} // namespace endivelatch
