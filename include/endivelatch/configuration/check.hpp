#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/configuration/documents.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Validation of references between documents, and the effective settings of a subject.
namespace endivelatch {

/// Returns an error for every reference to a missing document and for every duplicate exception.
findings check_references(const configuration& config);

/// Parses and validates a set of objects, given as pairs of name and document. Returns all errors.
findings check_documents(const std::vector<std::pair<std::string, std::string>>& objects);

/// Returns the names of the settings that an exception may override.
const std::vector<std::string_view>& setting_names();

/// Returns the value of a setting by its name; durations are in seconds.
result<double> setting_value(const fleet_defaults& settings, std::string_view name);

/// Returns an error for every setting that is out of range.
findings check_settings(const fleet_defaults& settings, const std::string& place);

/// Returns the defaults overridden by the exceptions for a subject, such as `organisation/o1`.
fleet_defaults effective_settings(const configuration& config, std::string_view subject);

/// Returns the effective value of one setting for a subject; durations are in seconds.
result<double> effective_setting(const configuration& config, std::string_view setting,
                                 std::string_view subject);

} // namespace endivelatch
