#include "setting_reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>

namespace endivelatch {

namespace {

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

template <class Number>
std::optional<Number> parse_number(const std::string& text)
{
    Number n{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

} // namespace

environment process_environment()
{
    return [](const std::string& name) -> std::optional<std::string> {
        const char* value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>{value};
    };
}

std::string variable_name(const std::string& setting)
{
    std::string name = "ENDIVELATCH_" + setting;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return c == '-' ? '_' : static_cast<char>(std::toupper(c));
    });
    return name;
}

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!is_ip_address(address) || !port || *port == 0) {
        return std::nullopt;
    }
    return endpoint{address, *port};
}

setting_reader::setting_reader(const std::map<std::string, docopt::value>& flags, environment env)
    : arguments_{flags}, environment_{std::move(env)}
{
}

std::optional<setting_reader::source> setting_reader::find(const std::string& name) const
{
    const auto flag = arguments_.find("--" + name);
    if (flag != arguments_.end() && flag->second.isString()) {
        return source{"--" + name, flag->second.asString()};
    }
    const auto variable = variable_name(name);
    if (auto value = environment_(variable)) {
        return source{variable, std::move(*value)};
    }
    return std::nullopt;
}

void setting_reader::add_error(const std::string& name, std::string message)
{
    const auto found = find(name);
    errors_.push_back({found ? found->origin : "--" + name, std::move(message)});
}

std::string setting_reader::required_string(const std::string& name)
{
    const auto found = find(name);
    if (!found || found->value.empty()) {
        errors_.push_back({"--" + name, "is required (or set " + variable_name(name) + ")"});
        return {};
    }
    return found->value;
}

std::string setting_reader::string(const std::string& name, const std::string& fallback)
{
    const auto found = find(name);
    return found ? found->value : fallback;
}

std::uint64_t setting_reader::number(const std::string& name, std::uint64_t fallback,
                                     std::uint64_t min_value, std::uint64_t max_value)
{
    const auto found = find(name);
    if (!found) {
        return fallback;
    }
    const auto n = parse_number<std::uint64_t>(found->value);
    if (!n || *n < min_value || *n > max_value) {
        add_error(name, "\"" + found->value + "\" is not an integer from " +
                            std::to_string(min_value) + " to " + std::to_string(max_value));
        return fallback;
    }
    return *n;
}

endpoint setting_reader::address(const std::string& name)
{
    const auto value = required_string(name);
    if (value.empty()) {
        return {};
    }
    const auto parsed = parse_endpoint(value);
    if (!parsed) {
        add_error(name, "\"" + value + "\" is not an IP address and port, such as 127.0.0.1:8080");
    }
    return parsed.value_or(endpoint{});
}

std::vector<endpoint> setting_reader::addresses(const std::string& name)
{
    std::vector<endpoint> endpoints;
    std::istringstream list{string(name, "")};
    std::string item;
    while (std::getline(list, item, ',')) {
        const auto parsed = parse_endpoint(item);
        if (!parsed) {
            add_error(name,
                      "\"" + item + "\" is not an IP address and port, such as 127.0.0.1:8080");
            continue;
        }
        endpoints.push_back(*parsed);
    }
    return endpoints;
}

} // namespace endivelatch
