#pragma once

#include "endivelatch/net/event_loop.hpp"

namespace endivelatch {

/// A one-shot timer that can be restarted.
class timer {
public:
    timer(event_loop& loop, std::function<void()> on_expiry);
    ~timer();
    timer(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(const timer&) = delete;
    timer& operator=(timer&&) = delete;

    /// Starts the timer, or restarts it when it is active.
    void start(duration after);

    /// Starts the timer for an instant, but at least `min_delay` from now. If the instant has come,
    /// an active timer that expires within `min_delay` is left alone: calls in quick succession,
    /// one for each event of a busy loop, would otherwise postpone it forever.
    void start_for(time_point due, duration min_delay);

    /// Cancels the timer.
    void stop();

    /// Returns whether the timer is active.
    bool is_active() const { return ev_is_active(&watcher_); }

private:
    event_loop* loop_;
    std::function<void()> on_expiry_;
    ev_timer watcher_{};
};

} // namespace endivelatch
