#pragma once

#include "json_server.hpp"

#include <map>
#include <string>

/// Simulates a booking service without deduplication; see docs/PROTOCOL-TARGET.md.
namespace endivelatch::standins {

/// Runs every booking it receives and counts the runs per idempotency key.
class service_standin {
public:
    struct settings {
        endpoint listen;
        bool reports_runs = true; ///< Serves `GET /bookings/KEY`.
        std::uint64_t run = 1;    ///< Incarnation.
    };

    service_standin(event_loop& loop, const settings& given);

    /// Binds the address.
    findings start() { return http_.server.start(); }

private:
    /// Active faults. Each counter is the number of bookings still to be affected.
    struct faults {
        std::uint64_t delay_ms = 0;
        std::uint64_t fail = 0;   ///< Run, then responds with 500.
        std::uint64_t hang = 0;   ///< Run, no response.
        std::uint64_t cut = 0;    ///< Run, connection closed without a response.
        std::uint64_t refuse = 0; ///< Not run, responds with 503.
    };

    void handle(const http_request& request);
    void book(const http_request& request);
    void report_run(exchange_id id, const std::string& key);
    void control(const json& change);
    json record() const;

    settings settings_;
    json_server http_;
    faults faults_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t in_flight_ = 0;
    std::uint64_t max_in_flight_ = 0;
    std::uint64_t other_requests_ = 0;
};

} // namespace endivelatch::standins
