#pragma once

#include "endivelatch/base/time.hpp"

#include <functional>
#include <vector>

#include <ev.h>

/// Event loop for the I/O of a process.
namespace endivelatch {

/// Wrapper of a libev loop, run by the calling thread. Watchers must not outlive it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Runs a single iteration: waits for events and handles them.
    void run_once();

    /// Makes `run` return after the current iteration.
    void stop();

    /// Returns the current time since boot.
    time_point now() const { return boot_clock::now(); }

    /// Schedules a call for later in this iteration, before the loop waits again.
    void post(std::function<void()> call);

    /// Returns the underlying libev loop, for watchers.
    struct ev_loop* handle() const { return loop_; }

private:
    /// Runs the calls that have been posted so far; calls posted meanwhile run next time.
    void run_posted();

    struct ev_loop* loop_;
    ev_prepare prepare_{}; ///< Runs posted calls before each wait.
    ev_idle idle_{};       ///< Prevents the loop from blocking while calls are posted.
    std::vector<std::function<void()>> posted_;
    std::vector<std::function<void()>> running_;
};

} // namespace endivelatch
