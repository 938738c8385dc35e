#pragma once

#include "endivelatch/base/hybrid_clock.hpp"
#include "endivelatch/base/log_event.hpp"
#include "endivelatch/base/result.hpp"

#include <string>
#include <string_view>

namespace endivelatch {

/// An event of a process with its causal timestamp.
struct timeline_entry {
    hybrid_time stamp;
    std::string process; ///< Name of the router or of the simulated target.
    log_event event;
};

/// Returns the line `stamp=WALL_US.COUNTER process=NAME event=NAME key=value ...`.
std::string to_line(const timeline_entry& entry);

/// Parses the format of `to_line`, or returns findings.
result<timeline_entry> parse_timeline_entry(std::string_view line);

} // namespace endivelatch
