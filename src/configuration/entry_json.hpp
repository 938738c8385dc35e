#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

/// Access to and changes of the entries in the JSON form of configuration objects.
namespace endivelatch {

/// Metadata of one change of an entry.
struct change_record {
    std::string id; ///< Unique identifier of the change.
    std::string author;
    wall_time at;
    std::uint64_t revision = 0; ///< Increases with every change of the entry, including deletions.
};

/// Parses an object's document and adds missing `entries` and `changes` fields. An invalid document
/// yields an empty object.
nlohmann::json object_json(const std::string& document);

/// Returns an entry without its change metadata, or null if the entry does not exist.
nlohmann::json entry_of(const nlohmann::json& object, const std::string& id);

/// Returns the change metadata of an entry, or an empty object if there is none.
nlohmann::json last_change_of(const nlohmann::json& object, const std::string& id);

/// Returns the revision of an entry, or zero if the entry does not exist.
std::uint64_t revision_of(const nlohmann::json& object, const std::string& id);

/// Returns whether the object's list of recent changes contains the change identifier.
bool contains_change(const nlohmann::json& object, const std::string& change);

/// Sets an entry, or removes it if `entry` is null, and records the change.
void apply_change(nlohmann::json& object, const std::string& id, const nlohmann::json& entry,
                  const change_record& change);

/// Returns the fields that differ, as an array of objects with `field`, `before` and `now`.
nlohmann::json differences(const nlohmann::json& before, const nlohmann::json& now);

/// Validates an entry without its references; the places of the errors start with `place`.
findings check_entry(config_kind kind, const std::string& id, const nlohmann::json& entry,
                     const std::string& place);

/// Returns the reference errors that setting an entry, or removing it if `entry` is null, would
/// add.
findings check_new_references(const configuration& current, config_kind kind, const std::string& id,
                              const nlohmann::json& entry);

/// Returns the errors as a JSON array.
nlohmann::json to_json(const findings& errors);

} // namespace endivelatch
