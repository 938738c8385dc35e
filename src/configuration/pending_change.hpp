#pragma once

#include "endivelatch/configuration/administration.hpp"
#include "endivelatch/configuration/object_names.hpp"
#include "entry_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace endivelatch {

/// Progress of an operator's change.
enum class change_stage {
    reading,    ///< The object is being read, or will be at `next_read_at`.
    writing,    ///< The new version of the object is being written.
    confirming, ///< Stored; waits for a peer to confirm that it holds the version.
};

/// An operator's change in progress.
struct pending_change {
    admin_request request;
    config_kind kind = config_kind::defaults;
    std::string id;          ///< Identifier of the entry.
    std::string object_name; ///< Object that holds the entry.
    change_record record;
    change_stage stage = change_stage::reading;
    nlohmann::json base_entry;   ///< Entry that the change is based on; null if it does not exist.
    bool has_base = false;       ///< Whether `base_entry` is known.
    nlohmann::json new_entry;    ///< Entry to store; null removes the entry.
    std::string new_key;         ///< Generated organisation key, returned in the response.
    object_version read_version; ///< Version of the object as last read.
    nlohmann::json current_object; ///< Contents of the object as last read.
    std::string written_document;  ///< Document sent with the last write.
    bool write_uncertain = false;  ///< A write that expects `read_version` may still take effect.
    std::optional<platform_call_id> pending_call;
    time_point call_deadline = time_point::max();
    time_point next_read_at{};
    time_point deadline;
    object_version stored_version; ///< Version that contains the change; set when it is stored.
};

} // namespace endivelatch
