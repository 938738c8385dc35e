#include "command.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include "endivelatch/timeline/timeline.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Merges the events of routers and files in causal order.

Usage:
  endivelatch timeline [options] [<file>...]
  endivelatch timeline (-h | --help)

Options:
  --routers=LIST       Routers to ask, IP:PORT separated by commas (ENDIVELATCH_ROUTERS).
  --operator-key=KEY   Operator's key (ENDIVELATCH_OPERATOR_KEY).
  --request=ID         Only events of this request.
  --chat=ID            Only events of requests of this chat.
  --target=ID          Only events of requests that ran on this target.
  --organisation=ID    Only events of this organisation's requests.
  --event=NAME         Only events with this name.
)";

/// Returns the request identifier from a caller's token of the form REQUEST@ROUTER.
std::string remove_owner(const std::string& token)
{
    return token.substr(0, token.rfind('@'));
}

timeline_filter read_filter(setting_reader& settings)
{
    return {remove_owner(settings.string("request", "")), settings.string("chat", ""),
            settings.string("target", ""), settings.string("organisation", ""),
            settings.string("event", "")};
}

findings read_files(const arguments& flags, timeline& timeline)
{
    findings errors;
    for (const auto& file : flags.at("<file>").asStringList()) {
        std::ifstream in{file};
        if (!in) {
            errors.push_back({file, "cannot be opened"});
            continue;
        }
        const auto found = timeline.read(in, file);
        errors.insert(errors.end(), found.begin(), found.end());
    }
    return errors;
}

findings read_routers(const std::vector<endpoint>& routers, const std::string& key,
                      timeline& timeline)
{
    findings errors;
    for (const auto& router : routers) {
        const auto name = router.address + ':' + std::to_string(router.port);
        const auto response = fetch({router, "GET", "/admin/v1/timeline", key, {}, {}});
        if (!has_value(response)) {
            errors.push_back({name, to_string(findings_of(response))});
            continue;
        }
        constexpr int status_ok = 200;
        if (value_of(response).status != status_ok) {
            errors.push_back(
                {name, "responded with status " + std::to_string(value_of(response).status)});
            continue;
        }
        std::istringstream in{value_of(response).body};
        const auto found = timeline.read(in, name);
        errors.insert(errors.end(), found.begin(), found.end());
    }
    return errors;
}

} // namespace

exit_code run_timeline(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    setting_reader settings{flags, process_environment()};
    const auto routers = settings.addresses("routers");
    const auto key = routers.empty() ? std::string{} : settings.required_string("operator-key");
    const auto filter = read_filter(settings);
    if (!settings.errors().empty()) {
        print_findings(settings.errors());
        return exit_code::usage;
    }
    timeline timeline;
    auto errors = read_files(flags, timeline);
    const auto router_errors = read_routers(routers, key, timeline);
    errors.insert(errors.end(), router_errors.begin(), router_errors.end());
    for (const auto& event : timeline.matching(filter)) {
        std::cout << to_line(event) << '\n';
    }
    print_findings(errors);
    return errors.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
