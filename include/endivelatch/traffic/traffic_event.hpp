#pragma once

#include "endivelatch/base/log_event.hpp"
#include "endivelatch/membership/crash_report.hpp"
#include "endivelatch/membership/usage_report.hpp"
#include "endivelatch/traffic/configuration.hpp"
#include "endivelatch/traffic/request.hpp"
#include "endivelatch/traffic/target_state.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Events that the traffic router handles, and effects that it returns to its caller.
namespace endivelatch {

/// Progress of an attempt when it failed.
enum class attempt_stage {
    not_sent,  ///< No byte of the request has reached the target.
    sent,      ///< The request may have reached the target.
    answering, ///< The head of the answer was received.
};

/// Returns the name used in logs, such as `not_sent`.
std::string_view to_string(attempt_stage stage);

/// Identifies one attempt at a target.
struct exchange_attempt {
    exchange_number exchange;
    attempt number;

    friend auto operator<=>(const exchange_attempt&, const exchange_attempt&) = default;
};

/// A complete request was received.
struct request_arrived {
    exchange_number exchange;
    caller_request request;
};

/// The caller closed its connection.
struct caller_disconnected {
    exchange_number exchange;
};

/// An attempt failed before its answer was complete.
struct attempt_broken {
    exchange_attempt key;
    attempt_stage stage = attempt_stage::not_sent;
    std::string reason;
    bool is_closed_by_target = false; ///< The target closed or reset the connection.
};

/// The head of an answer was received.
struct answer_begun {
    exchange_attempt key;
    target_answer answer;
};

/// Bytes of an answer's body were received.
struct answer_bytes {
    exchange_attempt key;
    std::string bytes;
};

/// An answer was received completely.
struct answer_finished {
    exchange_attempt key;
};

/// A new version of the configuration takes effect.
struct configuration_changed {
    std::shared_ptr<const traffic_configuration> configuration;
};

/// The registered targets have changed.
struct targets_changed {
    std::vector<registered_target> targets;
    std::uint64_t revision = 0; ///< Revision of the platform's target list, for logs.
    /// When the platform lost changes, if that was a short time ago: some registrations may be
    /// former states that had been replaced or removed.
    std::optional<time_point> restored_at = std::nullopt;
};

/// The evacuated failure domains were read, or have changed.
struct evacuations_changed {
    std::set<domain_id> domains;
    std::uint64_t revision = 0; ///< Revision of the platform's list of evacuations, for logs.
};

/// The live routers have changed.
struct fleet_changed {
    std::uint32_t routers = 1; ///< Including this router.
    router_fleet fleet;
};

/// Routers were found that are registered in the store, whether live or not.
struct routers_found {
    router_fleet registered;
};

/// Load report of a target, passed on by another router.
struct received_load {
    target_key target;
    std::uint32_t in_flight = 0; ///< Over all routers.
    time_point reported_at{};
    std::optional<double> slowdown = std::nullopt; ///< As in `target_load`.
};

/// Load reports were received from other routers.
struct loads_received {
    std::vector<received_load> loads;
};

/// Failure of a target that another router saw.
struct received_failure {
    target_key target;
    router_key reporter;
    time_point failed_at{};
};

/// Failure reports were received from other routers.
struct failures_received {
    std::vector<received_failure> failures;
};

/// Rate limit that a target stated to another router, or that it lifted.
struct received_limit {
    target_key target;
    std::optional<request_rate> limit;
    time_point stated_at{};
};

/// Rate limits of targets were received from other routers.
struct limits_received {
    std::vector<received_limit> limits;
};

/// Reports of crashes were received from another router.
struct crash_news_received {
    crash_news news;
};

/// Another router reported the use of a pool by organisations.
struct usage_received {
    usage_report usage;
};

/// The process was asked to stop.
struct stop_announced {
    time_point exits_at{}; ///< Latest exit time of the process.
};

/// The process exits as soon as what was sent to callers is written. Every open request gets its
/// final answer.
struct exit_announced {};

/// The time returned by `next_timer` was reached.
struct timer_due {};

using traffic_event =
    std::variant<request_arrived, caller_disconnected, attempt_broken, answer_begun, answer_bytes,
                 answer_finished, configuration_changed, targets_changed, evacuations_changed,
                 fleet_changed, routers_found, loads_received, failures_received, limits_received,
                 crash_news_received, usage_received, stop_announced, exit_announced, timer_due>;

/// Returns the name of the event, such as `answer_begun`. The string is never destroyed.
const char* name_of(const traffic_event& event);

/// Sends the request to a target.
struct start_attempt {
    exchange_attempt key;
    std::shared_ptr<const caller_request> request;
    attempt_parameters parameters;
    endpoint address;
    bool is_idempotent = false;
    std::uint32_t max_connections = 0; ///< Limit of the target, over all routers.
};

/// Cancels an attempt and closes its connection, so that the target aborts the request.
struct cancel_attempt {
    exchange_attempt key;
};

/// Discards the current answer, which belongs to another request. The expected one may follow on
/// the same connection.
struct skip_answer {
    exchange_attempt key;
};

/// Sends status and headers to the caller.
struct begin_answer {
    exchange_number exchange;
    int status = 0;
    http_headers headers;
    std::optional<std::uint64_t> length; ///< Size of the body in bytes, if known.
};

/// Sends bytes of the body to the caller.
struct send_bytes {
    exchange_number exchange;
    std::string bytes;
};

/// Completes the answer to the caller.
struct end_answer {
    exchange_number exchange;
};

/// Closes the caller's connection, so that the caller detects the incomplete answer.
struct abort_answer {
    exchange_number exchange;
};

/// Answers the caller with an error generated by the router.
struct refuse_request {
    exchange_number exchange;
    int status = 0;
    std::optional<duration> retry_after; ///< Only for requests that did not run.
    std::string reason;
};

/// Shares a target's current load report with other routers.
struct share_load {
    target_key target;
    std::uint32_t in_flight = 0;                   ///< Over all routers.
    std::optional<double> slowdown = std::nullopt; ///< As in `target_load`.
};

/// Shares a failure of a target with other routers.
struct share_failure {
    target_key target;
};

/// Shares the rate limit that a target has just stated with other routers.
struct share_limit {
    target_key target;
    std::optional<request_rate> limit; ///< Nothing if it was lifted.
};

/// Writes a line to the log.
struct write_log {
    log_event event;
};

using traffic_effect =
    std::variant<start_attempt, cancel_attempt, skip_answer, begin_answer, send_bytes, end_answer,
                 abort_answer, refuse_request, share_load, share_failure, share_limit, write_log>;
using traffic_effects = std::vector<traffic_effect>;

} // namespace endivelatch
