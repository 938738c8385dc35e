#pragma once

#include "endivelatch/net/http_client.hpp"
#include "endivelatch/net/http_server.hpp"

#include <map>
#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {

/// Time limit of an awaited condition; fails tests that would hang.
constexpr duration test_timeout{20'000'000};

/// Interval between checks of an awaited condition.
constexpr duration poll_interval{5'000};

/// Runs the loop until the condition holds; fails the test after `test_timeout`.
template <class Condition>
void run_until(event_loop& loop, Condition condition)
{
    bool is_timed_out = false;
    timer timeout{loop, [&] { is_timed_out = true; }};
    timeout.start(test_timeout);
    // Posted calls run before the loop waits; the poll timer wakes it up to check their effects.
    timer poll_timer{loop, [&] { poll_timer.start(poll_interval); }};
    poll_timer.start(poll_interval);
    while (!condition() && !is_timed_out) {
        loop.run_once();
    }
    ASSERT_FALSE(is_timed_out) << "the awaited condition never became true";
}

/// Runs the loop for the given time.
inline void run_for(event_loop& loop, duration time)
{
    bool is_over = false;
    timer end{loop, [&] { is_over = true; }};
    end.start(time);
    while (!is_over) {
        loop.run_once();
    }
}

/// A response received by recording_client.
struct received_response {
    int status = 0;
    http_headers headers;
    std::string body;
    std::optional<call_end> end;

    bool is_finished() const { return end && std::holds_alternative<call_finished>(*end); }
    const call_failure& failure() const { return std::get<call_failure>(end.value()); }
};

/// An HTTP client that records all responses.
class recording_client {
public:
    explicit recording_client(event_loop& loop)
        : client{loop,
                 {[this](call_id id, int status, const http_headers& headers) {
                      responses[id].status = status;
                      responses[id].headers = headers;
                  },
                  [this](call_id id, std::string_view data) { responses[id].body += data; },
                  [this](call_id id, call_end&& end) { responses[id].end = std::move(end); }}}
    {
    }

    /// Returns whether the call has ended.
    bool is_done(call_id id) { return responses[id].end.has_value(); }

    std::map<call_id, received_response> responses;
    http_client client;
};

/// Returns settings of a server on a free loopback port.
inline http_server_settings loopback_settings()
{
    http_server_settings settings;
    settings.listen = {{"127.0.0.1", 0}};
    return settings;
}

/// Returns the URL of a path at a server.
inline std::string url_of(const http_server& server, const std::string& path)
{
    return "http://127.0.0.1:" + std::to_string(server.listening().front().port) + path;
}

/// Returns the text as a shared payload.
inline payload make_payload(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

} // namespace endivelatch
