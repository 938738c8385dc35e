#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/core/event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Typed representations of caller and operator requests, and their parser.
namespace endivelatch {

/// A chat completion, to be run on an engine.
struct chat_call {
    std::string model;
    chat_id chat;
    caller_id caller;
    std::string hint;
    std::uint32_t work_tokens = 0; ///< Estimated number of prompt and completion tokens.
    std::int32_t priority = 0;
    std::optional<duration> deadline; ///< Maximum wait before the run starts.
    bool streams = false;
};

/// A request to be forwarded to a service.
struct service_call {
    pool_id service;
    std::string method;
    std::string path; ///< Path at the service, including the leading slash.
    caller_id caller;
    booking_key key; ///< Value of the Idempotency-Key header; empty if absent.
    std::optional<duration> deadline;
};

/// A request for the addresses of routers to connect to.
struct entry_call {
    chat_id chat;
    std::string hint;
};

/// Resumes a response stream after the given event.
struct resume_call {
    request_id request;
    router_id owner;
    event_number after;
};

/// Cancels a request in progress.
struct cancel_call {
    request_id request;
    router_id owner;
};

/// A request to the administration API.
struct admin_call {
    std::string method;
    std::string path; ///< Relative to `/admin/v1/`.
};

/// Process status endpoints that need no authentication.
enum class probe_call { health, metrics };

/// Any caller or operator request.
using caller_call = std::variant<chat_call, service_call, entry_call, resume_call, cancel_call,
                                 admin_call, probe_call>;

/// A request that was rejected before routing, with its HTTP status and validation errors.
struct refused_call {
    int status = 400;
    findings errors;
};

/// Parses and validates an HTTP request.
std::variant<caller_call, refused_call> parse_call(const http_received& http);

/// Returns the key of an `Authorization: Bearer KEY` header, or an empty string if there is none.
std::string bearer_key(const header_map& headers);

/// Returns the token `REQUEST@OWNER` by which callers refer to a request and the router that runs
/// it.
std::string request_token(const request_id& request, const router_id& owner);

} // namespace endivelatch
