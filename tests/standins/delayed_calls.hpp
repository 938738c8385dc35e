#pragma once

#include "endivelatch/net/timer.hpp"

#include <functional>
#include <map>
#include <utility>

namespace endivelatch::standins {

/// Runs functions at later times, using a single timer.
class delayed_calls {
public:
    explicit delayed_calls(event_loop& loop) : loop_{&loop}, timer_{loop, [this] { run_due(); }} {}

    /// Runs the function after the delay; immediately if the delay is not positive.
    void after(duration delay, std::function<void()> call)
    {
        if (delay <= duration::zero()) {
            call();
            return;
        }
        at(loop_->now() + delay, std::move(call));
    }

    /// Runs the function at the given time. Functions for the same time run in insertion order.
    void at(time_point when, std::function<void()> call)
    {
        calls_.emplace(when, std::move(call));
        set_timer();
    }

private:
    /// Starts the timer for the earliest function.
    void set_timer()
    {
        if (!calls_.empty() && (!timer_.is_active() || calls_.begin()->first < due_)) {
            due_ = calls_.begin()->first;
            timer_.start(due_ - loop_->now());
        }
    }

    /// Runs all functions that are due.
    void run_due()
    {
        const time_point now = loop_->now();
        while (!calls_.empty() && calls_.begin()->first <= now) {
            auto node = calls_.extract(calls_.begin());
            node.mapped()();
        }
        set_timer();
    }

    event_loop* loop_;
    timer timer_;
    time_point due_;
    std::multimap<time_point, std::function<void()>> calls_;
};

} // namespace endivelatch::standins
