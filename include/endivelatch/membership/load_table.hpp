#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// Loads of targets that routers pass on to each other.
namespace endivelatch {

/// Names a target in a load report: a hash of its id, which is shorter than the id. Two targets
/// with the same key get each other's reports, which spoils only their estimates.
using target_key = number_id<struct target_key_tag, std::uint32_t>;

/// Returns the key of a target.
target_key key_of(const target_id& id);

/// What a target said about its load, as one router tells another.
struct load_report {
    target_key target;
    std::uint32_t in_flight = 0; ///< Requests that run or wait there, from all routers.
    duration age{};              ///< Time since the target said so.

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// The newest load that this router heard of each target, from the target or from other routers.
///
/// Answers bring loads to the router that sent the request. Among many routers each gets few
/// answers of a target, so the packets of the membership carry the newest reports.
class load_table {
public:
    /// Takes a report; returns whether it is newer than the one known.
    bool update(target_key target, std::uint32_t in_flight, time_point reported_at);

    /// Returns up to `most` of the newest reports, and forgets those that are too old.
    std::vector<load_report> newest(std::size_t most, time_point now);

    /// Returns the number of targets with a report.
    std::size_t size() const { return reports_.size(); }

    /// Age at which a report is passed on no more: requests last about a second.
    static constexpr duration lifetime{1'500'000};
    /// Reports in one packet: half of it, with the other half for members.
    static constexpr std::size_t max_reports_per_packet = 40;

private:
    /// The newest report about one target.
    struct record {
        std::uint32_t in_flight = 0;
        time_point reported_at{};
    };

    std::unordered_map<target_key, record> reports_;
};

} // namespace endivelatch
