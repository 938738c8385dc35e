#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/entry/request_server.hpp"

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace endivelatch::standins {

/// Simulates a replica behind the entry routers: echoes the attempt ID, signs its responses,
/// streams events and injects faults.
class replica_standin {
public:
    /// Fault that is injected into requests.
    enum class fault {
        none,
        reject,           ///< Responds that the request was not executed.
        drop_response,    ///< Runs the request and closes the connection without a response.
        truncate,         ///< Closes the connection in the middle of an event or of the body.
        unsigned_success, ///< Responds with 200 and no signature.
        server_error,     ///< Runs the request and responds with 500.
        hang,             ///< Runs the request and never responds.
    };

    replica_standin(event_loop& loop, std::string id, std::string pool);

    /// Returns the registration object for the object store.
    nlohmann::json registration(const std::string& state = "ready") const;

    /// Returns the listening address.
    endpoint address() const { return server_.listening(); }

    /// Returns the replica's object name in the store.
    const std::string& id() const { return id_; }

    /// Sets the fault for all following requests and events.
    void set_fault(fault f) { fault_ = f; }

    /// Returns the number of executions by attempt ID.
    const std::map<std::string, int>& runs() const { return runs_; }

    /// Returns the headers of the last request.
    const http_headers& last_headers() const { return last_headers_; }

    /// Returns the number of requests cancelled before the response was complete.
    int cancelled_requests() const { return cancelled_requests_; }

    /// Number of events in a stream and the time between two of them.
    static constexpr int event_count = 5;
    static constexpr duration event_interval{20'000};

private:
    void on_request(exchange_number id, const request_head& head, const std::string& body);
    void send_event(exchange_number id, int next);
    static http_headers echo_headers(const std::string* attempt);
    http_headers response_headers(const std::string& attempt) const;

    request_server server_;
    delayed_calls delays_;
    std::string id_;
    std::string pool_;
    fault fault_ = fault::none;
    std::map<std::string, int> runs_;
    std::map<exchange_number, bool> streams_;
    http_headers last_headers_;
    int cancelled_requests_ = 0;
};

} // namespace endivelatch::standins
