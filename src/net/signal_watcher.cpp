#include "endivelatch/net/signal_watcher.hpp"

#include <utility>

namespace endivelatch {

signal_watcher::signal_watcher(event_loop& loop, int signal, std::function<void()> on_signal)
    : loop_{&loop}, on_signal_{std::move(on_signal)}
{
    ev_signal_init(
        &watcher_,
        [](struct ev_loop*, ev_signal* watcher, int) {
            static_cast<signal_watcher*>(watcher->data)->on_signal_();
        },
        signal);
    watcher_.data = this;
    ev_signal_start(loop_->handle(), &watcher_);
}

signal_watcher::~signal_watcher()
{
    ev_signal_stop(loop_->handle(), &watcher_);
}

} // namespace endivelatch
