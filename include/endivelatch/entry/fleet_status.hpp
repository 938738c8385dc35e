#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Status of a fleet of entry routers, computed from their metrics.
namespace endivelatch {

/// Metric values by name and labels, such as `endivelatch_requests_finished{outcome="complete"}`.
using metric_values = std::map<std::string, std::int64_t, std::less<>>;

/// Parses the counters and gauges of a metrics page. Other lines are ignored.
metric_values parse_metrics(std::string_view text);

/// Metrics of one router.
struct router_status {
    std::string address; ///< Address of its metrics, as given by the operator.
    std::string error;   ///< Why the metrics could not be read; empty if they were.
    metric_values values;

    /// Returns the value of a metric, named without the prefix `endivelatch_`; zero if missing.
    std::int64_t value(std::string_view name) const;

    /// Returns whether the router has the metric. It has those of evacuations only if it reads
    /// them.
    bool has(std::string_view name) const;
};

/// Returns the problems of the fleet: routers that do not answer, are not ready, have lost their
/// connection to the store, hold an older configuration or know fewer routers than others do, or
/// have dropped log lines.
std::vector<std::string> find_problems(const std::vector<router_status>& fleet);

/// Formats a table with one line per router.
std::string to_table(const std::vector<router_status>& fleet);

} // namespace endivelatch
