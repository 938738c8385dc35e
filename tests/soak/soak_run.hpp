#pragma once

#include "request_record.hpp"

#include "endivelatch/base/hash.hpp"
#include "standins/delayed_calls.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivelatch::soak {

/// One seeded run: callers send requests to real routers while faults come from outside, alone and
/// overlapping; then all faults end and the fleet has to serve again.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed);

    /// Plays faults and requests for the time, then lets everything recover.
    void play(duration length);

    /// Returns the violations found; empty when there were none.
    std::vector<std::string> violations() const;

    /// Returns how many faults were injected, by name.
    const std::map<std::string, int>& faults() const { return faults_; }

    /// Returns how many requests were sent.
    std::size_t requests() const { return records_.size(); }

    static constexpr int router_count = 3;

private:
    /// What a router's process is doing.
    enum class router_state {
        runs,
        is_down,   ///< Killed; starts again soon.
        is_paused, ///< Stopped by a signal; goes on soon.
        is_stopping,
    };

    void send_request();
    void leave(std::size_t record);
    void inject_fault();

    // Faults of routers.
    void kill_router(int router);
    void pause_router(int router);
    void stop_router(int router);
    void restart_when_stopped(int router);
    void reload_router(int router);

    // Faults of the store and of replicas.
    void change_configuration();
    void lose_store(standins::store_standin::mode mode);
    void make_replica_fail(std::size_t replica);
    void replace_replica(std::size_t replica);

    // Faults of paths.
    void disturb_path(standins::tcp_proxy& proxy);

    /// Returns whether the process takes signals: before its program runs, the system ends it.
    bool takes_signals(int router) const;
    void recover();
    void check_exits();
    void note(const std::string& fault) { ++faults_[fault]; }
    duration between(int least_ms, int most_ms);
    void after(duration delay, std::function<void()> call);

    random_source random_;
    serve::serve_fleet fleet_{router_count, serve::serve_fleet::paths::through_proxies};
    standins::delayed_calls delays_{fleet_.loop};
    std::map<int, router_state> states_;
    std::vector<caller_record> records_;
    std::map<std::string, int> faults_;
    std::vector<std::string> violations_;
    int version_ = 1;
    int starts_ = 0;
    int pending_ = 0; ///< Faults that have not ended.
};

} // namespace endivelatch::soak
