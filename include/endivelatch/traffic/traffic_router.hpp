#pragma once

#include "endivelatch/admission/retry_budget.hpp"
#include "endivelatch/base/counters.hpp"
#include "endivelatch/traffic/event_splitter.hpp"
#include "endivelatch/traffic/target_choice.hpp"
#include "endivelatch/traffic/traffic_event.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace endivelatch {

/// Bounds that the traffic router keeps.
struct traffic_settings {
    domain_id domain;         ///< Of this router.
    double retry_share = 0.2; ///< Retries of the fleet per request.
    double retry_burst = 10;  ///< Retries of the fleet without any request.
    double load_bound = 2;    ///< Highest load of a target over the mean of its pool.
};

/// Decides on every request of one entry router: route, key, target, retries and the answer.
/// A reducer: it takes events with their time and returns effects; it does no I/O.
class traffic_router {
public:
    explicit traffic_router(const traffic_settings& settings);

    /// Handles an event and returns what is to be done, in order.
    traffic_effects handle(traffic_event&& event, time_point now);

    /// Returns when `timer_due` must come next, or nothing.
    std::optional<time_point> next_timer() const;

    /// Replaces the bounds.
    void set_settings(const traffic_settings& settings) { settings_ = settings; }

    /// Returns the number of requests without a whole answer.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the configuration in force, or null.
    const traffic_configuration* configuration() const { return configuration_.get(); }

    /// Returns whether configuration and targets are known, so that requests can be served.
    bool is_ready() const { return configuration_ != nullptr && targets_.is_known(); }

    /// Returns the counters of all decisions.
    counters& metrics() { return metrics_; }

    /// Sends of one request after statements that it was not run.
    static constexpr std::uint32_t most_sends = 4;
    /// Part of the fleet's retries that this router takes for its own requests. Routers count
    /// in steps of a second, so a window may hold one step more than is counted.
    static constexpr double retry_budget_use = 0.8;
    /// Shortest time left in which another attempt is worthwhile.
    static constexpr duration shortest_attempt{20'000};
    /// An idempotent plain request goes to another target after this many latency objectives.
    static constexpr int hung_after_objectives = 3;
    /// A target that has sent nothing for this many latency objectives counts as failed.
    static constexpr int silent_after_objectives = 6;
    /// Body of a plain answer that is held back until it is whole, in bytes.
    static constexpr std::size_t most_held_bytes = 262'144;
    /// A request that comes before configuration and targets are known waits this long: a starting
    /// router reads both within some ms when the store is well, and a caller's return takes longer.
    static constexpr duration early_wait{150'000};
    /// Most requests that wait for it.
    static constexpr std::size_t most_early = 1'000;
    /// Time after which to return when the router does not know its configuration or targets yet.
    static constexpr duration unknown_retry_after{500'000};
    /// Time after which to return when no target takes the request; targets that refuse are
    /// counted as full for less.
    static constexpr duration full_retry_after{300'000};
    /// Bounds of the time after which to return when all targets are late: twice the expected wait,
    /// in which the queues drain while others are refused, too.
    static constexpr duration shortest_late_retry{500'000};
    static constexpr duration longest_late_retry{2'000'000};
    /// A stopping router takes every request for this long; callers learn within it that the
    /// router has left the entry list.
    static constexpr duration stop_accepts_all{2'500'000};
    /// Time after which to return when the router stops: another router serves at once.
    static constexpr duration stop_retry_after{20'000};

private:
    /// An attempt in progress.
    struct running_attempt {
        attempt number;
        target_id target;
        incarnation target_start;
        sent_request sent;
        bool is_answering = false;    ///< An answer to this request has begun.
        bool has_read_prompt = false; ///< The first bytes of the body have come.
    };

    /// A request and what has become of it.
    struct exchange {
        std::shared_ptr<const caller_request> request;
        traffic_route route;
        pool_id pool;
        organisation_id organisation;
        std::uint32_t priority = 0;
        std::uint32_t max_connections = 0;
        time_point arrived_at{};
        time_point expires_at{};
        time_point timer_at{};
        std::set<target_id> tried;
        std::uint32_t sends = 0;        ///< Attempts whose bytes may have left.
        std::uint32_t may_have_run = 0; ///< Targets that may have run the request.
        attempt last_attempt;
        std::optional<running_attempt> running;
        std::optional<target_answer> answer; ///< Head that the caller gets.
        std::string held;                    ///< Body that is not sent yet.
        bool has_begun = false;              ///< The head has been sent to the caller.
        event_splitter events;
        std::optional<std::uint64_t> last_event; ///< Last event sent to the caller.
        std::optional<duration> first_byte_after;
        std::uint64_t bytes_sent = 0;
    };

    /// A request that came before configuration and targets were known.
    struct early_request {
        exchange_number exchange;
        caller_request request;
        time_point refuse_at{};
    };

    using exchange_map = std::unordered_map<exchange_number, exchange>;

    // Events, in traffic_router.cpp.
    void on(request_arrived& e);
    void on(caller_disconnected& e);
    void on(attempt_broken& e);
    void on(answer_begun& e);
    void on(answer_bytes& e);
    void on(answer_finished& e);
    void on(configuration_changed& e);
    void on(targets_changed& e);
    void on(fleet_changed& e);
    void on(const loads_received& e);
    void on(stop_announced& e);
    void on(timer_due& e);

    // Arrivals, in traffic_arrivals.cpp.
    void take(exchange_number number, caller_request&& request);
    void hold_early(exchange_number number, caller_request&& request);
    void take_early();
    void refuse_early();
    bool outlives_stop(const exchange& it) const;
    bool admit(exchange_number number, const caller_request& request, exchange& it);
    void refuse_arrival(exchange_number number, const caller_request& request, int status,
                        std::string_view reason,
                        std::optional<duration> retry_after = std::nullopt);

    // Attempts, in traffic_attempts.cpp.
    void try_next(exchange_number number, exchange& it);
    void send(exchange_number number, exchange& it, const chosen_target& chosen);
    void attempt_over(exchange& it, attempt_outcome outcome);
    bool may_repeat(const exchange& it, bool was_not_run) const;
    bool take_retry(const exchange& it);
    void after_failure(exchange_number number, exchange& it, bool was_not_run,
                       std::string_view reason);
    retry_budget& budget_of(const pool_id& pool);
    void set_budget(retry_budget& budget) const;

    // Answers, in traffic_answers.cpp.
    void take_refusal(exchange_number number, exchange& it, const target_answer& answer);
    void take_failure(exchange_number number, exchange& it, target_answer&& answer);
    void take_bytes(exchange_number number, exchange& it, std::string&& bytes);
    void take_events(exchange_number number, exchange& it, std::string_view bytes);
    void deliver(exchange_number number, exchange& it, std::string&& bytes);
    void begin(exchange_number number, exchange& it, std::optional<std::uint64_t> length);
    void complete(exchange_number number, exchange& it);
    void give_up(exchange_number number, exchange& it, int status, std::string_view reason,
                 duration retry_after = full_retry_after);
    void finish(exchange_number number, exchange& it, int status, std::string_view outcome,
                std::string_view reason);

    void set_timer(exchange_number number, exchange& it, time_point at);
    exchange_map::iterator find(const exchange_attempt& key);
    target_state* target_of(const exchange& it);
    duration late_retry_after(const exchange& it) const;
    void log(log_event&& event) { effects_.emplace_back(write_log{std::move(event)}); }

    traffic_settings settings_;
    std::shared_ptr<const traffic_configuration> configuration_;
    target_table targets_;
    std::uint64_t targets_revision_ = 0;
    std::uint32_t routers_ = 1;
    exchange_map exchanges_;
    std::deque<early_request> early_; ///< In the order of arrival.
    std::set<std::pair<time_point, exchange_number>> timers_;
    std::map<pool_id, retry_budget> budgets_;
    counters metrics_;
    std::optional<stop_announced> stop_;
    time_point stop_began_{};
    time_point now_{};
    traffic_effects effects_;
};

} // namespace endivelatch
