#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/platform/object.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Effects that the configuration reducers return for the router to perform.
namespace endivelatch {

/// Sends configuration objects to a peer. An object with an empty document only announces that the
/// sender holds this version of it.
struct send_config {
    router_id to;
    config_update update;
};

/// Queries a peer for newer objects.
struct query_config {
    router_id to;
    config_query query;
};

/// Reports that the active versions of these objects have changed.
struct configuration_changed {
    std::vector<std::string> names;
};

/// Reports that an object is malformed; its last valid version remains active.
struct configuration_rejected {
    std::string name;
    object_version version;
    findings errors;
};

/// Reports that a peer holds this version of an object or a later one.
struct object_confirmed {
    router_id by;
    std::string name;
    object_version version;
};

/// Identifies the HTTP exchange of an operator's request.
using admin_exchange = number_id<struct admin_exchange_tag>;

/// The HTTP response to an operator's request.
struct admin_response {
    admin_exchange exchange;
    std::int32_t status = 0; ///< HTTP status code.
    std::string json;
};

/// Any effect of the configuration reducers.
using configuration_effect =
    std::variant<platform_call, send_config, query_config, configuration_changed,
                 configuration_rejected, object_confirmed, admin_response>;

/// Effects in the order in which they must be performed.
using configuration_effects = std::vector<configuration_effect>;

} // namespace endivelatch
