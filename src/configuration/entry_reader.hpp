#pragma once

#include "endivelatch/base/result.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// Reads and validates the fields of a JSON object and collects the errors.
class entry_reader {
public:
    /// `value` must outlive the reader. The places of errors start with `place`.
    entry_reader(const nlohmann::json& value, std::string place, findings& errors);

    /// Returns a non-empty string. Adds an error if it is missing, empty or of another type.
    std::string required_string(std::string_view field);

    /// Returns a string, empty if the field is missing.
    std::string optional_string(std::string_view field);

    /// Returns an array of strings, empty if the field is missing.
    std::vector<std::string> string_list(std::string_view field);

    /// Returns a boolean, or `default_value` if the field is missing.
    bool boolean(std::string_view field, bool default_value);

    /// Returns a number within the range, or `default_value` if the field is missing.
    double number(std::string_view field, double default_value, double minimum, double maximum);

    /// Returns a whole number of at least `minimum`, or `default_value` if the field is missing.
    std::uint32_t count(std::string_view field, std::uint32_t default_value, std::uint32_t minimum);

    /// Adds an error for a field.
    void add_error(std::string_view field, std::string message);

    /// Adds an error for every field that was not read, except the change metadata.
    void report_unknown_fields();

private:
    const nlohmann::json* find_field(std::string_view field);

    const nlohmann::json& value_;
    std::string place_;
    findings& errors_;
    std::set<std::string, std::less<>> known_fields_;
};

} // namespace endivelatch
