#include "command.hpp"

#include <exception>
#include <iostream>
#include <map>

namespace {

using endivelatch::exit_code;

constexpr const char* usage = R"(endivelatch - a fleet of routers between callers and back ends.

Usage:
  endivelatch (serve|status|explain|router|admin|entry|timeline|check) [<argument>...]
  endivelatch (-h | --help)
  endivelatch --version

Commands:
  serve     Runs an entry router on the users' platform.
  status    Shows the state of a fleet of entry routers.
  explain   Explains the outcome of a request from router logs.
  router    Runs a router of the fleet.
  admin     Reads and changes the configuration of the fleet.
  entry     Asks the fleet for the addresses that a caller should connect to.
  timeline  Merges the events of routers and files in causal order.
  check     Checks settings and configuration documents without contacting a fleet.

Run "endivelatch COMMAND --help" for the options of a command.
)";

using command_function = exit_code (*)(const std::vector<std::string>&);

const std::map<std::string, command_function>& commands()
{
    static const std::map<std::string, command_function> commands_by_name{
        {"serve", endivelatch::run_serve},     {"status", endivelatch::run_status},
        {"router", endivelatch::run_router},   {"admin", endivelatch::run_admin},
        {"entry", endivelatch::run_entry},     {"timeline", endivelatch::run_timeline},
        {"explain", endivelatch::run_explain}, {"check", endivelatch::run_check},
    };
    return commands_by_name;
}

exit_code run(const std::vector<std::string>& args)
{
    const auto first = args.empty() ? std::string{} : args.front();
    if (first == "-h" || first == "--help") {
        std::cout << usage;
        return exit_code::success;
    }
    if (first == "--version") {
        std::cout << endivelatch::program_version << '\n';
        return exit_code::success;
    }
    const auto it = commands().find(first);
    if (it == commands().end()) {
        std::cerr << (first.empty() ? "error: no command given\n\n"
                                    : "error: command \"" + first + "\" does not exist\n\n")
                  << usage;
        return exit_code::usage;
    }
    return it->second(args);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(run({argv + 1, argv + argc}));
    }
    catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << '\n';
        return static_cast<int>(exit_code::failure);
    }
}
