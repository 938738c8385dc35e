#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/failure_table.hpp"
#include "endivelatch/membership/load_table.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/traffic/cold_start.hpp"
#include "endivelatch/traffic/machine_speed.hpp"
#include "endivelatch/traffic/request.hpp"
#include "endivelatch/traffic/shared_limit.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Registration of a target.
struct registered_target {
    target_id id;
    pool_id pool;
    endpoint address;
    domain_id domain;
    std::uint32_t slots = 0;
    bool is_leaving = false; ///< Drains: finishes its requests and accepts no new ones.
    incarnation started;     ///< Changes with each start of the target; the id may stay.
    /// Time for which the target stated to be cold still, zero if warm; nothing if it states none.
    std::optional<duration> cold_left;
    std::uint64_t revision = 0; ///< Changes with each new version of the registration.
    std::uint64_t sequence = 0; ///< Number of the target's report, counted from its start.

    friend bool operator==(const registered_target&, const registered_target&) = default;
};

/// Outcome of an attempt, used for passive health checking.
enum class attempt_outcome {
    answered,    ///< A complete answer with any status.
    refused,     ///< The target reported that it did not run the request.
    failed,      ///< No answer, or an incomplete or unsigned one.
    unreachable, ///< Connection failed, or another target answered at the address.
};

/// Reason why a target must not get a request now.
enum class target_obstacle {
    full,      ///< It refused a request within `target_state::full_duration`.
    limited,   ///< This router has used its share of the target's rate limit.
    leaving,   ///< It stated in an answer that it is about to stop.
    paused,    ///< It asked this router to send nothing for some time.
    cold,      ///< It started recently, and this router has used its share of what it tolerates.
    evacuated, ///< The operator has evacuated its failure domain.
};

/// A request that this router sent to a target.
struct sent_request {
    time_point at{};
    std::uint32_t priority = 0;       ///< 0 is the most urgent.
    std::uint32_t prefill_tokens = 0; ///< Prompt tokens that the target has to prefill.

    friend bool operator==(const sent_request&, const sent_request&) = default;
};

/// Tracks registration, load, health and cached prompt parts of a target.
class target_state {
public:
    target_state(registered_target registration, time_point now);

    /// Returns the current registration.
    const registered_target& registration() const { return registration_; }

    /// Updates the registration. A restart or a new address resets all other state.
    void update(const registered_target& registration, time_point now);

    /// Returns when this incarnation of the target was first seen, or its last evacuation ended.
    time_point known_since() const { return known_since_; }

    /// Returns the hash of the target's id, used for rendezvous hashing.
    std::uint64_t hash() const { return hash_; }

    /// Records that the current incarnation has just started.
    void record_start(time_point now);

    /// Records that a request was sent.
    void add_request(const sent_request& request);

    /// Records the first byte of an answer, which marks the end of the prefill. Engines of the pool
    /// prefill `prefill_tokens_per_ms` tokens per ms.
    void record_first_byte(const sent_request& request, double prefill_tokens_per_ms,
                           time_point now);

    /// Records that a request ended before the first byte of its answer.
    void record_no_answer(const sent_request& request);

    /// Records that a request has ended.
    void remove_request();

    /// Updates the number of requests that the target reported, over all routers, and its slowdown
    /// if it reported one. Reports that are not newer than the last one are ignored.
    void update_load(std::uint32_t in_flight, time_point reported_at,
                     std::optional<double> slowdown = std::nullopt);

    /// Returns the last reported slowdown, if any.
    const std::optional<slowdown_report>& slowdown() const { return slowdown_; }

    /// Returns the key of the target in load reports.
    target_key key() const { return key_; }

    /// Records the outcome of an attempt. Ejects the target if it is unreachable or fails
    /// repeatedly.
    void record_outcome(attempt_outcome outcome, time_point now);

    /// Returns whether the target is ejected because of recent failures.
    bool is_ejected(time_point now) const { return now < ejected_until_; }

    /// Records a failure that another router saw at the target. Failures from before this
    /// incarnation are ignored.
    void record_remote_failure(router_key reporter, time_point failed_at);

    /// Returns the share of requests to keep away from the target because several other routers
    /// failed to get an answer and it has not reported its load to any router since: 1 for
    /// `suspicion_time` after the last failure, then decreasing to 0 within `trial_time`, so that a
    /// few requests of the whole fleet try the target again. The failures of one router are not
    /// enough, since it may be cut off itself.
    double suspicion(time_point now) const;

    /// Sets the rate limit that the target has stated, or removes it. `demand` is the rate at which
    /// this router would send to the target without it. Statements from before this
    /// incarnation or the last statement are ignored. Returns whether the limit has changed.
    bool set_limit(std::optional<request_rate> limit, time_point stated_at, request_rate demand,
                   const router_fleet& fleet, time_point now);

    /// Updates this router's share in the target's limit after a change of the live routers.
    void update_limit_share(const router_fleet& fleet, time_point now);

    /// Returns the rate limit in force, or null.
    const shared_limit* limit() const { return limit_ ? &*limit_ : nullptr; }

    /// Records that the target stated in an answer that it is about to stop, which holds until its
    /// next start. Its registration may say so later, or never. Returns whether this is new.
    bool set_leaving();

    /// Records that the target asked this router to send nothing for the given time, of which at
    /// most `max_pause` counts.
    void pause(duration length, time_point now);

    /// Sets how many requests targets of the pool get while they are cold.
    void set_cold_rule(const std::optional<cold_rule>& rule, time_point now);

    /// Sets the routers that may send to the target while it is cold.
    void set_cold_senders(std::shared_ptr<const cold_sender_view> senders, time_point now);

    /// Records that the target may just have started, or become cold again. It counts as cold for
    /// the pool's time, unless it states otherwise.
    void expect_cold(time_point now);

    /// Records the time for which the target stated to be cold still; zero if it is warm.
    void state_cold(duration left, time_point now);

    /// Returns what is known of the target's cold start.
    const cold_start& cold() const { return cold_; }

    /// Sets whether the target's failure domain is evacuated. After the end of an evacuation the
    /// target counts as one that has just joined and may be cold.
    void set_evacuated(bool is_evacuated, time_point now);

    /// Returns whether the target's failure domain is evacuated.
    bool is_evacuated() const { return evacuated_since_.has_value(); }

    /// Returns whether other targets may fetch cached prompt parts from this one.
    bool serves_fetches(time_point now) const;

    /// Returns why the target must not get a request of this router now, if it must not.
    std::optional<target_obstacle> obstacle(time_point now) const;

    /// Returns the time until `obstacle` returns nothing, if no other obstacle arises; at most
    /// `shared_limit::max_wait`.
    duration obstacle_left(time_point now) const;

    /// Returns the number of requests of this router in flight.
    std::uint32_t own_in_flight() const { return own_in_flight_; }

    /// Returns the prompt tokens of this router's requests that are still to be prefilled.
    std::uint64_t prefill_tokens() const { return prefill_tokens_; }

    /// Returns the expected queueing time of a request with the given priority: the longest recent
    /// or current wait of requests with the same or a more urgent priority.
    duration expected_wait(std::uint32_t priority, time_point now) const;

    /// Returns the estimated number of requests of other routers in flight. The weight of the last
    /// report decreases with its age in favour of `expected`.
    double others_in_flight(double expected, time_point now) const;

    /// Returns the weight of the last load report: 1 for a new one, 0 for one that is older than
    /// `report_lifetime` or if there is none.
    double report_weight(time_point now) const;

    /// Returns the requests of other routers by the last load report.
    double reported_others() const;

    /// Returns the age of the last load report, if any.
    std::optional<duration> report_age(time_point now) const;

    /// Records the parts of a prompt that was sent to the target.
    void record_prompt(std::span<const prompt_part> parts, time_point now);

    /// Returns the number of leading prompt tokens that the target has probably cached.
    std::uint32_t cached_tokens(std::span<const prompt_part> parts, time_point now) const;

    /// Age from which a load report has no weight. Targets report with each answer, and routers
    /// pass reports on to each other for half of this time.
    static constexpr duration report_lifetime{3'000'000};
    /// Time for which a target counts as full after a refusal; its queue drains within a few
    /// service times.
    static constexpr duration full_duration{200'000};
    /// Longest pause that a target may ask for.
    static constexpr duration max_pause{60'000'000};
    /// Time for which other targets still fetch prompt parts from an evacuated target: most prompts
    /// in use have then moved to their new homes.
    static constexpr duration evacuated_fetch_time{2'000'000};
    /// Number of recent attempts considered for ejection.
    static constexpr std::size_t outcome_history_size = 8;
    /// Number of failures among them that ejects a target.
    static constexpr std::uint32_t ejection_threshold = 3;
    /// Duration of the first ejection; doubles with each further one up to the maximum.
    static constexpr duration base_ejection_time{1'000'000};
    static constexpr duration max_ejection_time{8'000'000};
    /// Age from which a measured wait is ignored.
    static constexpr duration wait_lifetime{1'000'000};
    /// Number of other routers whose failures make a target suspected.
    static constexpr std::size_t min_remote_reporters = 2;
    /// Time after the last failure within which no request tries the target again.
    static constexpr duration suspicion_time{2'000'000};
    /// Time from the first trials until all requests may go to the target again. A trial that fails
    /// is known to nearly all routers within 1.5 s.
    static constexpr duration trial_time{4'000'000};
    /// A load report outdates the failures that are older than it by this time. Times of reports
    /// from other routers are inaccurate by their transit times.
    static constexpr duration report_time_error{100'000};
    /// Age from which a failure is ignored.
    static constexpr duration failure_lifetime{5'000'000};
    /// Time after which an unused prompt part is assumed to be evicted from the cache.
    static constexpr duration part_lifetime{60'000'000};
    /// Maximum number of prompt parts tracked per target.
    static constexpr std::size_t max_parts = 4'096;

private:
    /// Outcome of a recent attempt.
    struct outcome_entry {
        time_point at{};
        bool has_failed = false;
    };

    /// Last failure that another router saw.
    struct remote_failure {
        router_key reporter;
        time_point failed_at{};
    };

    /// Measured time from sending to the first byte, without the prefill.
    struct measured_wait {
        time_point at{};
        duration wait{};
    };
    /// Number of distinct priorities; less urgent ones share the last.
    static constexpr std::size_t priority_count = 10;

    /// Removes a request from the waiting list; returns false if it was not listed.
    bool remove_waiting(const sent_request& request);

    /// Ejects the target and doubles the duration of the next ejection.
    void eject(time_point now);

    registered_target registration_;
    std::uint64_t hash_ = 0;
    target_key key_;
    time_point known_since_{};
    std::uint32_t own_in_flight_ = 0;
    std::uint64_t prefill_tokens_ = 0;
    std::vector<sent_request> waiting_; ///< Requests without a first byte, oldest first.
    std::array<measured_wait, priority_count> last_waits_{}; ///< By priority.
    std::optional<std::uint32_t> reported_; ///< Requests in flight by the last report.
    std::uint32_t own_in_flight_at_report_ = 0;
    time_point reported_at_{};
    std::optional<slowdown_report> slowdown_;
    time_point full_until_{};
    bool has_stated_leaving_ = false;
    time_point paused_until_{};
    std::optional<time_point> evacuated_since_;
    std::optional<shared_limit> limit_;
    time_point limit_stated_at_{}; ///< Time of the last statement, also of none.
    cold_start cold_;
    time_point ejected_until_{};
    duration next_ejection_time_{base_ejection_time};
    std::array<outcome_entry, outcome_history_size> outcomes_{};
    std::size_t outcome_index_ = 0;
    std::vector<remote_failure> remote_failures_; ///< One for each of the last reporters.
    /// Time of last use by part id.
    std::unordered_map<std::uint64_t, time_point> parts_last_used_;
};

} // namespace endivelatch
