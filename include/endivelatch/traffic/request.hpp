#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/http_header.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Requests of callers and answers of targets, as handled by an entry router.
namespace endivelatch {

/// Number of a request within one router process.
using exchange_number = number_id<struct traffic_exchange_tag>;
/// Identifier of one attempt of a request, assigned by the caller.
using caller_attempt_id = string_id<struct caller_attempt_id_tag>;

/// Determines whether a request may be retried.
enum class request_kind {
    safe,      ///< May be executed more than once.
    unsafe,    ///< Executed at most once.
    streaming, ///< Answered by an event stream; executed at most once unless the route is
               ///< resumable.
};

/// Returns the name used in logs, such as `safe`.
std::string_view to_string(request_kind kind);

/// A segment of a prompt. Requests with the same leading parts can share KV cache entries.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Describes the prompt of a model request.
struct prompt_info {
    std::uint32_t tokens = 0;       ///< Length of the prompt.
    std::uint32_t output_limit = 0; ///< Upper bound on the tokens to generate.
    /// Parts in order. The last one is specific to this request or its chat.
    std::vector<prompt_part> parts;
};

/// Returns the parts that may be shared with other requests: all but the last.
inline std::span<const prompt_part> shared_parts(const prompt_info& prompt)
{
    const std::span<const prompt_part> all{prompt.parts};
    return all.empty() ? all : all.first(all.size() - 1);
}

/// One attempt of a caller's request.
struct caller_request {
    caller_attempt_id id;
    std::string method;
    std::string target;   ///< Path and query, unchanged.
    std::string host;     ///< Without port, in lowercase.
    http_headers headers; ///< Forwarded headers: no hop-by-hop headers, none that the router sets.
    std::string body;
    bool has_body = false;           ///< A body was announced; it may be empty.
    std::optional<duration> timeout; ///< Set by the caller; starts when the request arrives.
    std::optional<std::string> api_key;
    std::optional<prompt_info> prompt;
    std::optional<std::uint64_t> last_event_id; ///< Resume the stream after this event.

    /// Returns the path of the target without the query.
    std::string_view path() const { return std::string_view{target}.substr(0, target.find('?')); }
};

/// Load as reported by a target.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes at the target now, relative to the usual time; 1 is as usual.
    std::optional<double> slowdown;
};

/// Status and headers of a target's answer.
struct target_answer {
    int status = 0;
    http_headers headers;               ///< Headers to forward to the caller.
    caller_attempt_id answered_attempt; ///< Empty if the target did not send it.
    bool is_signed = false;      ///< Carries a signature that proves it comes from the target.
    bool states_not_run = false; ///< The target reports that it did not run the request.
    std::optional<target_load> load;
    bool states_leaving = false;   ///< The target is about to stop and wants no new requests.
    std::optional<duration> pause; ///< The target wants no request of this router for so long.
    bool states_limit = false;     ///< States a rate limit, which may be unreadable.
    std::optional<request_rate> request_limit; ///< Requests that the target takes from all routers.
    std::optional<duration> cold_left;         ///< Time for which the target is cold still.
    std::optional<std::uint64_t> length;       ///< Size of the body in bytes, if known in advance.
    bool ends_with_connection = false;         ///< The body ends when the target closes.

    /// Returns whether the status is 2xx.
    bool is_success() const { return status >= 200 && status < 300; }
};

/// Parameters that the router adds to a request for one attempt at a target.
struct attempt_parameters {
    target_id expected_target;
    organisation_id organisation;              ///< Empty on routes that need no key.
    duration time_left{};                      ///< After this time the target aborts the request.
    std::optional<std::uint32_t> priority;     ///< 0 is the most urgent. Model requests only.
    std::optional<std::uint64_t> resume_after; ///< Last event that the caller received.
    /// Target that probably caches prompt parts that the chosen target does not.
    std::optional<endpoint> fetch_from;
};

} // namespace endivelatch
