#include "command.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include "endivelatch/timeline/timeline.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Merges the events of routers and files into one causal order.

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
  --event=NAME         Only events of this name.
)";

/// Returns the request's identifier without the router that the caller's token names.
std::string without_owner(const std::string& token)
{
    return token.substr(0, token.rfind('@'));
}

timeline_filter read_filter(setting_reader& settings)
{
    return {without_owner(settings.text("request", "")), settings.text("chat", ""),
            settings.text("target", ""), settings.text("organisation", ""),
            settings.text("event", "")};
}

findings read_files(const arguments& flags, timeline& all)
{
    findings faults;
    for (const auto& it : flags.at("<file>").asStringList()) {
        std::ifstream in{it};
        if (!in) {
            faults.push_back({it, "cannot be opened"});
            continue;
        }
        const auto found = all.read(in, it);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    return faults;
}

findings read_routers(const std::vector<endpoint>& routers, const std::string& key, timeline& all)
{
    findings faults;
    for (const auto& it : routers) {
        const auto name = it.address + ':' + std::to_string(it.port);
        const auto reply = fetch({it, "GET", "/admin/v1/timeline", key, {}, {}});
        if (!has_value(reply)) {
            faults.push_back({name, to_string(findings_of(reply))});
            continue;
        }
        constexpr int status_ok = 200;
        if (value_of(reply).status != status_ok) {
            faults.push_back(
                {name, "answered with status " + std::to_string(value_of(reply).status)});
            continue;
        }
        std::istringstream in{value_of(reply).body};
        const auto found = all.read(in, name);
        faults.insert(faults.end(), found.begin(), found.end());
    }
    return faults;
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
    const auto key = routers.empty() ? std::string{} : settings.required_text("operator-key");
    const auto filter = read_filter(settings);
    if (!settings.faults().empty()) {
        print_findings(settings.faults());
        return exit_code::usage;
    }
    timeline all;
    auto faults = read_files(flags, all);
    const auto more = read_routers(routers, key, all);
    faults.insert(faults.end(), more.begin(), more.end());
    for (const auto& it : all.matching(filter)) {
        std::cout << to_line(it) << '\n';
    }
    print_findings(faults);
    return faults.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
