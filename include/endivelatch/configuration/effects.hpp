#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/platform/object.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the configuration reducers ask of their router.
namespace endivelatch {

/// Send configuration objects to a peer. An object with an empty document only announces that
/// the sender holds its version.
struct send_config {
    router_id to;
    config_update update;
};

/// Ask a peer for newer objects.
struct query_config {
    router_id to;
    config_query query;
};

/// The configuration in force has changed in these objects.
struct configuration_changed {
    std::vector<std::string> names;
};

/// An object was malformed; the last good version stays in force.
struct configuration_rejected {
    std::string name;
    object_version version;
    findings errors;
};

/// A peer holds this version of an object, or a later one.
struct object_confirmed {
    router_id by;
    std::string name;
    object_version version;
};

/// Names the HTTP exchange of an operator's request.
using admin_exchange = number_id<struct admin_exchange_tag>;

/// The answer to an operator's request.
struct admin_response {
    admin_exchange exchange;
    std::int32_t status = 0; ///< HTTP status.
    std::string json;
};

/// What the configuration reducers ask of their router.
using configuration_effect =
    std::variant<platform_call, send_config, query_config, configuration_changed,
                 configuration_rejected, object_confirmed, admin_response>;

/// Effects in the order in which they must be carried out.
using configuration_effects = std::vector<configuration_effect>;

} // namespace endivelatch
