#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/entry/request_server.hpp"

#include <map>
#include <set>
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

    /// Sets a prompt part that crashes the replica when it begins to answer. A crash ends all
    /// connections with a request, and for `restart_time` those of new requests too.
    void set_deadly_part(std::string part) { deadly_part_ = std::move(part); }

    /// Sets the body of all plain responses; by default they repeat the request.
    void set_body(std::string body) { body_ = std::move(body); }

    /// Returns how often the replica has crashed.
    int crashes() const { return crashes_; }

    /// Sets headers that are added to all answers.
    void set_statements(http_headers headers) { statements_ = std::move(headers); }

    /// Returns the number of executions by attempt ID.
    const std::map<std::string, int>& runs() const { return runs_; }

    /// Returns the headers of the last request.
    const http_headers& last_headers() const { return last_headers_; }

    /// Returns the number of requests cancelled before the response was complete.
    int cancelled_requests() const { return cancelled_requests_; }

    /// Number of events in a stream and the time between two of them.
    static constexpr int event_count = 5;
    static constexpr duration event_interval{20'000};
    /// Time for which a crashed replica answers nothing.
    static constexpr duration restart_time{2'000'000};

private:
    void on_request(exchange_number id, const request_head& head, const std::string& body);
    void send_event(exchange_number id, int next);
    void crash();
    static http_headers echo_headers(const std::string* attempt);
    http_headers response_headers(const std::string& attempt) const;

    request_server server_;
    delayed_calls delays_;
    std::string id_;
    std::string pool_;
    fault fault_ = fault::none;
    std::string deadly_part_;
    std::string body_;
    int crashes_ = 0;
    bool is_down_ = false;
    http_headers statements_;
    std::set<exchange_number> waiting_; ///< Requests that crash the replica soon.
    std::map<std::string, int> runs_;
    std::map<exchange_number, bool> streams_;
    http_headers last_headers_;
    int cancelled_requests_ = 0;
};

} // namespace endivelatch::standins
