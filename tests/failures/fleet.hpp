#pragma once

#include "child_process.hpp"
#include "http_caller.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace endivelatch::failures {

/// Three routers and stand-ins for the platform, three engines and a booking service, as
/// processes on loopback.
class fleet {
public:
    fleet();

    /// Creates the configuration and waits until the routers serve chats and bookings.
    bool wait_until_ready();

    /// Starts a router; its name is `r1`, `r2` or `r3`.
    void start_router(int n);

    /// Builds a chat request to a router.
    test_request chat_request(int router, int tokens, const std::string& chat_id) const;

    /// Builds a booking request to a router.
    test_request booking_request(int router, const std::string& key, const std::string& body) const;

    /// Returns a new idempotency key.
    std::string new_idempotency_key();

    /// Sends a request to a router's administration API.
    test_response send_admin_request(int router, const std::string& method, const std::string& path,
                                     const nlohmann::json& document);

    /// Returns a router's status.
    nlohmann::json status(int router);

    /// Returns the number of runs of each booking, by idempotency key.
    std::map<std::string, int> booking_runs();

    /// Returns the counters of an engine stand-in.
    nlohmann::json engine_record(int n);

    /// Sets faults of the platform stand-in.
    void control_platform(const nlohmann::json& control);

    /// Sets faults of the service stand-in.
    void control_service(const nlohmann::json& control);

    /// Returns the URL of a router.
    std::string router_url(int n) const;

    /// Returns the URL of an engine.
    std::string engine_url(int n) const;

    /// Returns the headers with the API key that every caller sends.
    std::map<std::string, std::string> default_headers() const;

    http_caller http;
    std::map<int, std::unique_ptr<child_process>> routers;

private:
    void start_standin(const std::string& name, const std::vector<std::string>& args);
    void create_configuration();
    std::string address(int offset) const;

    int port_base_;
    std::string dir_;
    std::string api_key_;
    int last_key_number_ = 0;
    std::map<std::string, std::unique_ptr<child_process>> standins_;
};

} // namespace endivelatch::failures
