#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// Failures of targets that routers share with each other.
namespace endivelatch {

/// Identifies a router in a failure report by a hash of its id, to keep reports short.
using router_key = number_id<struct router_key_tag, std::uint32_t>;

/// Computes the key from the hash of the router id.
router_key key_of(const router_id& id);

/// A target that one router failed to get an answer from, as shared between routers.
struct failure_report {
    target_key target;
    router_key reporter;
    duration age{}; ///< Time since the reporter's last failure at the target.

    friend bool operator==(const failure_report&, const failure_report&) = default;
};

/// Holds the newest failures of each target, by the router that saw them.
///
/// In a large fleet a router sends a request to a given target only every few ten seconds, so each
/// one would lose requests of its own at a target that has already failed others. Reports name
/// their reporter, so that a target is not judged by the failures of a single router, which may be
/// cut off itself.
class failure_table {
public:
    /// Stores a report if it is newer than the known one of the same reporter by at least
    /// `min_interval`. Of each target the reports of `max_reporters` routers are kept, the newest
    /// ones. Returns whether it was stored.
    bool update(target_key target, router_key reporter, time_point failed_at);

    /// Returns up to `max_count` of the newest reports, and removes expired ones.
    std::vector<failure_report> newest(std::size_t max_count, time_point now);

    /// Returns the number of targets that have a report.
    std::size_t size() const { return records_.size(); }

    /// Age at which a report expires.
    static constexpr duration lifetime{2'000'000};
    /// Copies of one report differ by their transit times, which are not part of the age. Reports
    /// of the same router within this time count as one.
    static constexpr duration min_interval{100'000};
    /// Maximum number of reports of one target: enough to tell several routers from one.
    static constexpr std::size_t max_reporters = 3;
    /// Maximum reports per packet, which leaves most of it to loads.
    static constexpr std::size_t max_reports_per_packet = 12;

private:
    /// Last failure of the target that one router reported.
    struct record {
        router_key reporter;
        time_point failed_at{};
    };

    std::unordered_map<target_key, std::vector<record>> records_;
};

} // namespace endivelatch
