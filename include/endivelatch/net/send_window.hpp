#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "endivelatch/base/ids.hpp"

/// Send and receive windows for exactly-once, in-order delivery across reconnects.
namespace endivelatch {

/// A frame that was dropped without an acknowledgement.
struct lost_frame {
    std::string content;
    bool may_have_arrived = false; ///< False when it was never written to a connection.
};

/// The unacknowledged frames for one receiver, in order.
class send_window {
public:
    /// A frame with its sequence number, which starts at 1.
    struct frame {
        std::uint64_t number = 0;
        std::string content;
    };

    /// `max_bytes` limits the total size of unacknowledged content.
    explicit send_window(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Appends a frame; returns false when it would exceed the limit.
    bool push(std::string content);

    /// Returns the next frame to write and marks it as written; null when there is none.
    const frame* next();

    /// Removes all frames up to and including the acknowledged number.
    void acknowledge(std::uint64_t number);

    /// Marks all unacknowledged frames for retransmission on a new connection.
    void rewind() { unwritten_ = 0; }

    /// Drops all frames that were ever written. Used when the receiver has restarted, as it is
    /// unknown whether the previous run handled them.
    std::vector<lost_frame> drop_written();

    /// Drops all frames.
    std::vector<lost_frame> drop_all();

    /// Returns the total size of the unacknowledged frames.
    std::size_t bytes() const { return bytes_; }

    /// Returns whether there are frames to write.
    bool has_unwritten() const { return unwritten_ < frames_.size(); }

    /// Returns whether all frames have been acknowledged.
    bool empty() const { return frames_.empty(); }

private:
    /// Removes and returns the given number of oldest frames.
    std::vector<lost_frame> drop(std::size_t count);

    std::size_t max_bytes_;
    std::deque<frame> frames_;
    std::size_t unwritten_ = 0; ///< Index of the next frame to write.
    std::uint64_t last_number_ = 0;
    std::uint64_t highest_written_ = 0; ///< Highest number ever written to a connection.
    std::size_t bytes_ = 0;
};

/// Detects duplicate frames per sender.
class receive_window {
public:
    /// Returns whether the frame is new, and marks it as received.
    /// Frames from an earlier run of the sender than the latest known are rejected.
    bool accept(const router_id& from, incarnation run, std::uint64_t number);

    /// Returns the highest number received from this run of the sender; zero when there is none.
    std::uint64_t received(const router_id& from, incarnation run) const;

private:
    struct progress {
        incarnation run;
        std::uint64_t highest = 0;
    };

    std::unordered_map<router_id, progress> senders_;
};

} // namespace endivelatch
