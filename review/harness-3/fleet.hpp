#pragma once

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

/// Stand-ins of the platform's store and of replicas, and the project's routers as processes.
namespace endivelatch::review {

using json = nlohmann::json;

/// The platform's store: lists, watches, creates and deletes objects.
class store {
public:
    store();

    int port() const { return server_.port(); }

    /// Writes an object, as the operator and the replicas do. Returns its revision.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& spec);
    void remove(const std::string& kind, const std::string& name);
    std::uint64_t revision();

    /// Copies the objects and the revision, as a backup of the store does.
    void make_copy();
    /// Comes back from the copy: what was written since is gone, and the era rises by one.
    void restore_copy();
    /// While it is away, the store closes its connections and refuses others.
    void set_away(bool is_away);

    /// Returns the number of calls so far.
    std::size_t calls() const { return calls_; }

private:
    struct object {
        std::uint64_t revision = 0;
        json spec;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };
    using object_table = std::map<std::string, std::map<std::string, object>>;

    void serve(connection& conn);
    std::string answer(const http_message& request);
    std::string list(const std::string& kind, const std::string& after);
    std::string watch(const std::string& kind, std::uint64_t after, int wait_ms);
    std::string format(int status, const json& body) const;
    static json format_object(const std::string& name, const object& it);
    std::uint64_t put_locked(const std::string& kind, const std::string& name, const json& spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    object_table objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t first_watchable_ = 100;
    std::uint64_t era_ = 1;
    object_table copy_;
    std::uint64_t copy_revision_ = 0;
    std::atomic<bool> is_away_{false};
    std::atomic<std::size_t> calls_{0};
    server server_;
};

/// Returns the entry of a replica in the store.
json make_registration(const std::string& service, int port, const std::string& state = "ready");

/// A request as a replica received it.
struct run {
    std::int64_t at_ms = 0;
    std::string replica;
    http_message request;
};

/// A replica. It answers 421 to requests that expect another instance and health checks; the
/// handler answers all others and returns whether the connection stays open.
class replica {
public:
    using handler = std::function<bool(connection&, const http_message&)>;

    replica(std::string id, std::string service, handler on_request);

    const std::string& id() const { return id_; }
    int port() const { return server_.port(); }

    /// Returns the entry in the store.
    json registration(const std::string& state = "ready") const
    {
        return make_registration(service_, port(), state);
    }

    /// Returns the headers of an answer of this replica.
    header_list answer_headers(const http_message& request) const;

    /// Returns the requests that reached this replica and were run.
    std::vector<run> runs();

private:
    void serve(connection& conn);

    std::string id_;
    std::string service_;
    handler on_request_;
    std::mutex mutex_;
    std::vector<run> runs_;
    server server_;
};

/// A replica in a process of its own, which can be killed: this program, started again with the
/// word `replica` before the arguments. It prints its port first, then a line for each event.
class replica_process {
public:
    replica_process(const std::vector<std::string>& arguments, recorder& record);
    ~replica_process();
    replica_process(const replica_process&) = delete;
    replica_process(replica_process&&) = delete;
    replica_process& operator=(const replica_process&) = delete;
    replica_process& operator=(replica_process&&) = delete;

    /// Returns the port, or zero if the process did not start.
    int port() const { return port_; }

private:
    pid_t pid_ = -1;
    int port_ = 0;
    int fd_ = -1;
};

/// A router, started with the command of the deploy file.
class router {
public:
    /// Writes the settings file to `dir` and starts the process. Routers of one fleet have the same
    /// internal port; zero selects a free one.
    router(const std::string& dir, int number, int store_port, int internal_port = 0);
    ~router();
    router(const router&) = delete;
    router(router&&) = delete;
    router& operator=(const router&) = delete;
    router& operator=(router&&) = delete;

    std::string ip() const { return ip_; }
    int frontend() const { return port_; }
    void signal(int number) const;
    /// Returns whether the process has ended.
    bool has_ended();
    /// Returns the status of a readiness check, or zero.
    int readiness() const;
    /// Waits until the router is ready; returns false after ten seconds.
    bool wait_until_ready() const;
    std::string log() const;

private:
    std::string ip_;
    std::string log_path_;
    int port_ = 0;
    pid_t pid_ = -1;
};

/// Returns a route of the configuration.
json make_route(const std::string& name, const std::string& type, const std::string& service,
                int timeout_ms, int max_attempts, bool resumes = false);

/// Returns a configuration; `keys` are those of its only tenant.
json make_configuration(int version, const json& routes, const std::vector<std::string>& services,
                        const std::vector<std::string>& keys);

/// Returns a request of a client.
std::string make_request(const std::string& method, const std::string& path,
                         const std::string& attempt, int deadline_ms, const std::string& key,
                         const header_list& more = {}, std::string_view body = {});

/// Returns a new temporary folder.
std::string make_temporary_folder();

/// Records the result of a case and ends the program with it, without waiting for the threads of
/// the stand-ins: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] void finish(recorder& record, const std::string& rule, int result);

/// Returns whether the case runs with its disruption.
bool has_trouble();

} // namespace endivelatch::review
