#include "command.hpp"
#include "endivelatch/base/json_text.hpp"
#include "http_fetch.hpp"
#include "setting_reader.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr const char* usage = R"(Reads and changes the configuration of the fleet.

Usage:
  endivelatch admin [options] status
  endivelatch admin [options] list <kind>
  endivelatch admin [options] get <kind> [<id>]
  endivelatch admin [options] put <kind> <id> <file>
  endivelatch admin [options] put defaults <file>
  endivelatch admin [options] remove <kind> <id>
  endivelatch admin [options] new-key <id>
  endivelatch admin [options] drain target <id>
  endivelatch admin [options] drain router
  endivelatch admin (-h | --help)

Kinds: organisations, models, targets, exceptions, defaults.
A <file> contains one JSON document; "-" reads it from standard input.
"new-key" creates a caller's key for an organisation. The key is shown only once.
"drain router" stops the router once its requests are done; --routers must name only this one.

Options:
  --routers=LIST      Routers to ask, IP:PORT separated by commas (ENDIVELATCH_ROUTERS).
  --operator-key=KEY  Operator's key (ENDIVELATCH_OPERATOR_KEY).
  --operator=NAME     Name recorded with changes (ENDIVELATCH_OPERATOR); "operator" if not given.
  --if-version=N      Change the object only if it still has this version.
  --json              Print the router's response unchanged.
)";

constexpr int first_error_status = 300;

/// Client for the administration API of the fleet.
class admin_client {
public:
    admin_client(std::vector<endpoint> routers, std::string key, std::string operator_name)
        : routers_{std::move(routers)}, key_{std::move(key)}, operator_name_{
                                                                  std::move(operator_name)}
    {
    }

    /// Returns the number of routers that requests may be sent to.
    std::size_t router_count() const { return routers_.size(); }

    /// Sends a request for a path below /admin/v1/ to the first router that can be reached.
    result<fetch_response> call(const std::string& method, const std::string& path,
                                std::string body = {}) const
    {
        fetch_request request;
        request.method = method;
        request.path = "/admin/v1/" + path;
        request.key = key_;
        request.body = std::move(body);
        request.headers.emplace_back("x-endivelatch-operator", operator_name_);
        return fetch_from_any(routers_, std::move(request));
    }

private:
    std::vector<endpoint> routers_;
    std::string key_;
    std::string operator_name_;
};

std::optional<std::string> read_document(const std::string& file)
{
    if (file == "-") {
        return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
    }
    std::ifstream in{file};
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

void print_value(const json& value, const std::string& indent)
{
    if (!value.is_structured()) {
        std::cout << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
        return;
    }
    std::cout << '\n';
    for (const auto& [key, element] : value.items()) {
        std::cout << indent << (value.is_array() ? "- " : key + ": ");
        print_value(element, indent + "  ");
    }
}

exit_code print_response(const result<fetch_response>& fetched, bool as_json)
{
    if (!has_value(fetched)) {
        print_findings(findings_of(fetched));
        return exit_code::failure;
    }
    const auto& response = value_of(fetched);
    const bool failed = response.status >= first_error_status;
    if (failed) {
        std::cerr << "error: status " << response.status << '\n';
    }
    const auto body = parse_json(response.body);
    if (as_json || body.is_discarded()) {
        std::cout << response.body << '\n';
    }
    else {
        print_value(body, "");
    }
    return failed ? exit_code::failure : exit_code::success;
}

result<fetch_response> drain_router(const admin_client& client)
{
    if (client.router_count() != 1) {
        return one_finding("--routers", "must name exactly one router to stop");
    }
    return client.call("POST", "drain");
}

result<fetch_response> drain_target(const admin_client& client, const std::string& id)
{
    return client.call("PATCH", "targets/" + percent_encode(id), R"({"draining":true})");
}

std::string string_argument(const arguments& flags, const std::string& name)
{
    const auto it = flags.find(name);
    return it != flags.end() && it->second.isString() ? it->second.asString() : std::string{};
}

result<fetch_response> put(const admin_client& client, const arguments& flags)
{
    const bool is_defaults = flags.at("defaults").asBool();
    const auto file = string_argument(flags, "<file>");
    const auto document = read_document(file);
    if (!document) {
        return one_finding(file, "cannot be opened");
    }
    auto path = is_defaults ? std::string{"defaults"}
                            : string_argument(flags, "<kind>") + '/' +
                                  percent_encode(string_argument(flags, "<id>"));
    if (const auto version = string_argument(flags, "--if-version"); !version.empty()) {
        path += "?if_version=" + percent_encode(version);
    }
    return client.call("PUT", path, *document);
}

result<fetch_response> execute_command(const admin_client& client, const arguments& flags)
{
    const auto is_given = [&](const char* name) { return flags.at(name).asBool(); };
    const auto kind = string_argument(flags, "<kind>");
    const auto id = string_argument(flags, "<id>");
    if (is_given("status")) {
        return client.call("GET", "status");
    }
    if (is_given("drain")) {
        return is_given("router") ? drain_router(client) : drain_target(client, id);
    }
    if (is_given("new-key")) {
        return client.call("POST", "organisations/" + percent_encode(id) + "/keys");
    }
    if (is_given("put")) {
        return put(client, flags);
    }
    if (is_given("remove")) {
        return client.call("DELETE", kind + '/' + percent_encode(id));
    }
    return client.call("GET", id.empty() ? kind : kind + '/' + percent_encode(id));
}

} // namespace

exit_code run_admin(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    const auto& flags = std::get<arguments>(parsed);
    setting_reader settings{flags, process_environment()};
    settings.required_string("routers");
    const auto routers = settings.addresses("routers");
    const auto key = settings.required_string("operator-key");
    const auto name = settings.string("operator", "operator");
    if (!settings.errors().empty()) {
        print_findings(settings.errors());
        return exit_code::usage;
    }
    const admin_client client{routers, key, name};
    return print_response(execute_command(client, flags), flags.at("--json").asBool());
}

} // namespace endivelatch
