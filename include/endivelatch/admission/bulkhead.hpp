#pragma once

#include <cstdint>

namespace endivelatch {

/// Limits on the resources that one pool, plain service or direction may use in a router.
struct bulkhead_limits {
    std::uint32_t calls = 16;                  ///< Concurrent calls, one socket each.
    std::uint64_t buffered_bytes = 16'777'216; ///< Bytes buffered for all its calls.
    std::uint32_t queue_length = 256;          ///< Queued calls.
    std::uint64_t stream_bytes = 262'144;      ///< Bytes buffered for one slow reader.
};

/// Counts the resources that one pool or plain service uses in a router, and enforces its limits.
///
/// Use one for the calls to each pool or service and one for the answers to each organisation's
/// callers, so that neither slow targets nor slow readers exhaust the resources of others.
class bulkhead {
public:
    explicit bulkhead(bulkhead_limits limits = {}) : limits_{limits} {}

    /// Changes the limits; resources in use are kept.
    void set_limits(bulkhead_limits limits) { limits_ = limits; }

    /// Returns whether another call may start.
    bool has_free_call() const { return calls_ < limits_.calls; }

    /// Counts a call as started; false if the limit is reached.
    bool try_start_call();

    /// Counts a call as ended.
    void end_call();

    /// Reserves a place in the queue; false if it is full.
    bool try_enqueue();

    /// Releases a place in the queue.
    void dequeue();

    /// Reserves buffer space for a stream that has `stream_buffered` bytes already. If false, stop
    /// reading from the sender of this stream until bytes are released. A stream without buffered
    /// bytes may exceed the limit per stream.
    bool try_reserve_buffer(std::uint64_t bytes, std::uint64_t stream_buffered);

    /// Releases buffer space.
    void release_buffer(std::uint64_t bytes);

    /// Returns the number of running calls.
    std::uint32_t calls() const { return calls_; }
    /// Returns the number of queued calls.
    std::uint32_t queued() const { return queued_; }
    /// Returns the number of buffered bytes.
    std::uint64_t buffered() const { return buffered_; }

private:
    bulkhead_limits limits_;
    std::uint32_t calls_ = 0;
    std::uint32_t queued_ = 0;
    std::uint64_t buffered_ = 0;
};

} // namespace endivelatch
