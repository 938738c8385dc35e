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

/// An answer as a caller got it.
struct caller_answer {
    int status = 0;
    http_headers headers;
    std::string body;
    bool is_complete = false;
    bool has_ended = false;
};

/// Entry routers as processes before stand-ins of the store and of replicas in this process.
class serve_fleet {
public:
    /// How routers reach the store and the replicas.
    enum class paths {
        direct,
        through_proxies, ///< Which can delay, silence and cut them.
    };

    explicit serve_fleet(int routers, paths way = paths::direct);
    ~serve_fleet();
    serve_fleet(const serve_fleet&) = delete;
    serve_fleet(serve_fleet&&) = delete;
    serve_fleet& operator=(const serve_fleet&) = delete;
    serve_fleet& operator=(serve_fleet&&) = delete;

    /// Starts a router; numbers begin with 1.
    void start(int router);

    /// Waits until all routers say that they are ready.
    void wait_until_ready();

    /// Writes the operator's configuration; each version moves no route.
    void configure(int version, const std::vector<std::string>& keys = {"key"});

    /// Sends a request; returns the number of its answer.
    outgoing_id send(int router, const std::string& path, const std::string& attempt,
                     const std::string& key = "key", const std::string& method = "POST");

    /// Sends a request and waits for the end of its answer.
    caller_answer ask(int router, const std::string& path, const std::string& attempt,
                      const std::string& key = "key");

    /// Waits for the end of an answer.
    const caller_answer& wait(outgoing_id id);

    /// Asks whether the router is ready; returns the status, 0 without an answer.
    int readiness(int router);

    /// Returns what a router says to a question at one of its other addresses.
    caller_answer get(const endpoint& to, const std::string& target);

    /// Returns the addresses of a router.
    endpoint requests(int router) const { return address(router, 0); }
    endpoint entries(int router) const { return address(router, 2); }
    endpoint metrics(int router) const { return address(router, 3); }

    /// Returns what a replica writes into the store about itself; numbers begin with 0.
    nlohmann::json registration(std::size_t replica, const std::string& state = "ready") const;

    /// Returns what a router has logged so far.
    std::string log(int router) const;

    /// Returns the path of a router's log.
    std::string log_path(int router) const;

    /// Runs a command of the program to its end; returns what it printed and its exit code.
    std::pair<std::string, int> run(const std::vector<std::string>& arguments);

    /// Returns the path of a router's settings file.
    std::string settings_path(int router) const;

    /// Returns the settings of a router.
    std::string settings(int router) const;

    event_loop loop;
    standins::store_standin store{loop};
    std::vector<std::unique_ptr<standins::replica_standin>> replicas;
    std::unique_ptr<standins::tcp_proxy> store_proxy; ///< Null on direct paths.
    std::vector<std::unique_ptr<standins::tcp_proxy>> replica_proxies;
    std::map<int, std::unique_ptr<failures::child_process>> routers;
    std::map<outgoing_id, caller_answer> answers;
    connection_pool callers;

private:
    endpoint address(int router, int offset) const;
    endpoint store_address() const;

    int router_count_;
    int port_base_;
    std::string dir_;
};

} // namespace endivelatch::serve
