#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <docopt.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivelatch {

/// Returns the value of an environment variable, or nothing if it is not set.
using environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Returns the environment of the current process.
environment process_environment();

/// Reads settings from flags and environment variables and collects an error for each missing or
/// malformed one. A flag overrides its variable: `--failure-domain` overrides
/// `ENDIVELATCH_FAILURE_DOMAIN`.
class setting_reader {
public:
    setting_reader(const std::map<std::string, docopt::value>& flags, environment env);

    /// Returns a string; adds an error if it is missing or empty.
    std::string required_string(const std::string& name);

    /// Returns a string, or the fallback if it is not given.
    std::string string(const std::string& name, const std::string& fallback);

    /// Returns an integer, or the fallback if it is not given. Adds an error if it is malformed or
    /// outside of the bounds, which are inclusive.
    std::uint64_t number(const std::string& name, std::uint64_t fallback, std::uint64_t min_value,
                         std::uint64_t max_value);

    /// Returns an IP address and port; adds an error if it is missing or malformed.
    endpoint address(const std::string& name);

    /// Returns the addresses of a comma-separated list, or none if it is not given; adds an error
    /// for each malformed one.
    std::vector<endpoint> addresses(const std::string& name);

    /// Adds an error that names the flag or variable that the setting was read from.
    void add_error(const std::string& name, std::string message);

    /// Returns the errors found so far.
    const findings& errors() const { return errors_; }

private:
    struct source {
        std::string origin; ///< Flag or environment variable.
        std::string value;
    };

    /// Returns the value and the origin of a setting, or nothing if it is not given.
    std::optional<source> find(const std::string& name) const;

    const std::map<std::string, docopt::value>& arguments_;
    environment environment_;
    findings errors_;
};

/// Parses an address in the form `IP:PORT` or `[IP]:PORT`; returns nothing if it is malformed.
std::optional<endpoint> parse_endpoint(const std::string& text);

/// Returns the environment variable of a setting, such as `ENDIVELATCH_LOG_LEVEL` for `log-level`.
std::string variable_name(const std::string& setting);

} // namespace endivelatch
