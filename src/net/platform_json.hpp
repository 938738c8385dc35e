#pragma once

#include "endivelatch/net/platform_client.hpp"

#include <optional>

/// Parsers for the JSON responses of the platform.
namespace endivelatch {

/// Parses the response to a read; returns nullopt when it is malformed.
std::optional<objects_found> parse_object(const std::string& text);

/// Parses the response to a list or watch; returns nullopt when it is malformed.
std::optional<objects_found> parse_objects(const std::string& text);

/// Parses the version in the given field; returns nullopt when it is malformed.
std::optional<object_version> parse_version(const std::string& text, const char* field);

/// Parses the list of VMs; returns nullopt when it is malformed.
std::optional<std::vector<platform_vm>> parse_vms(const std::string& text);

/// Percent-encodes a path, except for slashes.
std::string encode_path(std::string_view text);

} // namespace endivelatch
