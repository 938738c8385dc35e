#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/core/router_settings.hpp"
#include "setting_reader.hpp"

#include <string>
#include <vector>

namespace endivelatch {

/// Settings of the router subcommand.
struct router_flags {
    router_settings router;
    std::vector<std::string> platform_urls;
    double platform_read_rate = 0;  ///< Calls per second, including watches.
    double platform_write_rate = 0; ///< Calls per second.
    std::string log_level;
};

/// Reads and validates the settings; returns them or all errors found.
result<router_flags> read_router_flags(setting_reader& settings);

} // namespace endivelatch
