#pragma once

#include "endivelatch/net/event_loop.hpp"

namespace endivelatch {

/// Calls a function whenever the process receives a signal.
class signal_watcher {
public:
    signal_watcher(event_loop& loop, int signal, std::function<void()> on_signal);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher(signal_watcher&&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;
    signal_watcher& operator=(signal_watcher&&) = delete;

private:
    event_loop* loop_;
    std::function<void()> on_signal_;
    ev_signal watcher_{};
};

} // namespace endivelatch
