#include "endivelatch/net/io_watcher.hpp"

#include <utility>

namespace endivelatch {

io_watcher::io_watcher(event_loop& loop, int fd, std::function<void(io_interest)> on_ready)
    : loop_{&loop}, on_ready_{std::move(on_ready)}
{
    ev_io_init(
        &watcher_,
        [](struct ev_loop*, ev_io* watcher, int events) {
            static_cast<io_watcher*>(watcher->data)
                ->on_ready_({(events & EV_READ) != 0, (events & EV_WRITE) != 0});
        },
        fd, EV_READ);
    watcher_.data = this;
}

io_watcher::~io_watcher()
{
    ev_io_stop(loop_->handle(), &watcher_);
}

void io_watcher::watch(io_interest interest)
{
    if (interest == interest_) {
        return;
    }
    interest_ = interest;
    ev_io_stop(loop_->handle(), &watcher_);
    const int events = (interest.read ? EV_READ : 0) | (interest.write ? EV_WRITE : 0);
    if (events == 0) {
        return;
    }
    ev_io_set(&watcher_, watcher_.fd, events);
    ev_io_start(loop_->handle(), &watcher_);
}

} // namespace endivelatch
