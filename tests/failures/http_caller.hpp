#pragma once

#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/http_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace endivelatch::failures {

/// A response as received by a caller.
struct test_response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool has_ended = false;   ///< The call has completed or failed.
    bool is_complete = false; ///< The response was received completely.
};

/// A request to send.
struct test_request {
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// HTTP client for tests that runs any number of calls concurrently.
class http_caller {
public:
    http_caller();

    /// Starts a call; the response is filled in while `run_until` runs.
    test_response& start(const test_request& request);

    /// Sends a request and waits for the end of the response.
    test_response send_and_wait(const test_request& request);

    /// Runs the event loop until the condition holds; returns false on a timeout.
    bool run_until(const std::function<bool()>& condition, duration limit);

private:
    event_loop loop_;
    std::unordered_map<call_id, test_response*> responses_by_call_;
    std::map<std::uint64_t, test_response> responses_; ///< Never erased; tests refer to them.
    std::uint64_t last_response_ = 0;
    http_client client_;
};

} // namespace endivelatch::failures
