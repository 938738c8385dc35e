#pragma once

#include "endivelatch/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// Decides how much memory a router holds on behalf of its callers, and which request gives up its
/// memory when that runs out. Performs no I/O.
namespace endivelatch {

/// What holds memory on behalf of others.
enum class memory_use {
    requests, ///< Requests of callers, from their first byte until the end of their answers.
    answers,  ///< Bytes of answers that their callers have not taken yet.
    services, ///< Requests and answers at the addresses that are not for callers.
};

inline constexpr std::size_t memory_uses = 3;

/// Bytes that each use may hold at a time.
struct memory_shares {
    std::size_t requests = 0;
    std::size_t answers = 0;
    std::size_t services = 0;
    /// Answers that are held back until complete, so that another target can be tried.
    std::size_t buffered_answers = 0;
};

/// Returns the shares of a VM's memory, in bytes. The rest is for copies, tables and the program.
/// One request at the body limit has room as long as that takes less than half of the memory.
memory_shares share_memory(std::size_t memory, std::size_t body_limit);

/// Counts what is held and decides whether more may be.
class memory_budget {
public:
    /// Starts without bounds.
    memory_budget();

    /// Replaces the shares. What is held stays.
    void set_shares(const memory_shares& shares);

    /// Adds to what a connection holds if there is room. `held` is what it holds already. Requests
    /// above `small_request` leave an eighth of the share to smaller ones.
    bool try_hold(memory_use use, std::size_t held, std::size_t bytes);

    /// Adds bytes that exist already, whether there is room or not.
    void hold(memory_use use, std::size_t bytes) { held_[index(use)] += bytes; }

    /// Removes bytes that are not held any more.
    void release(memory_use use, std::size_t bytes) { held_[index(use)] -= bytes; }

    /// Returns whether more of an answer may be read whose caller has not taken `unsent` bytes.
    bool may_read_on(std::size_t unsent) const;

    /// Returns whether a use has reached its share.
    bool is_used_up(memory_use use) const { return held_[index(use)] >= bounds_[index(use)]; }

    /// Returns the bytes held by a use.
    std::size_t held(memory_use use) const { return held_[index(use)]; }

    /// Size in bytes up to which a request may use the whole share. Ordinary bodies are smaller.
    static constexpr std::size_t small_request = 131'072;
    /// Part of the share of requests that larger ones leave free.
    static constexpr std::size_t reserved_part = 8;
    /// Unsent bytes of an answer at which its target is not read any more, with room and without.
    static constexpr std::size_t max_unsent = 262'144;
    static constexpr std::size_t min_unsent = 16'384;

private:
    static std::size_t index(memory_use use) { return static_cast<std::size_t>(use); }

    std::array<std::size_t, memory_uses> held_{};
    std::array<std::size_t, memory_uses> bounds_{};
};

/// A request that is still being received.
struct incoming_request {
    std::uint64_t connection = 0;
    std::size_t held = 0;    ///< Bytes held or reserved for it.
    std::size_t payload = 0; ///< Bytes of its body received so far.
    time_point started_at{};
};

/// Time for which a request that is being received keeps its memory, and the rate in bytes a second
/// above which it keeps it for longer.
inline constexpr duration protected_receive_time{2'000'000};
inline constexpr std::size_t protected_receive_rate = 16'384;

/// Returns the connection that gives up its memory to another request: of those that receive too
/// slowly, the one that holds most. Returns nothing if none is slow.
std::optional<std::uint64_t> choose_yielding(std::span<const incoming_request> incoming,
                                             time_point now);

} // namespace endivelatch
