#pragma once

#include "endivelatch/base/result.hpp"

#include <docopt.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Declarations shared by all subcommands.
namespace endivelatch {

/// Exit codes of the program.
enum class exit_code : int {
    success = 0,
    failure = 1, ///< The command is valid but failed.
    usage = 2,   ///< The command line or the settings are invalid.
};

/// Program name and version as printed by --version.
inline constexpr const char* program_version = "endivelatch 0.1.0";

/// Parsed arguments of a subcommand by name.
using arguments = std::map<std::string, docopt::value>;

/// Parses the command line; returns the arguments, or the exit code if it printed the help text,
/// the version or a usage error.
std::variant<arguments, exit_code> parse_arguments(const char* usage,
                                                   const std::vector<std::string>& args);

/// Prints findings to standard error, one per line.
void print_findings(const findings& all_findings);

/// The subcommands. Each takes the command line from its own name on and returns the exit code.
exit_code run_serve(const std::vector<std::string>& args);
exit_code run_router(const std::vector<std::string>& args);
exit_code run_admin(const std::vector<std::string>& args);
exit_code run_entry(const std::vector<std::string>& args);
exit_code run_timeline(const std::vector<std::string>& args);
exit_code run_status(const std::vector<std::string>& args);
exit_code run_explain(const std::vector<std::string>& args);
exit_code run_check(const std::vector<std::string>& args);

} // namespace endivelatch
