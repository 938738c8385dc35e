#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The state of a fleet of entry routers, from their metrics.
namespace endivelatch {

/// Values by name with labels, such as `endivelatch_requests_finished{outcome="complete"}`.
using metric_values = std::map<std::string, std::int64_t, std::less<>>;

/// Returns the counters and gauges in the text of a metrics address; other lines are left out.
metric_values parse_metrics(std::string_view text);

/// What one router says about itself.
struct router_status {
    std::string address; ///< Of its metrics, as the operator named it.
    std::string error;   ///< Why there are no values; empty otherwise.
    metric_values values;

    /// Returns a value by its name without the prefix `endivelatch_`; zero when it is missing.
    std::int64_t value(std::string_view name) const;
};

/// Returns what an operator should look at: routers that do not answer, are not ready, have lost
/// the store, hold an older configuration, know fewer routers than others or dropped lines of their
/// log.
std::vector<std::string> find_problems(const std::vector<router_status>& fleet);

/// Returns a table with one line for each router.
std::string to_table(const std::vector<router_status>& fleet);

} // namespace endivelatch
