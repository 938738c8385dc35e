#include "command.hpp"
#include "router_flags.hpp"
#include "setting_reader.hpp"

#include "endivelatch/configuration/check.hpp"
#include "platform/protocol.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace endivelatch {

namespace {

constexpr const char* usage =
    R"(Checks settings and configuration documents without contacting a fleet.

Usage:
  endivelatch check settings
  endivelatch check documents <name=file>...
  endivelatch check boot <file>
  endivelatch check configuration <file>
  endivelatch check (-h | --help)

"settings" checks the environment variables that the router command reads.
"documents" checks configuration objects, such as config/models=models.json, and the
references between them.
"boot" checks a settings file of the serve command.
"configuration" checks a traffic configuration of the serve command, as stored on the platform.
)";

exit_code report_result(const findings& errors)
{
    print_findings(errors);
    if (errors.empty()) {
        std::cout << "no errors found\n";
        return exit_code::success;
    }
    return exit_code::usage;
}

exit_code check_router_settings()
{
    const arguments no_flags;
    setting_reader settings{no_flags, process_environment()};
    const auto flags = read_router_flags(settings);
    return report_result(has_value(flags) ? findings{} : findings_of(flags));
}

exit_code check_document_files(const std::vector<std::string>& name_file_pairs)
{
    std::vector<std::pair<std::string, std::string>> objects;
    findings errors;
    for (const auto& pair : name_file_pairs) {
        const auto equals = pair.find('=');
        if (equals == std::string::npos) {
            errors.push_back({pair, "does not have the form NAME=FILE"});
            continue;
        }
        std::ifstream in{pair.substr(equals + 1)};
        if (!in) {
            errors.push_back({pair.substr(equals + 1), "cannot be opened"});
            continue;
        }
        objects.emplace_back(pair.substr(0, equals),
                             std::string{std::istreambuf_iterator<char>{in}, {}});
    }
    const auto found = check_documents(objects);
    errors.insert(errors.end(), found.begin(), found.end());
    return report_result(errors);
}

/// Returns the content of a file, or a finding if it cannot be opened.
result<std::string> read_file(const std::string& path)
{
    std::ifstream in{path};
    if (!in) {
        return one_finding(path, "cannot be opened");
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

exit_code check_boot(const std::string& path)
{
    const auto content = read_file(path);
    if (!has_value(content)) {
        return report_result(findings_of(content));
    }
    const auto read = platform::protocol::read_settings(value_of(content));
    return report_result(has_value(read) ? findings{} : findings_of(read));
}

exit_code check_configuration(const std::string& path)
{
    const auto content = read_file(path);
    if (!has_value(content)) {
        return report_result(findings_of(content));
    }
    const mirrored_object object{path, {}, value_of(content)};
    const auto read = platform::protocol::read_configuration(object);
    return report_result(has_value(read) ? findings{} : findings_of(read));
}

} // namespace

exit_code run_check(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    if (flags.at("settings").asBool()) {
        return check_router_settings();
    }
    if (flags.at("boot").asBool()) {
        return check_boot(flags.at("<file>").asString());
    }
    if (flags.at("configuration").asBool()) {
        return check_configuration(flags.at("<file>").asString());
    }
    return check_document_files(flags.at("<name=file>").asStringList());
}

} // namespace endivelatch
