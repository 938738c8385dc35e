#pragma once

#include "endivelatch/base/log_event.hpp"
#include "endivelatch/traffic/configuration.hpp"
#include "endivelatch/traffic/request.hpp"
#include "endivelatch/traffic/target_state.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What happens to the traffic router, and what it asks of its surroundings.
namespace endivelatch {

/// How far an attempt had come when it broke off.
enum class attempt_stage {
    not_sent,  ///< No byte of the request can have reached the target.
    sent,      ///< The request may have reached the target.
    answering, ///< The answer had begun.
};

/// Returns the stage as written in logs, such as `not_sent`.
std::string_view to_string(attempt_stage stage);

/// Names one attempt at a target.
struct exchange_attempt {
    exchange_number exchange;
    attempt number;

    friend auto operator<=>(const exchange_attempt&, const exchange_attempt&) = default;
};

/// A whole request has arrived.
struct request_arrived {
    exchange_number exchange;
    caller_request request;
};

/// The caller closed its connection.
struct caller_disconnected {
    exchange_number exchange;
};

/// An attempt ended without a whole answer.
struct attempt_broken {
    exchange_attempt key;
    attempt_stage stage = attempt_stage::not_sent;
    std::string reason;
};

/// The head of an answer has arrived.
struct answer_begun {
    exchange_attempt key;
    target_answer answer;
};

/// Bytes of an answer's body have arrived.
struct answer_bytes {
    exchange_attempt key;
    std::string bytes;
};

/// An answer has arrived whole.
struct answer_finished {
    exchange_attempt key;
};

/// A new version of the configuration is in force.
struct configuration_changed {
    std::shared_ptr<const traffic_configuration> configuration;
};

/// The registered targets have changed.
struct targets_changed {
    std::vector<registered_target> targets;
    std::uint64_t revision = 0; ///< Of the platform's list, for logs.
};

/// The number of live routers has changed.
struct fleet_changed {
    std::uint32_t routers = 1; ///< This router included.
};

/// What a target said about its load, heard from another router.
struct received_load {
    target_key target;
    std::uint32_t in_flight = 0; ///< From all routers.
    time_point reported_at{};
};

/// Other routers passed on loads of targets.
struct loads_received {
    std::vector<received_load> loads;
};

/// The process has been told to stop.
struct stop_announced {
    time_point exits_at{}; ///< Latest time at which the process ends.
};

/// The time of `next_timer` has come.
struct timer_due {};

using traffic_event =
    std::variant<request_arrived, caller_disconnected, attempt_broken, answer_begun, answer_bytes,
                 answer_finished, configuration_changed, targets_changed, fleet_changed,
                 loads_received, stop_announced, timer_due>;

/// Send the request to a target.
struct start_attempt {
    exchange_attempt key;
    std::shared_ptr<const caller_request> request;
    attempt_parameters parameters;
    endpoint address;
    bool is_idempotent = false;
    std::uint32_t max_connections = 0; ///< Of the target, from all routers together.
};

/// Break an attempt off and close its connection, so that the target stops its work.
struct cancel_attempt {
    exchange_attempt key;
};

/// Drop the answer being received: it belongs to another request; the right one may follow.
struct skip_answer {
    exchange_attempt key;
};

/// Send the head of the answer to the caller.
struct begin_answer {
    exchange_number exchange;
    int status = 0;
    http_headers headers;
    std::optional<std::uint64_t> length; ///< Bytes of the body, when known.
};

/// Send bytes of the body to the caller.
struct send_bytes {
    exchange_number exchange;
    std::string bytes;
};

/// The answer to the caller is whole.
struct end_answer {
    exchange_number exchange;
};

/// Close the caller's connection, so that the answer is seen to be incomplete.
struct abort_answer {
    exchange_number exchange;
};

/// Answer with an error of the router's own.
struct refuse_request {
    exchange_number exchange;
    int status = 0;
    std::optional<duration> retry_after; ///< When to come back, for requests that did not run.
    std::string reason;
};

/// Tell other routers what a target said about its load just now.
struct share_load {
    target_key target;
    std::uint32_t in_flight = 0; ///< From all routers.
};

/// Write a line to the log.
struct write_log {
    log_event event;
};

using traffic_effect =
    std::variant<start_attempt, cancel_attempt, skip_answer, begin_answer, send_bytes, end_answer,
                 abort_answer, refuse_request, share_load, write_log>;
using traffic_effects = std::vector<traffic_effect>;

} // namespace endivelatch
