#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/load_table.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/traffic/request.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// A target as it registered itself.
struct registered_target {
    target_id id;
    pool_id pool;
    endpoint address;
    domain_id domain;
    std::uint32_t slots = 0;
    bool is_leaving = false; ///< Finishes its requests and takes no new ones.
    incarnation started;     ///< Changes with each start, also under the same id.

    friend bool operator==(const registered_target&, const registered_target&) = default;
};

/// How an attempt at a target went, for the estimate of its health.
enum class attempt_outcome {
    answered,    ///< A whole answer, of whatever status.
    refused,     ///< The target stated that it did not run the request.
    failed,      ///< No answer, or a broken one.
    unreachable, ///< No connection, or another target at the address.
};

/// A request of this router at a target.
struct sent_request {
    time_point at{};
    std::uint32_t priority = 0;      ///< 0 is the most urgent.
    std::uint32_t unread_tokens = 0; ///< Prompt tokens that the target has to read.

    friend bool operator==(const sent_request&, const sent_request&) = default;
};

/// Prompt tokens that an engine reads in a millisecond, as the deployments' sheets state.
inline constexpr double prompt_tokens_per_ms = 40;

/// What this router knows about one target.
class target_state {
public:
    target_state(registered_target facts, time_point now);

    /// Returns what the target registered.
    const registered_target& facts() const { return facts_; }

    /// Replaces what is registered; a new start forgets all that was learned.
    void update(const registered_target& facts, time_point now);

    /// Returns when this start of the target became known.
    time_point known_since() const { return known_since_; }

    /// Returns the hash that ranks the target for a prompt.
    std::uint64_t hash() const { return hash_; }

    /// Counts a request sent.
    void sent(const sent_request& request);

    /// Counts that a request sent got its first bytes: its prompt has been read.
    void answered(const sent_request& request, time_point now);

    /// Counts that a request sent ended without any bytes.
    void unanswered(const sent_request& request);

    /// Counts that a request sent has ended.
    void ended();

    /// Takes the number of requests that the target said it held, from all routers. Only newer
    /// reports count.
    void report(std::uint32_t in_flight, time_point reported_at);

    /// Returns the key of the target in load reports.
    target_key key() const { return key_; }

    /// Takes the outcome of an attempt.
    void note(attempt_outcome outcome, time_point now);

    /// Returns whether recent failures speak against sending requests.
    bool is_ejected(time_point now) const { return now < ejected_until_; }

    /// Returns whether the target refused a request a moment ago.
    bool is_full(time_point now) const { return now < full_until_; }

    /// Requests of this router in flight.
    std::uint32_t own_in_flight() const { return own_in_flight_; }

    /// Prompt tokens of this router's requests that the target has yet to read.
    std::uint64_t unread_tokens() const { return unread_tokens_; }

    /// Returns how long a request of the priority probably waits before its prompt is read: what
    /// requests at least as urgent have waited lately, or wait already.
    duration expected_wait(std::uint32_t priority, time_point now) const;

    /// Returns the requests of other routers in flight. A report counts less with its age;
    /// `expected` takes its place.
    double others_in_flight(double expected, time_point now) const;

    /// Returns the age of the last report, or nothing when there is none.
    std::optional<duration> report_age(time_point now) const;

    /// Remembers the parts of a prompt sent to the target.
    void remember(std::span<const prompt_part> parts, time_point now);

    /// Returns the leading tokens of the prompt that the target has probably cached.
    std::uint32_t cached_tokens(std::span<const prompt_part> parts, time_point now) const;

    /// Age at which a load report has lost its weight. Targets report with each answer, and other
    /// routers pass reports on for half of this time.
    static constexpr duration report_lifetime{3'000'000};
    /// Time for which a refusal counts as full; a queue drains within a few service times.
    static constexpr duration full_time{200'000};
    /// Attempts remembered for the health estimate.
    static constexpr std::size_t outcome_count = 8;
    /// Failures among them that eject a target.
    static constexpr std::uint32_t ejecting_failures = 3;
    /// First time of ejection; doubles with each further one up to the longest.
    static constexpr duration shortest_ejection{1'000'000};
    static constexpr duration longest_ejection{8'000'000};
    /// Age at which a measured wait no longer counts.
    static constexpr duration wait_lifetime{1'000'000};
    /// Age at which a failure no longer counts.
    static constexpr duration failure_lifetime{5'000'000};
    /// Time after which a part that nobody asked for is taken as evicted.
    static constexpr duration part_lifetime{60'000'000};
    /// Parts remembered for one target.
    static constexpr std::size_t most_parts = 4'096;

private:
    /// One remembered attempt.
    struct outcome_entry {
        time_point at{};
        bool has_failed = false;
    };

    /// A wait before the first bytes that was measured.
    struct measured_wait {
        time_point at{};
        duration wait{};
    };
    /// Priorities told apart; less urgent ones count as the last.
    static constexpr std::size_t priority_count = 10;

    /// Forgets that a request waits for its first bytes; returns whether it did.
    bool stop_waiting(const sent_request& request);

    /// Ejects the target from now on.
    void eject(time_point now);

    registered_target facts_;
    std::uint64_t hash_ = 0;
    target_key key_;
    time_point known_since_{};
    std::uint32_t own_in_flight_ = 0;
    std::uint64_t unread_tokens_ = 0;
    std::vector<sent_request> waiting_; ///< Without any bytes of their answers, oldest first.
    std::array<measured_wait, priority_count> waits_{}; ///< The last of each priority.
    std::optional<std::uint32_t> reported_;             ///< Requests in flight, as reported last.
    std::uint32_t own_at_report_ = 0;
    time_point reported_at_{};
    time_point full_until_{};
    time_point ejected_until_{};
    duration next_ejection_{shortest_ejection};
    std::array<outcome_entry, outcome_count> outcomes_{};
    std::size_t outcome_index_ = 0;
    std::unordered_map<std::uint64_t, time_point> parts_; ///< Parts by their last use.
};

} // namespace endivelatch
