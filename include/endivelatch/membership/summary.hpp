#pragma once

#include "endivelatch/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Small key-value records that a router publishes to other routers.
namespace endivelatch {

/// Type of a summary.
enum class summary_kind : std::uint8_t {
    target_load = 1,        ///< Load of one owned target.
    pool_load = 2,          ///< Load of one pool within a failure domain.
    organisation_usage = 3, ///< Requests of an organisation in flight at the owner.
    config_version = 4,     ///< Configuration version in use at the owner.
    router_state = 5,       ///< State of the owner itself.
};

/// Returns the kind as written in logs, such as `target_load`.
std::string_view to_string(summary_kind kind);

/// Set of routers that receive a summary.
enum class summary_scope : std::uint8_t {
    fleet = 0,  ///< All routers.
    domain = 1, ///< Routers of the owner's failure domain.
};

/// Identifies a summary among those of its owner.
struct summary_key {
    summary_kind kind = summary_kind::router_state;
    std::string id; ///< Target, pool or organisation; may be empty.

    friend auto operator<=>(const summary_key&, const summary_key&) = default;
};

/// Counts the changes of one owner's summaries within its run.
using summary_version = number_id<struct summary_version_tag>;

/// One summary as it is transmitted.
struct summary_entry {
    router_id owner;
    incarnation owner_run;
    summary_key key;
    summary_version version;
    summary_scope scope = summary_scope::fleet;
    std::string value; ///< Empty if the owner withdrew the summary.

    friend bool operator==(const summary_entry&, const summary_entry&) = default;
};

} // namespace endivelatch
