#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/http_header.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Requests of callers and answers of targets, as the entry router sees them.
namespace endivelatch {

/// Number of a request within one router process.
using exchange_number = number_id<struct traffic_exchange_tag>;
/// Identifier that the caller gave to one try of its request.
using caller_attempt_id = string_id<struct caller_attempt_id_tag>;

/// What may be repeated.
enum class request_kind {
    safe,      ///< May run more than once.
    unsafe,    ///< Runs at most once.
    streaming, ///< Answered by events; runs at most once unless its route allows resumption.
};

/// Returns the kind as written in logs, such as `safe`.
std::string_view to_string(request_kind kind);

/// One part of a prompt; requests that share parts share cached work.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What is known about the prompt of a model request.
struct prompt_info {
    std::uint32_t tokens = 0;       ///< Length of the prompt.
    std::uint32_t output_limit = 0; ///< Most tokens that are generated.
    /// Parts in order; the last belongs to this request or its chat alone.
    std::vector<prompt_part> parts;
};

/// One try of a caller's request.
struct caller_request {
    caller_attempt_id id;
    std::string method;
    std::string target;   ///< Path and query, unchanged.
    std::string host;     ///< Without port, in lowercase.
    http_headers headers; ///< Those passed on: neither per connection nor set by the router.
    std::string body;
    bool has_body = false;           ///< A body was announced, perhaps an empty one.
    std::optional<duration> timeout; ///< How long the caller waits, from its arrival.
    std::optional<std::string> api_key;
    std::optional<prompt_info> prompt;
    std::optional<std::uint64_t> last_event_id; ///< The stream goes on after this event.

    /// Returns the path without the query.
    std::string_view path() const { return std::string_view{target}.substr(0, target.find('?')); }
};

/// Load that a target reports about itself.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// The head of a target's answer.
struct target_answer {
    int status = 0;
    http_headers headers;               ///< Those passed on to the caller.
    caller_attempt_id answered_attempt; ///< The try that this answers; empty when it does not say.
    bool is_signed = false;             ///< Carries the target's proof that the answer is its own.
    bool states_not_run = false;        ///< The target states that it did not run the request.
    std::optional<target_load> load;
    std::optional<std::uint64_t> length; ///< Bytes of the body, when known beforehand.

    /// Returns whether the target reports success.
    bool is_success() const { return status >= 200 && status < 300; }
};

/// What the router adds to a request for one attempt at a target.
struct attempt_parameters {
    target_id expected_target;
    organisation_id organisation;              ///< Empty on routes without keys.
    duration time_left{};                      ///< The target stops work after it.
    std::optional<std::uint32_t> priority;     ///< 0 is the most urgent; only for model requests.
    std::optional<std::uint64_t> resume_after; ///< Last event that the caller has.
    /// Target that probably has cached parts of the prompt that this one lacks.
    std::optional<endpoint> fetch_from;
};

} // namespace endivelatch
