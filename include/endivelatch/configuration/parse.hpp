#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/configuration/documents.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Parsing and serialization of configuration documents (JSON). All errors are reported, each with
/// its place.
///
/// A configuration object is `{"entries": {ID: ENTRY, ...}, "changes": [ID, ...]}`; the entries
/// of `config/defaults` have the single id `fleet`. Durations are in seconds. A place has the form
/// `OBJECT#POINTER`, where POINTER is a JSON pointer.
namespace endivelatch {

/// Identifier of the only entry of `config/defaults`.
constexpr std::string_view defaults_entry = "fleet";

/// Parse and validate one entry, such as the target `t1`. The places of errors start with `place`.
result<organisation_document> parse_organisation(std::string_view id, const std::string& json,
                                                 const std::string& place);
result<model_document> parse_model(std::string_view id, const std::string& json,
                                   const std::string& place);
result<target_document> parse_target(std::string_view id, const std::string& json,
                                     const std::string& place);
result<exception_document> parse_exception(std::string_view id, const std::string& json,
                                           const std::string& place);
result<fleet_defaults> parse_defaults(const std::string& json, const std::string& place);

/// Serialize an entry as JSON.
std::string to_json_text(const organisation_document& document);
std::string to_json_text(const model_document& document);
std::string to_json_text(const target_document& document);
std::string to_json_text(const exception_document& document);
std::string to_json_text(const fleet_defaults& document);

/// The parsed entries of one configuration object.
struct parsed_object {
    std::vector<organisation_document> organisations;
    std::vector<model_document> models;
    std::vector<target_document> targets;
    std::vector<exception_document> exceptions;
    std::vector<fleet_defaults> defaults; ///< At most one element.
};

/// Parses and validates a complete object. Returns its entries or all its errors.
result<parsed_object> parse_object(const std::string& name, const std::string& document);

} // namespace endivelatch
