#pragma once

#include "endivelatch/base/hybrid_clock.hpp"
#include "endivelatch/base/log_event.hpp"
#include "endivelatch/base/result.hpp"

#include <string>
#include <string_view>

namespace endivelatch {

/// One event of one process, at its place in the causal order.
struct timeline_entry {
    hybrid_time stamp;
    std::string process; ///< Name of the router or stand-in.
    log_event event;
};

/// Returns the line `stamp=WALL_US.COUNTER process=NAME event=NAME key=value ...`.
std::string to_line(const timeline_entry& entry);

/// Returns the entry in a line, or what is wrong with the line.
result<timeline_entry> parse_timeline_entry(std::string_view line);

} // namespace endivelatch
