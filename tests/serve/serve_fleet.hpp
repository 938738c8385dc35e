#pragma once

#include "failures/child_process.hpp"
#include "standins/replica_standin.hpp"
#include "standins/store_standin.hpp"
#include "standins/tcp_proxy.hpp"

#include "endivelatch/entry/connection_pool.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivelatch::serve {

/// A response as received by a client.
struct client_response {
    int status = 0;
    http_headers headers;
    std::string body;
    bool is_complete = false;
    bool has_ended = false;
};

/// Limits that the settings and the configuration of a fleet state. Zero leaves a limit out.
struct stated_limits {
    int memory_mb = 0;
    int descriptors = 0;
    int body_bytes = 10'000;
    int header_timeout_ms = 0;
    int idle_timeout_ms = 0;
    int evacuate_ms = 0; ///< Without it, routers read no evacuations.
};

/// Entry routers as child processes, with stand-ins for the store and the replicas in this process.
class serve_fleet {
public:
    /// How routers reach the store and the replicas.
    enum class network_path {
        direct,
        through_proxies,   ///< Through proxies that can delay, stall and close connections.
        own_store_proxies, ///< Each router reaches the store through a proxy of its own.
    };

    explicit serve_fleet(int routers, network_path path = network_path::direct,
                         stated_limits limits = {});
    ~serve_fleet();
    serve_fleet(const serve_fleet&) = delete;
    serve_fleet(serve_fleet&&) = delete;
    serve_fleet& operator=(const serve_fleet&) = delete;
    serve_fleet& operator=(serve_fleet&&) = delete;

    /// Starts a router; `router` is a number from 1.
    void start(int router);

    /// Waits until all routers report that they are ready.
    void wait_until_ready();

    /// Writes the operator's configuration; all versions have the same routes.
    void write_configuration(int version, const std::vector<std::string>& keys = {"key"});

    /// Sends a request; returns the key of its entry in `responses`.
    outgoing_id send(int router, const std::string& path, const std::string& attempt,
                     const std::string& key = "key", const std::string& method = "POST");

    /// Sends a request for a stream whose prompt has the given parts, such as "a1:500,b2:500".
    outgoing_id send_prompt(int router, const std::string& attempt, const std::string& parts);

    /// Sends a POST request with a deadline in ms and further headers, each ended by a line break.
    outgoing_id send_with_deadline(int router, const std::string& path, const std::string& attempt,
                                   int deadline_ms, const std::string& headers);

    /// Sends a request and waits for the end of the response.
    client_response send_and_wait(int router, const std::string& path, const std::string& attempt,
                                  const std::string& key = "key");

    /// Waits for the end of a response.
    const client_response& wait_for_response(outgoing_id id);

    /// Cuts the router off from the store: nothing passes any more, and no connection is closed.
    void silence_store(int router);

    /// Ends the cut; the connections that it silenced are closed.
    void restore_store(int router);

    /// Returns the status of the router's readiness endpoint, or 0 without a response.
    int readiness(int router);

    /// Sends a GET request to an endpoint and waits for the end of the response.
    client_response get(const endpoint& to, const std::string& target);

    /// Return the endpoints of a router.
    endpoint frontend_endpoint(int router) const { return address(router, 0); }
    endpoint readiness_endpoint(int router) const { return address(router, 1); }
    endpoint directory_endpoint(int router) const { return address(router, 2); }
    endpoint metrics_endpoint(int router) const { return address(router, 3); }
    endpoint peer_endpoint(int router) const { return address(router, 4); }

    /// Returns the registration of a replica; `replica` is an index from 0.
    nlohmann::json registration(std::size_t replica, const std::string& state = "ready") const;

    /// Returns the contents of a router's log.
    std::string log(int router) const;

    /// Returns the path of a router's log.
    std::string log_path(int router) const;

    /// Runs a subcommand of the program; returns its output and exit code.
    std::pair<std::string, int> run_command(const std::vector<std::string>& arguments);

    /// Returns the path of a router's settings file.
    std::string settings_path(int router) const;

    /// Returns the contents of a router's settings file.
    std::string settings(int router) const;

    event_loop loop;
    standins::store_standin store{loop};
    std::vector<std::unique_ptr<standins::replica_standin>> replicas;
    std::unique_ptr<standins::tcp_proxy> store_proxy; ///< Null if the network path is direct.
    std::map<int, std::unique_ptr<standins::tcp_proxy>> store_proxies; ///< By router.
    std::vector<std::unique_ptr<standins::tcp_proxy>> replica_proxies;
    std::map<int, std::unique_ptr<failures::child_process>> routers;
    std::map<outgoing_id, client_response> responses;
    connection_pool client_connections;

private:
    outgoing_id send_with_headers(int router, const std::string& request_line,
                                  const std::string& attempt, const std::string& headers,
                                  int deadline_ms = 5'000);
    endpoint address(int router, int offset) const;
    endpoint store_address(int router) const;

    int router_count_;
    stated_limits limits_;
    int port_base_;
    std::string dir_;
};

} // namespace endivelatch::serve
