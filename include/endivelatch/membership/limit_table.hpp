#pragma once

#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/load_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Rate limits of targets that routers share with each other.
namespace endivelatch {

/// Rate limit of a target, as shared between routers.
struct limit_report {
    target_key target;
    std::optional<request_rate> limit; ///< Over all routers. Nothing if it was lifted.
    duration age{};                    ///< Time since the target stated it.

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

/// Holds the newest rate limit of each target, stated to this router or to others.
///
/// A target states its limit in answers. Only a few routers send to a limited target, so the others
/// learn from them when the limit changes or is lifted.
class limit_table {
public:
    /// Stores what a target stated to this router.
    void record(target_key target, std::optional<request_rate> limit, time_point now);

    /// Stores a report of another router if it is newer than the known one by at least
    /// `min_interval`; returns whether it was stored.
    bool update(target_key target, std::optional<request_rate> limit, time_point stated_at);

    /// Returns up to `max_count` reports that are due to be shared: first those shared least often
    /// since the limit has changed, then those shared longest ago. Removes expired ones.
    std::vector<limit_report> next_reports(std::size_t max_count, time_point now);

    /// Returns the number of targets that have a report.
    std::size_t size() const { return records_.size(); }

    /// Age at which a limit expires that no answer has confirmed.
    static constexpr duration lifetime{60'000'000};
    /// Age at which the report of a lifted limit expires.
    static constexpr duration lifted_lifetime{10'000'000};
    /// Copies of one report differ by their transit times, which are not part of the age.
    static constexpr duration min_interval{100'000};
    /// Packets in which a report is shared after the limit has changed, without delay. As with
    /// other rumours, a few more than the logarithm of the number of routers.
    static constexpr std::uint32_t min_shares = 8;
    /// Interval at which a report is shared later.
    static constexpr duration share_interval{1'000'000};
    /// Maximum reports per packet: less than half of the packet. 16 left a tenth of 295 routers
    /// unaware of the end of 120 limits 2.6 s later.
    static constexpr std::size_t max_reports_per_packet = 40;

private:
    struct record_entry {
        std::optional<request_rate> limit;
        time_point stated_at{};
        time_point shared_at{};
        std::uint32_t shares = 0; ///< Since the limit has changed, up to `min_shares`.
    };

    void store(target_key target, std::optional<request_rate> limit, time_point stated_at);

    std::unordered_map<target_key, record_entry> records_;
};

} // namespace endivelatch
