#include "command.hpp"
#include "endivelatch/base/json_text.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Asks the fleet for the addresses that a caller should connect to.

Usage:
  endivelatch entry [--routers=LIST] [--key=KEY] [--chat=ID] [--hint=TEXT] [--json]
  endivelatch entry (-h | --help)

Options:
  --routers=LIST  Routers to ask, IP:PORT separated by commas (ENDIVELATCH_ROUTERS).
  --key=KEY       Caller's key (ENDIVELATCH_KEY).
  --chat=ID       Chat that the caller continues.
  --hint=TEXT     Hint from the chat's last response.
  --json          Print the router's response unchanged.
)";

std::string entry_path(setting_reader& settings)
{
    return "/v1/entry?chat=" + percent_encode(settings.string("chat", "")) +
           "&hint=" + percent_encode(settings.string("hint", ""));
}

void print_addresses(const std::string& body)
{
    const auto response = parse_json(body);
    if (!response.is_object() || !response.contains("addresses")) {
        std::cout << body << '\n';
        return;
    }
    for (const auto& address : response["addresses"]) {
        std::cout << address.get<std::string>() << '\n';
    }
}

} // namespace

exit_code run_entry(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    setting_reader settings{flags, process_environment()};
    settings.required_string("routers");
    const auto routers = settings.addresses("routers");
    fetch_request request;
    request.key = settings.required_string("key");
    request.path = entry_path(settings);
    if (!settings.errors().empty()) {
        print_findings(settings.errors());
        return exit_code::usage;
    }
    const auto response = fetch_from_any(routers, request);
    if (!has_value(response)) {
        print_findings(findings_of(response));
        return exit_code::failure;
    }
    constexpr int status_ok = 200;
    if (value_of(response).status != status_ok) {
        std::cerr << "error: status " << value_of(response).status << ": "
                  << value_of(response).body << '\n';
        return exit_code::failure;
    }
    if (flags.at("--json").asBool()) {
        std::cout << value_of(response).body << '\n';
        return exit_code::success;
    }
    print_addresses(value_of(response).body);
    return exit_code::success;
}

} // namespace endivelatch
