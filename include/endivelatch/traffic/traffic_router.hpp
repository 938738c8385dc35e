#pragma once

#include "endivelatch/admission/retry_budget.hpp"
#include "endivelatch/base/counters.hpp"
#include "endivelatch/traffic/crash_evidence.hpp"
#include "endivelatch/traffic/event_counter.hpp"
#include "endivelatch/traffic/event_splitter.hpp"
#include "endivelatch/traffic/organisation_usage.hpp"
#include "endivelatch/traffic/target_choice.hpp"
#include "endivelatch/traffic/traffic_event.hpp"
#include "endivelatch/traffic/waiting_queue.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace endivelatch {

/// Settings of the traffic router.
struct traffic_settings {
    domain_id domain;         ///< Failure domain of this router.
    double retry_share = 0.2; ///< Fleet-wide retries per request.
    double retry_burst = 10;  ///< Fleet-wide retries that need no preceding requests.
    double load_bound = 2;    ///< Maximum load of a target, relative to the mean of its pool.
    /// A cold target gets in any second at most its pool's rate times the overage plus the slack.
    double cold_overage = 1;
    double cold_slack = 0;
    bool reads_evacuations = false; ///< `evacuations_changed` follows, also if there are none.
    /// Bytes of plain answers that may be buffered until complete, over all requests; zero for no
    /// bound.
    std::size_t buffered_answers = 0;
    bool waits_for_room = false; ///< Requests wait while no target has room for them.
};

/// Routes the requests of an entry router: checks route and API key, selects targets, retries, and
/// forwards answers. Implemented as a reducer that maps events to effects and performs no I/O.
class traffic_router {
public:
    explicit traffic_router(const traffic_settings& settings);

    /// Handles an event and returns the effects to execute, in order.
    traffic_effects handle(traffic_event&& event, time_point now);

    /// Returns when the next `timer_due` event is needed, if any.
    std::optional<time_point> next_timer() const;

    /// Replaces the settings.
    void set_settings(const traffic_settings& settings);

    /// Returns the number of requests in progress.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the number of requests that wait for room at a target.
    std::size_t waiting() const;

    /// Returns the current configuration, or null.
    const traffic_configuration* configuration() const { return configuration_.get(); }

    /// Returns whether what serving requires has been loaded: configuration, targets and, if
    /// they are read, evacuations. The latter are waited for up to `max_evacuations_wait`.
    bool is_ready() const { return has_routes_and_targets() && !awaits_evacuations(); }

    /// Returns the evidence of prompt parts that crash targets.
    crash_evidence& crashes() { return crashes_; }

    /// Returns what to tell another router of the use of pools by organisations, of one pool after
    /// the other.
    usage_report next_usage_report(time_point now);

    /// Returns the metrics of this router.
    counters& metrics() { return metrics_; }

    /// Sets the gauges of the work estimates of all pools and of cold targets.
    void update_work_gauges();

    /// Interval between reports of the use of pools. Each is sent to two routers.
    static constexpr duration usage_report_interval{150'000};
    /// Maximum attempts per request, including those that targets reported as not run.
    static constexpr std::uint32_t max_sends = 4;
    /// Fraction of the retry budget that is used. Routers count in slots of one second, so a window
    /// may contain one slot more than is counted.
    static constexpr double retry_budget_use = 0.8;
    /// Minimum remaining time for another attempt.
    static constexpr duration min_attempt_time{20'000};
    /// A safe request without an answer is retried at another target after this many latency
    /// objectives.
    static constexpr int hung_after_objectives = 3;
    /// An attempt that ends without an answer counts as a failure of its target after this many
    /// latency objectives.
    static constexpr int silent_after_objectives = 6;
    /// Maximum size in bytes of a plain answer's body that is buffered until complete.
    static constexpr std::size_t max_buffered_bytes = 262'144;
    /// Maximum size in bytes of one event of a resumable stream, which is buffered until complete.
    static constexpr std::size_t max_event_bytes = 262'144;
    /// Maximum number of bytes in succession that a stream may send without any field of an event.
    /// Keep-alive comments between two events take a small part of it.
    static constexpr std::size_t max_idle_stream_bytes = 262'144;
    /// Maximum wait of a request that arrives before configuration and targets are loaded. Loading
    /// takes a few ms while the store is available, less than a retry by the caller.
    static constexpr duration early_request_wait{150'000};
    /// Maximum number of requests that wait for configuration and targets.
    static constexpr std::size_t max_early_requests = 1'000;
    /// Maximum time from loading configuration and targets until requests are accepted without
    /// knowing the evacuations. Other routers tell them within a few ms if the store does not.
    static constexpr duration max_evacuations_wait{2'000'000};
    /// Bounds of the Retry-After while all targets of a pool are evacuated. It differs between
    /// requests, so that callers do not return all at once.
    static constexpr duration min_evacuated_retry_after{1'000'000};
    static constexpr duration max_evacuated_retry_after{3'000'000};
    /// Retry-After while configuration or targets are not loaded.
    static constexpr duration unknown_retry_after{500'000};
    /// Retry-After when no target accepts the request. Longer than `target_state::full_duration`,
    /// so that refusing targets are eligible again.
    static constexpr duration full_retry_after{300'000};
    /// Bounds of the Retry-After for `all_late`, which is twice the expected wait: the queues drain
    /// in that time, since other requests are refused as well.
    static constexpr duration min_late_retry_after{500'000};
    static constexpr duration max_late_retry_after{2'000'000};
    /// Maximum Retry-After for a quarantined part. A whole answer may end the quarantine at any
    /// time.
    static constexpr duration max_quarantine_retry_after{30'000'000};
    /// Time for which a stopping router still accepts all requests, but at most `accepting_share`
    /// of its time. Within it, callers learn that the router was removed from the entry list.
    static constexpr duration stop_grace_period{2'500'000};
    static constexpr double accepting_share = 0.5;
    /// Retry-After of a stopping router; short, because other routers can serve immediately.
    static constexpr duration stop_retry_after{20'000};
    /// Interval at which the room for waiting requests is checked besides the ends of this router's
    /// own attempts: load reports and the ends of obstacles may show room at any time.
    static constexpr duration waiting_check_interval{10'000};
    /// The interval doubles up to this one while no waiting request finds room.
    static constexpr duration max_waiting_check_interval{40'000};
    /// Memory of a waiting request besides its body, in bytes.
    static constexpr std::size_t waiting_overhead = 4'096;
    /// Share of what a plain target may hold that a request leaves to more urgent ones, for each
    /// step of its priority, and the number of steps that count. Routers keep the order of
    /// priorities among each other in this way, as most have at most one waiting request.
    static constexpr double reserved_share_step = 0.1;
    static constexpr std::uint32_t max_reserved_steps = 3;
    /// A request that was refused before is ordered as if it had arrived earlier by this share of
    /// its objective. With a much larger share, nearly all room goes to callers that were refused
    /// once while an overload lasts, and hardly anybody is served at the first try.
    static constexpr double return_advance_share = 0.02;
    /// Requests of a route from which the time that its callers usually state is known.
    static constexpr std::uint64_t min_profile_samples = 20;
    /// Share of the time that a caller has left within which it returns after a refusal.
    static constexpr double return_share = 1.0 / 3;

private:
    /// An attempt in progress.
    struct running_attempt {
        attempt number;
        target_id target;
        incarnation target_start;
        sent_request sent;
        bool is_answering = false;         ///< The head of the answer was received.
        bool has_first_byte = false;       ///< The first bytes of the body were received.
        bool is_resumed = false;           ///< Its answer goes on after an event of an earlier one.
        bool ends_with_connection = false; ///< The end of its answer may be a crash of the target.
        event_counter events;              ///< Of a stream.
        std::uint64_t new_events = 0;      ///< Of a resumable stream, those that the caller got.
        std::optional<std::uint64_t> last_event; ///< Also if the caller already had it.
    };

    /// State of a request and its answer.
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
        std::uint32_t sends = 0;        ///< Attempts that may have reached a target.
        std::uint32_t may_have_run = 0; ///< Targets that may have run the request.
        attempt last_attempt;
        std::optional<running_attempt> running;
        std::optional<target_answer> answer; ///< Status and headers for the caller.
        std::string buffered_body;           ///< Body not yet sent to the caller.
        bool has_begun = false;              ///< Status and headers were sent to the caller.
        yield_group group;
        bool is_counted = false;               ///< In the shares of the pool's groups.
        bool has_returned = false;             ///< Its caller was probably refused before.
        bool tries_part_out = false;           ///< Sent in spite of a quarantined part.
        std::optional<time_point> waits_since; ///< It waits for room at a target.
        event_splitter events;
        std::optional<std::uint64_t> last_event; ///< Last event sent to the caller.
        /// An attempt broke off within an event after the last one sent, so the stream has more.
        bool owes_event = false;
        /// The last event sent has no id, so that the stream cannot be resumed exactly there.
        bool ends_without_id = false;
        std::optional<duration> first_byte_after;
        std::uint64_t bytes_sent = 0;
    };

    /// What callers of a route usually ask for.
    struct route_profile {
        std::optional<quantile_estimate> timeout_ms; ///< Median that callers state.
        std::optional<quantile_estimate> tokens;     ///< Exceeded by the largest tenth.
    };

    /// A request that arrived before configuration and targets were loaded.
    struct early_request {
        exchange_number exchange;
        caller_request request;
        time_point refuse_at{};
    };

    using exchange_map = std::unordered_map<exchange_number, exchange>;

    // Event handlers, in traffic_router.cpp.
    void on(request_arrived& e);
    void on(caller_disconnected& e);
    void on(attempt_broken& e);
    void on(answer_begun& e);
    void on(answer_bytes& e);
    void on(answer_finished& e);
    void on(configuration_changed& e);
    void on(targets_changed& e);
    void on(const evacuations_changed& e);
    void on(fleet_changed& e);
    void on(const routers_found& e);
    void on(const loads_received& e);
    void on(const failures_received& e);
    void on(const limits_received& e);
    void on(const crash_news_received& e);
    void on(const usage_received& e);
    void on(stop_announced& e);
    void on(const exit_announced& e);
    void on(timer_due& e);

    // Arrivals, in traffic_arrivals.cpp.
    void accept(exchange_number number, caller_request&& request);
    void queue_early_request(exchange_number number, caller_request&& request);
    void accept_early_requests();
    void refuse_expired_early_requests();
    bool outlives_stop(const exchange& it) const;
    bool admit(exchange_number number, const caller_request& request, exchange& it);
    void refuse_arrival(exchange_number number, const caller_request& request, int status,
                        std::string_view reason,
                        std::optional<duration> retry_after = std::nullopt);

    // Evacuations, in traffic_evacuations.cpp.
    bool has_routes_and_targets() const { return configuration_ != nullptr && targets_.is_known(); }
    bool awaits_evacuations() const;
    void start_evacuations_wait();
    void end_evacuations_wait();
    void update_evacuation_gauges();
    static duration evacuated_retry_after(const exchange& it);

    // Attempts, in traffic_attempts.cpp.
    choice_query query_for(const exchange& it);
    void start_next_attempt(exchange_number number, exchange& it);
    void send_attempt(exchange_number number, exchange& it, const chosen_target& chosen);
    void end_attempt(exchange& it, attempt_outcome outcome);
    bool may_retry(const exchange& it, bool was_not_run) const;
    bool consume_retry(const exchange& it);
    void retry_or_fail(exchange_number number, exchange& it, bool was_not_run,
                       std::string_view reason);
    retry_budget& budget_of(const pool_id& pool);
    void configure_budget(retry_budget& budget) const;
    void record_service_time(const exchange& it);
    request_rate demand_per_target(const pool_id& pool);
    duration retry_after_for(no_target_reason reason, const exchange& it) const;
    duration late_retry_after(const exchange& it) const;
    duration decline_retry_after(const exchange& it) const;

    // Requests that wait for room, in traffic_waiting.cpp.
    bool waits_for_room(const pool_id& pool) const;
    void record_arrival(exchange& it);
    void record_service(const exchange& it);
    double work_ms(const exchange& it);
    void check_waiting(const pool_id& pool);
    void record_profile(exchange& it);
    bool wait_for_room(exchange_number number, exchange& it, std::string_view reason);
    bool can_room_come_in_time(const exchange& it, time_point latest) const;
    time_point latest_start(const exchange& it);
    void serve_waiting();
    bool serve_waiting(waiting_queue& queue);
    void refuse_waiting(waiting_queue& queue);
    void end_wait(exchange_number number, exchange& it, std::string_view outcome);
    double reserved_share(const exchange& it);
    duration spread_retry_after(duration shortest, const exchange& it) const;

    // Crashes of targets, in traffic_crashes.cpp.
    void record_possible_crash(const exchange& it);
    void record_whole_answer(const exchange& it);
    lost_request lost_request_of(const exchange& it) const;
    void apply_new_quarantines();
    bool refuse_quarantined(exchange_number number, exchange& it);
    bool start_trial(exchange& it);
    bool may_have_crashed_targets(const exchange& it) const;

    // Statements of targets about themselves, in traffic_statements.cpp.
    void record_load(target_state& target, std::uint32_t in_flight, std::optional<double> slowdown,
                     time_point reported_at);
    void record_statements(target_state& target, const target_answer& answer);
    void record_limit(target_state& target, const target_answer& answer);
    void apply_limit(target_state& target, std::optional<request_rate> limit, time_point stated_at,
                     std::string_view source);

    // Cold targets, in traffic_cold_starts.cpp.
    void update_cold_rules();
    void report_cold_start(const target_state& target);

    // Events of streams, in traffic_streams.cpp.
    void handle_events(exchange_number number, exchange& it, std::string_view bytes);
    void end_faulty_stream(exchange_number number, exchange& it, std::string_view reason);
    static std::string_view stream_cut_reason(const exchange& it);
    static bool has_begun_further_event(const exchange& it);
    static bool continues_stream(const exchange& it, const target_answer& answer);

    // Answers, in traffic_answers.cpp.
    void handle_refusal(exchange_number number, exchange& it, const target_answer& answer);
    void handle_failure(exchange_number number, exchange& it, target_answer&& answer);
    void handle_body_bytes(exchange_number number, exchange& it, std::string&& bytes);
    std::size_t buffer_limit() const;
    void forward_bytes(exchange_number number, exchange& it, std::string&& bytes);
    void start_answer(exchange_number number, exchange& it, std::optional<std::uint64_t> length);
    void complete_answer(exchange_number number, exchange& it);
    void fail_request(exchange_number number, exchange& it, int status, std::string_view reason,
                      duration retry_after = full_retry_after);
    void finish_exchange(exchange_number number, exchange& it, int status, std::string_view outcome,
                         std::string_view reason);

    void set_timer(exchange_number number, exchange& it, time_point at);
    exchange_map::iterator find_exchange(const exchange_attempt& key);
    target_state* target_of(const exchange& it);
    void log(log_event&& event) { effects_.emplace_back(write_log{std::move(event)}); }

    traffic_settings settings_;
    std::shared_ptr<const traffic_configuration> configuration_;
    target_table targets_;
    std::uint64_t targets_revision_ = 0;
    std::set<domain_id> evacuated_domains_;
    bool has_awaited_evacuations_ = false; ///< They are known, or the wait for them is over.
    std::optional<time_point> evacuations_due_at_; ///< End of the wait for them.
    std::uint32_t routers_ = 1;
    router_fleet fleet_;
    cold_senders cold_senders_;
    exchange_map exchanges_;
    std::deque<early_request> early_requests_; ///< In order of arrival.
    std::set<std::pair<time_point, exchange_number>> timers_;
    std::map<pool_id, retry_budget> budgets_;
    std::map<pool_id, work_estimate> work_;
    std::map<pool_id, machine_speed> speeds_; ///< Of pools whose targets report slowdowns.
    std::map<pool_id, waiting_queue> waiting_;
    time_point check_waiting_at_{};
    duration check_interval_{waiting_check_interval};
    std::unordered_map<std::string, route_profile> profiles_; ///< By route, of the configuration.
    std::map<pool_id, organisation_usage> usages_;
    pool_id last_reported_usage_;
    time_point usage_reported_at_{};
    crash_evidence crashes_;
    counters metrics_;
    std::optional<stop_announced> stop_;
    time_point stop_started_at_{};
    time_point now_{};
    traffic_effects effects_;
};

} // namespace endivelatch
