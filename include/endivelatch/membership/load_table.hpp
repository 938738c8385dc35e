#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Target loads that routers share with each other.
namespace endivelatch {

/// Identifies a target in a load report by a hash of its id, to keep reports short. Targets with
/// colliding keys receive each other's reports, which only makes their load estimates inaccurate.
using target_key = number_id<struct target_key_tag, std::uint32_t>;

/// Computes the key from the hash of the target id.
target_key key_of(const target_id& id);

/// Smallest and largest plausible slowdown of a target: the time that work takes there now,
/// relative to the usual time.
inline constexpr double min_slowdown = 0.1;
inline constexpr double max_slowdown = 100;

/// Returns whether a target may have the given slowdown; false for a value that is not a number.
constexpr bool is_plausible_slowdown(double slowdown)
{
    return slowdown >= min_slowdown && slowdown <= max_slowdown;
}

/// Load reported by a target, as shared between routers.
struct load_report {
    target_key target;
    std::uint32_t in_flight = 0; ///< Requests running or queued at the target, from all routers.
    duration age{};              ///< Time since the target reported the load.
    /// Time of work relative to the usual time, if the target reported it.
    std::optional<double> slowdown = std::nullopt;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Holds the newest load of each target, received from the target itself or from other routers.
///
/// A target reports its load in responses to requests. With many routers, each one receives few
/// responses of a given target, so the newest reports are also shared in gossip packets.
class load_table {
public:
    /// Stores a report if it is newer than the known one; returns whether it was stored.
    bool update(target_key target, std::uint32_t in_flight, time_point reported_at,
                std::optional<double> slowdown = std::nullopt);

    /// Returns up to `max_count` of the newest reports, and removes expired ones.
    std::vector<load_report> newest(std::size_t max_count, time_point now);

    /// Returns the number of targets that have a report.
    std::size_t size() const { return reports_.size(); }

    /// Returns whether any report has contained a slowdown.
    bool has_slowdowns() const { return has_slowdowns_; }

    /// Age at which a report expires: requests last about a second.
    static constexpr duration lifetime{1'500'000};
    /// Maximum reports per packet: half of the packet; the other half is for members.
    static constexpr std::size_t max_reports_per_packet = 40;

private:
    /// Newest report of one target.
    struct record {
        std::uint32_t in_flight = 0;
        time_point reported_at{};
        std::optional<double> slowdown;
    };

    std::unordered_map<target_key, record> reports_;
    bool has_slowdowns_ = false;
};

} // namespace endivelatch
