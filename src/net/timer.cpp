#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

timer::timer(event_loop& loop, std::function<void()> on_expiry)
    : loop_{&loop}, on_expiry_{std::move(on_expiry)}
{
    ev_init(&watcher_, [](struct ev_loop*, ev_timer* watcher, int) {
        static_cast<timer*>(watcher->data)->on_expiry_();
    });
    watcher_.data = this;
}

timer::~timer()
{
    stop();
}

void timer::start(duration after)
{
    stop();
    const auto seconds = std::chrono::duration<double>{std::max(after, duration::zero())};
    ev_now_update(loop_->handle());
    ev_timer_set(&watcher_, seconds.count(), 0.0);
    ev_timer_start(loop_->handle(), &watcher_);
}

void timer::start_for(time_point due, duration min_delay)
{
    const auto left = due - loop_->now();
    if (left <= min_delay && is_active()) {
        ev_now_update(loop_->handle());
        const std::chrono::duration<double> remaining{
            ev_timer_remaining(loop_->handle(), &watcher_)};
        if (remaining <= min_delay) {
            return;
        }
    }
    start(std::max(left, min_delay));
}

void timer::stop()
{
    ev_timer_stop(loop_->handle(), &watcher_);
}

} // namespace endivelatch
