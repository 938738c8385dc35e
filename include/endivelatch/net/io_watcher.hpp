#pragma once

#include "endivelatch/net/event_loop.hpp"

namespace endivelatch {

/// The readiness conditions of a descriptor.
struct io_interest {
    bool read = false;
    bool write = false;

    friend bool operator==(const io_interest&, const io_interest&) = default;
};

/// Calls a function whenever a file descriptor is ready. Does not own the descriptor.
class io_watcher {
public:
    io_watcher(event_loop& loop, int fd, std::function<void(io_interest)> on_ready);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher(io_watcher&&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;
    io_watcher& operator=(io_watcher&&) = delete;

    /// Replaces the watched conditions; stops watching when both are false.
    void watch(io_interest interest);

private:
    event_loop* loop_;
    std::function<void(io_interest)> on_ready_;
    io_interest interest_;
    ev_io watcher_{};
};

} // namespace endivelatch
