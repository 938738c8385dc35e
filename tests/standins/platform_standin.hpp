#pragma once

#include "json_server.hpp"

#include <list>
#include <map>
#include <string>

/// Simulates the platform's object API; see docs/PROTOCOL-PLATFORM.md.
namespace endivelatch::standins {

/// Stores objects in memory. `POST /control` injects faults.
class platform_standin {
public:
    platform_standin(event_loop& loop, const endpoint& listen);

    /// Binds the address.
    findings start() { return http_.server.start(); }

    /// Returns the listening address.
    endpoint listening() const { return http_.server.listening().front(); }

    /// Sets faults and the VM list, as `POST /control` does.
    void control(const json& change);

    /// Returns the counters, as `GET /record` does.
    json record() const;

private:
    struct stored_object {
        std::uint64_t version = 0;
        std::string document;
        bool is_deleted = false;
    };

    struct pending_watch {
        exchange_id id;
        std::string prefix;
        std::uint64_t after = 0;
    };

    /// Active faults.
    struct faults {
        bool outage = false;
        bool hang = false;
        bool silent_watches = false;
        std::uint64_t latency_ms = 0;
        std::uint64_t lose_responses = 0;
        std::uint64_t read_rate = 0;  ///< Calls per second; 0 means unlimited.
        std::uint64_t write_rate = 0; ///< Calls per second; 0 means unlimited.
        std::uint64_t vms_lag_ms = 0;
    };

    /// Number of calls of one kind in the current second.
    struct rate_window {
        std::int64_t second = 0;
        std::uint64_t calls = 0;
    };

    void handle(const http_request& request);
    void handle_objects(const http_request& request);
    void read_object(exchange_id id, const std::string& name);
    void read_prefix(const http_request& request);
    void watch(exchange_id id, const std::string& prefix, std::uint64_t after,
               std::uint64_t timeout_ms);
    void write(const http_request& request, const std::string& name);
    /// Sends a JSON response after the configured latency.
    void respond(exchange_id id, int status, const json& body);
    /// Responds to a write, or drops the response if `lose_answers` is set.
    void respond_to_write(exchange_id id, const json& body);
    /// Completes the watches whose prefix matches a changed object.
    void notify(const std::string& name);
    /// Completes a pending watch with the changed objects.
    void end_watch(exchange_id id);
    /// Returns the objects under a prefix with a version greater than `after`.
    json changed_objects(const std::string& prefix, std::uint64_t after,
                         bool include_deleted) const;
    /// Counts a call and returns whether it is within the rate limit.
    bool is_within_rate_limit(std::uint64_t rate, rate_window& window);

    event_loop* loop_;
    json_server http_;
    std::map<std::string, stored_object> objects_;
    std::uint64_t store_version_ = 0;
    std::list<pending_watch> watches_;
    faults faults_;
    rate_window reads_;
    rate_window writes_;
    json vms_ = json::array();
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace endivelatch::standins
