#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/load_table.hpp"
#include "endivelatch/membership/part_filter.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Crashes of targets and the prompt parts that may have caused them, as shared between routers.
namespace endivelatch {

/// Identifies a crash report by a hash of the request and its attempt.
using crash_report_id = number_id<struct crash_report_tag>;

/// Formats a part in hexadecimal, for logs.
std::string format_part(part_key part);

/// A request that was lost at the crash of a target before its answer was complete.
struct crash_report {
    crash_report_id id;
    target_key target;
    duration held{};             ///< Time from the sending of the request to the crash.
    duration age{};              ///< Time since the crash.
    std::vector<part_key> parts; ///< Parts of the prompt that may have caused the crash.
    part_filter all_parts; ///< All such parts, if they are more than a report names; else empty.

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// An answer to a prompt with the part was whole, so the part did not cause earlier crashes.
struct part_clearance {
    part_key part;
    duration age{}; ///< Time since the answer was complete.

    friend bool operator==(const part_clearance&, const part_clearance&) = default;
};

/// Reports and clearances that are sent together.
struct crash_news {
    std::vector<crash_report> reports;
    std::vector<part_clearance> clearances;

    friend bool operator==(const crash_news&, const crash_news&) = default;
};

/// Maximum number of parts per report, and of reports and clearances per packet.
inline constexpr std::size_t max_parts_per_crash_report = 8;
inline constexpr std::size_t max_crash_reports_per_packet = 3;
inline constexpr std::size_t max_clearances_per_packet = 6;

} // namespace endivelatch
