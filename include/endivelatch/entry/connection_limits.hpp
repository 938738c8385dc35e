#pragma once

#include "endivelatch/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Decides how many connections a router keeps, which of them it closes to make room for others,
/// and which ones take too long. Performs no I/O.
namespace endivelatch {

/// Connections allowed at each address of a router, and to its targets.
struct connection_shares {
    std::size_t callers = 0;
    std::size_t targets = 0;
    std::size_t peers = 0;
    std::size_t entries = 0;
    std::size_t readiness = 0;
    std::size_t metrics = 0;
};

/// Returns the shares of a process that may open `descriptors`. Of these a fixed number is for
/// files; a part of the rest is for other routers, the store and operators. Each request of a
/// caller may need a connection to a target.
connection_shares share_descriptors(std::size_t descriptors);

/// Descriptors left to files.
inline constexpr std::size_t descriptors_for_files = 200;

/// What a connection is doing.
enum class connection_state {
    idle,           ///< No byte of a request has arrived.
    receiving_head, ///< A part of a head has arrived.
    receiving_body, ///< A part of a body is missing.
    answering,      ///< A request has no complete answer, or its answer is not taken yet.
};

/// A connection that may be closed to make room.
struct open_connection {
    std::uint64_t number = 0;
    connection_state state = connection_state::idle;
    time_point since{}; ///< Start of the state.
};

/// Time for which a connection is kept whatever it does: a request needs some time to arrive.
inline constexpr duration protected_connection_time{100'000};

/// Returns up to `count` connections to close, best first: idle ones, then those that receive a
/// head, then those that receive a body, each the longest first. Connections with a request that
/// has no complete answer are never closed.
std::vector<std::uint64_t> choose_connections_to_close(std::span<const open_connection> open,
                                                       std::size_t count, time_point now);

/// Checks that the payload of a body arrives at a least rate.
class body_progress {
public:
    /// Starts with the first byte of the body.
    void start(time_point now);

    /// Returns whether less than `least_bytes` arrived in a whole span. `payload` is the number of
    /// bytes so far, without the overhead of chunks.
    bool is_too_slow(std::size_t payload, time_point now);

    /// A modem of 9,600 bits a second sends more than ten times as much.
    static constexpr std::size_t least_bytes = 1'024;
    static constexpr duration span{10'000'000};

private:
    time_point span_start_{};
    std::size_t payload_at_start_ = 0;
};

/// Checks that a caller takes its answer, from counts of bytes at regular intervals.
class reading_progress {
public:
    /// Returns for how long, up to now, nothing was taken although bytes were waiting.
    duration stalled_for(std::size_t unsent, std::uint64_t written, time_point now);

private:
    std::uint64_t last_written_ = 0;
    time_point last_change_{};
    bool was_waiting_ = false;
};

/// Time after which a caller that takes nothing of its answer is closed, and the same while the
/// memory for answers is used up.
inline constexpr duration reader_stall_limit{10'000'000};
inline constexpr duration short_reader_stall_limit{3'000'000};

} // namespace endivelatch
