#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/usage_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Shares the room of a pool among organisations. Performs no I/O and reads no clock.
namespace endivelatch {

/// Estimates which part of an organisation's work is beyond its fair share of a pool.
///
/// In a large fleet a router sees too few requests to tell the organisations' shares apart.
/// Therefore each router keeps an estimate of the mean over all routers: it follows the router's
/// own use, and each report of another router is mixed in. Mixing keeps the mean over the fleet,
/// while the differences between routers vanish; a report that is lost changes nothing.
class organisation_usage {
public:
    /// Records work that an organisation asks for, in ms of a target's time.
    void record_arrival(const organisation_id& organisation, double work_ms, time_point now);

    /// Records work that was sent to a target.
    void record_service(const organisation_id& organisation, double work_ms, time_point now);

    /// Returns the share of the organisation's work that is beyond its fair share: 0 if it asks for
    /// no more than that, or if all that is asked for is served. The fair shares are the largest
    /// multiples of the organisations' weights that together fill what was served; what one does
    /// not use, others get. The weight is the usual use, but at least the mean of all.
    double excess(const organisation_id& organisation, time_point now);

    /// Returns whether a request belongs to the excess of its organisation.
    bool is_excess(const organisation_id& organisation, std::uint64_t request_hash, time_point now);

    /// Returns what to tell other routers: the organisations that ask for most. Nothing within
    /// `min_report_time` of the first use, as the estimate is too low then.
    std::vector<organisation_use> report(time_point now);

    /// Mixes in what another router told.
    void merge(const std::vector<organisation_use>& other, time_point now);

    /// Time in which the weight of own work falls to 1/e.
    static constexpr duration own_time{1'000'000};
    /// Time in which the estimate of the fleet's mean follows the own use.
    static constexpr duration mean_time{1'500'000};
    /// Time in which the usual use follows the mean. It does not while there is too little room, so
    /// that a surge does not become usual.
    static constexpr duration usual_time{30'000'000};
    /// Time with enough room from which the usual use is known. Before, all weigh the same.
    static constexpr duration min_usual_time{5'000'000};
    /// There is too little room if less than this share of the work is served.
    static constexpr double served_share = 0.95;
    /// Time after which the estimate is told to other routers.
    static constexpr duration min_report_time{3'000'000};
    /// Weight of another router's report in the own mean.
    static constexpr double merge_weight = 0.5;
    /// Maximum number of organisations tracked.
    static constexpr std::size_t max_tracked = 1'024;
    /// Interval at which the fair shares are computed.
    static constexpr duration update_interval{50'000};

private:
    struct rates {
        double asked = 0;
        double served = 0;
    };

    struct record {
        rates own;
        rates mean; ///< Over the routers.
        double usual = 0;
    };

    record& record_of(organisation_key organisation, time_point now);
    void age(time_point now);
    void update_level(time_point now);
    double weight_of(const record& it) const;
    bool knows_usual() const { return usual_learnt_for_ >= min_usual_time; }

    std::map<organisation_key, record> records_;
    std::optional<time_point> started_at_;
    std::optional<time_point> aged_at_;
    std::optional<time_point> level_at_;
    std::optional<double> level_; ///< Work per weight that is fair; nothing if all is served.
    double min_weight_ = 0;
    duration usual_learnt_for_{};
};

} // namespace endivelatch
