#include "command.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include "endivelatch/entry/fleet_status.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Shows the state of a fleet of entry routers, from their metrics.

Usage:
  endivelatch status [options]
  endivelatch status (-h | --help)

Options:
  --metrics=LIST  Addresses of routers' metrics, IP:PORT separated by commas
                  (ENDIVELATCH_METRICS_OF).
  --json          Print all values as JSON.

The exit code is 1 when something is to be looked at.
)";

router_status ask(const endpoint& router)
{
    router_status status;
    status.address = router.address + ':' + std::to_string(router.port);
    router_call call;
    call.router = router;
    call.path = "/metrics";
    const auto reply = fetch(call);
    constexpr int status_ok = 200;
    if (!has_value(reply)) {
        status.error = to_string(findings_of(reply));
    }
    else if (value_of(reply).status != status_ok) {
        status.error = "status " + std::to_string(value_of(reply).status);
    }
    else {
        status.values = parse_metrics(value_of(reply).body);
    }
    return status;
}

void print_json(const std::vector<router_status>& fleet, const std::vector<std::string>& notes)
{
    nlohmann::json routers = nlohmann::json::array();
    for (const auto& it : fleet) {
        routers.push_back(
            {{"address", it.address}, {"fault", it.error}, {"values", nlohmann::json(it.values)}});
    }
    std::cout << nlohmann::json{{"routers", routers}, {"notable", notes}}.dump(2) << '\n';
}

} // namespace

exit_code run_status(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    setting_reader settings{flags, process_environment()};
    settings.required_text("metrics");
    const auto addresses = settings.addresses("metrics");
    if (!settings.faults().empty()) {
        print_findings(settings.faults());
        return exit_code::usage;
    }
    std::vector<router_status> fleet;
    fleet.reserve(addresses.size());
    for (const auto& it : addresses) {
        fleet.push_back(ask(it));
    }
    const auto notes = find_problems(fleet);
    if (flags.at("--json").asBool()) {
        print_json(fleet, notes);
    }
    else {
        std::cout << to_table(fleet);
        for (const auto& it : notes) {
            std::cout << it << '\n';
        }
    }
    return notes.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
