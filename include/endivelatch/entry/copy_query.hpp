#pragma once

#include "endivelatch/entry/protocol.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Asks another router for its copy once it is newer than a revision.
struct copy_query {
    object_kind kind = object_kind::configuration;
    store_revision newer_than;
    bool from_watcher = false;  ///< Only from a router that watches the store itself.
    bool takes_changes = false; ///< What changed since the revision will do.
};

/// Returns the path and query, such as `/copy/targets?newer-than=7`; `&from-watcher` and `&changes`
/// may follow, in this order.
std::string write_copy_query(const copy_query& query);

/// Returns the query, or nothing when the path is another one.
std::optional<copy_query> read_copy_query(std::string_view target);

} // namespace endivelatch
