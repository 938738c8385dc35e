#include "command.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include "endivelatch/entry/fleet_status.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Shows the state of a fleet of entry routers from their metrics.

Usage:
  endivelatch status [options]
  endivelatch status (-h | --help)

Options:
  --metrics=LIST  Metrics addresses of routers, IP:PORT separated by commas
                  (ENDIVELATCH_METRICS_OF).
  --json          Print all values as JSON.

The exit code is 1 if anything needs attention.
)";

router_status fetch_router_status(const endpoint& router)
{
    router_status status;
    status.address = router.address + ':' + std::to_string(router.port);
    fetch_request request;
    request.router = router;
    request.path = "/metrics";
    const auto response = fetch(request);
    constexpr int status_ok = 200;
    if (!has_value(response)) {
        status.error = to_string(findings_of(response));
    }
    else if (value_of(response).status != status_ok) {
        status.error = "status " + std::to_string(value_of(response).status);
    }
    else {
        status.values = parse_metrics(value_of(response).body);
    }
    return status;
}

void print_json(const std::vector<router_status>& fleet, const std::vector<std::string>& notes)
{
    nlohmann::json routers = nlohmann::json::array();
    for (const auto& router : fleet) {
        routers.push_back({{"address", router.address},
                           {"fault", router.error},
                           {"values", nlohmann::json(router.values)}});
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
    settings.required_string("metrics");
    const auto addresses = settings.addresses("metrics");
    if (!settings.errors().empty()) {
        print_findings(settings.errors());
        return exit_code::usage;
    }
    std::vector<router_status> fleet;
    fleet.reserve(addresses.size());
    for (const auto& router : addresses) {
        fleet.push_back(fetch_router_status(router));
    }
    const auto notes = find_problems(fleet);
    if (flags.at("--json").asBool()) {
        print_json(fleet, notes);
    }
    else {
        std::cout << to_table(fleet);
        for (const auto& note : notes) {
            std::cout << note << '\n';
        }
    }
    return notes.empty() ? exit_code::success : exit_code::failure;
}

} // namespace endivelatch
