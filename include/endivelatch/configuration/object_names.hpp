#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Names of the platform objects that store the configuration.
namespace endivelatch {

/// Prefix of all configuration objects.
constexpr std::string_view config_prefix = "config/";

/// Number of objects over which the organisations are distributed. Changing it would make stored
/// objects invalid, because an entry's object is its hash modulo this number.
constexpr std::uint32_t organisation_object_count = 64;

/// Number of objects over which the targets are distributed; must not change either.
constexpr std::uint32_t target_object_count = 64;

/// The kind of entries in a configuration object.
enum class config_kind { defaults, models, exceptions, organisations, targets };

/// Returns the name of a kind as used in documents and paths, such as `organisations`.
std::string_view to_string(config_kind kind);

/// Returns the kind with the given name, if there is one.
std::optional<config_kind> parse_config_kind(std::string_view name);

/// Returns the name of the object that stores an entry, such as `config/targets/07`.
std::string config_object_name(config_kind kind, std::string_view entry);

/// Returns the kind of entries in an object, or nothing if it is not a configuration object.
std::optional<config_kind> kind_of_object(std::string_view name);

} // namespace endivelatch
