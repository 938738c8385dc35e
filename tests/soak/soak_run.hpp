#pragma once

#include "request_record.hpp"

#include "endivelatch/base/hash.hpp"
#include "standins/delayed_calls.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivelatch::soak {

/// A soak test run with a random seed. Sends requests to router processes while injecting faults,
/// which may overlap. Then all faults end and the fleet must recover.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed);

    /// Sends requests and injects faults for the given time, then checks the recovery.
    void execute(duration length);

    /// Returns all violations found.
    std::vector<std::string> violations() const;

    /// Returns the number of injected faults, by name.
    const std::map<std::string, int>& faults() const { return faults_; }

    /// Returns the number of requests sent.
    std::size_t requests() const { return records_.size(); }

    static constexpr int router_count = 3;

private:
    /// State of a router process.
    enum class router_state {
        running,
        killed, ///< Killed; restarts after a delay.
        paused, ///< Stopped by SIGSTOP; continues after a delay.
        stopping,
    };

    void send_request();
    std::string prompt_headers(const std::string& attempt);
    void cancel_request(std::size_t record);
    void inject_fault();
    void inject_later_fault();

    // Router faults.
    void kill_router(int router);
    void pause_router(int router);
    void stop_router(int router);
    void restart_when_stopped(int router);
    void reload_router(int router);

    // Store and replica faults.
    void change_configuration();
    void change_configuration_in_series();
    void write_odd_entry();
    void poison_replicas();
    void disrupt_store(standins::store_standin::mode mode);
    void fail_replica(std::size_t replica);
    void replace_replica(std::size_t replica);

    // Network faults.
    void disrupt_path(standins::tcp_proxy& proxy);

    /// Returns whether the process has installed its signal handlers; before that, the default
    /// action of SIGHUP and SIGTERM would end it.
    bool handles_signals(int router) const;
    void recover();
    void check_exits();
    void count_fault(const std::string& fault) { ++faults_[fault]; }
    duration random_duration(int min_ms, int max_ms);
    void schedule(duration delay, std::function<void()> call);

    random_source random_;
    /// Of requests and faults that were added later, so that earlier seeds keep their schedules.
    random_source later_random_;
    serve::serve_fleet fleet_{router_count, serve::serve_fleet::network_path::through_proxies};
    standins::delayed_calls delays_{fleet_.loop};
    std::map<int, router_state> states_;
    std::vector<request_record> records_;
    std::map<std::string, int> faults_;
    std::vector<std::string> violations_;
    int version_ = 1;
    int registration_count_ = 0;
    bool is_poisoned_ = false; ///< Replicas crash on a prompt part.
    int pending_actions_ = 0;  ///< Scheduled actions that have not run.
};

} // namespace endivelatch::soak
