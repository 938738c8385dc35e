#include "command.hpp"

#include <iostream>

namespace endivelatch {

std::variant<arguments, exit_code> parse_arguments(const char* usage,
                                                   const std::vector<std::string>& args)
{
    try {
        return docopt::docopt_parse(usage, args, true, false);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exit_code::success;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << program_version << '\n';
        return exit_code::success;
    }
    catch (const docopt::DocoptLanguageError& error) {
        std::cerr << "error: " << error.what() << '\n';
        return exit_code::usage;
    }
    catch (const docopt::DocoptArgumentError& error) {
        std::cerr << "error: " << error.what() << "\n\n" << usage;
        return exit_code::usage;
    }
}

void print_findings(const findings& all_findings)
{
    for (const auto& finding : all_findings) {
        std::cerr << "error: " << finding.place << ": " << finding.message << '\n';
    }
}

} // namespace endivelatch
