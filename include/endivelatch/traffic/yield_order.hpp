#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/traffic/request.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Decides which requests get room first when there is too little, and which are refused. Performs
/// no I/O and reads no clock.
namespace endivelatch {

/// Requests that are told apart when room is shared out. The members are in the order in which they
/// decide: a group that compares less gets room first, unless another one is starved.
struct yield_group {
    /// Beyond the share of the request's organisation. Such requests get the room that nobody else
    /// wants, so that the surge of one organisation costs the others nothing.
    bool is_excess = false;
    /// Priority of the route or organisation; 0 is the most urgent. The configuration states that a
    /// delay of these callers costs the most.
    std::uint32_t priority = 0;
    /// Among the largest tenth of its route. In the time of one such request, several others can be
    /// served.
    bool is_large = false;

    friend auto operator<=>(const yield_group&, const yield_group&) = default;
};

/// A request that waits for room, as far as its order depends on it.
struct waiting_request {
    exchange_number number;
    yield_group group;
    /// Latest time at which it can be sent and still be in time: the arrival plus the objective,
    /// less the time that a target needs.
    time_point latest_start{};
    /// Time by which it is ordered as if it had arrived earlier, because it was refused before: by
    /// targets, or its caller came back after a refusal. Each refusal costs the caller time, and
    /// callers repeat only a few times. A place ahead of all others would be too much: under a
    /// lasting overload most requests would be refused once, as those that come back take the room.
    duration advance{};
    /// The caller may repeat it after any failure. Others may be repeated only after an answer that
    /// states that they did not run, so a refusal leaves their callers fewer ways to go on.
    bool is_idempotent = false;
    std::size_t bytes = 0;      ///< Memory that it holds while it waits.
    std::uint64_t sequence = 0; ///< Order of arrival.
};

/// Returns whether a request gets room before another one of its group: those with the least time
/// left, then those that may run only once, then the first to arrive.
bool is_ahead(const waiting_request& a, const waiting_request& b);

/// Counts how many requests of each group arrived and were served lately, with weights that fall
/// with their age.
class service_shares {
public:
    /// Records that a request arrived, before it is known whether there is room. Those of callers
    /// that come back after a refusal are not recorded again: they are the same demand.
    void record_arrival(const yield_group& group, time_point now);

    /// Records that a request was sent to a target.
    void record_service(const yield_group& group, time_point now);

    /// Returns the most urgent priority that arrived.
    std::uint32_t most_urgent() const;

    /// Returns the given groups in the order in which they get room: starved ones, then by their
    /// own order.
    std::vector<yield_group> in_order(std::vector<yield_group> groups, time_point now) const;

    /// Returns whether the requests of the group are served so much less often than the others that
    /// they get room first: a less urgent group compared with all requests, large requests also
    /// with the others of their priority.
    bool is_starved(const yield_group& group, time_point now) const;

    /// Time in which the weight of a request falls to 1/e. Longer than the callers' usual
    /// objectives, so that a group that got no room for this time is noticed within it.
    static constexpr duration lifetime{5'000'000};
    /// Smallest share of the most urgent group's requests that is served, relative to all requests
    /// of the pool. Each less urgent priority reduces it by a step down to the minimum: a less
    /// urgent kind of request must still be of use to its callers.
    static constexpr double max_group_share = 0.4;
    static constexpr double group_share_step = 0.05;
    static constexpr double min_group_share = 0.3;
    /// Smallest share of the large requests, relative to the other ones of their priority.
    static constexpr double min_large_share = 0.7;
    /// Number of recent arrivals below which the share of a group says nothing.
    static constexpr double min_arrivals = 5;

private:
    struct record {
        double arrived = 0;
        double served = 0;
        time_point at{}; ///< Time to which the weights refer.
    };

    /// Returns the record with its weights as of the given time.
    static record aged(const record& it, time_point now);
    record& update(const yield_group& group, time_point now);

    std::map<yield_group, record> records_;
};

/// Estimates how long a place in a group takes to come up, from the times between its requests that
/// found room while others waited. This includes the room that went to other groups meanwhile.
class release_pace {
public:
    /// Records that a request found room while `others` of its group remained.
    void record_release(std::size_t others, time_point now);

    /// Returns the expected time until a request with the given number ahead of it finds room, or
    /// zero if too little is known.
    duration expected_wait(std::size_t ahead, time_point now) const;

    /// Number of releases from which the pace is known.
    static constexpr std::uint32_t min_releases = 4;
    /// Time without a release after which the pace is no longer known.
    static constexpr duration lifetime{1'000'000};
    /// Weight of the newest interval.
    static constexpr double newest_weight = 0.1;

private:
    time_point last_{};
    bool did_others_remain_ = false; ///< After the last release.
    std::uint32_t releases_ = 0;
    double interval_us_ = 0;
};

} // namespace endivelatch
