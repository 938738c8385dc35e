#pragma once

#include "../../tests/failures/child_process.hpp"
#include "../../tests/standins/replica_standin.hpp"
#include "../../tests/standins/store_standin.hpp"
#include "../../tests/standins/tcp_proxy.hpp"

#include "endivelatch/entry/connection_pool.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Entry routers as processes, started as the deploy file says, with stand-ins of the store and the
/// replicas in this process. Shared by the cases of the second review.
namespace endivelatch::review {

/// Exit codes of a case.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// A response as its client received it.
struct client_response {
    int status = 0;
    http_headers headers;
    std::string body;
    bool is_complete = false;
    bool has_ended = false;
};

/// What the settings file and the configuration of a fleet say.
struct fleet_settings {
    int routers = 1;
    int engines = 3; ///< Replicas that stream answers to prompts.
    int desks = 3;   ///< Replicas of the service that answers `status` and `booking`.
    int memory_mb = 260;
    int descriptors = 4'100;
    int slots = 64;
    int status_timeout_ms = 800;
    int stream_timeout_ms = 6'000;
    bool uses_store_proxy = false; ///< Routers reach the store through a proxy.
};

/// Returns whether the case runs with its disruption.
bool has_trouble();

/// Writes what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);

private:
    std::ofstream out_;
    time_point started_at_;
};

/// Routers, store and replicas of one case.
class fleet {
public:
    explicit fleet(const fleet_settings& settings);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Starts a router; `router` counts from 1.
    void start(int router);

    /// Waits until all routers say that they are ready. Returns whether they do.
    bool wait_until_ready();
    bool wait_until_ready(int router);

    /// Writes the configuration to the store, with the keys of its only tenant.
    void write_configuration(int version, const std::vector<std::string>& keys = {"key", "old"});

    /// Registers a replica in the store, at the address and started `born` ms after its first
    /// start.
    void register_replica(const standins::replica_standin& replica, const endpoint& address,
                          int born);

    /// Sends an ordinary request; returns the key of its entry in `responses`.
    outgoing_id send(int router, const std::string& method, const std::string& path,
                     const std::string& attempt, const std::string& headers = {});

    /// Sends a request and waits for the end of its response, for `limit` at most.
    client_response send_and_wait(int router, const std::string& method, const std::string& path,
                                  const std::string& attempt, duration limit);

    /// Runs the loop for the time, or until the condition holds. Returns whether it holds.
    bool run_until(const std::function<bool()>& condition, duration limit);
    void run_for(duration time);

    /// Kills each router that holds more memory than its machine has, as the platform does.
    /// Returns the numbers of those that were killed now.
    std::vector<int> kill_routers_over_memory();

    endpoint frontend(int router) const { return {"127.0.0.1", port(router, 0)}; }
    endpoint directory(int router) const { return {"127.0.0.1", port(router, 2)}; }

    event_loop loop;
    standins::store_standin store{loop};
    std::unique_ptr<standins::tcp_proxy> store_proxy; ///< Null unless it is used.
    std::vector<std::unique_ptr<standins::replica_standin>> engines;
    std::vector<std::unique_ptr<standins::replica_standin>> desks;
    std::map<int, std::unique_ptr<failures::child_process>> routers;
    std::map<outgoing_id, client_response> responses;
    connection_pool clients;

private:
    void add_replicas(std::vector<std::unique_ptr<standins::replica_standin>>& to, int count,
                      const std::string& service);
    std::uint16_t port(int router, int offset) const;
    int readiness(int router);

    fleet_settings settings_;
    std::string dir_;
    std::vector<std::uint16_t> ports_;
};

} // namespace endivelatch::review
