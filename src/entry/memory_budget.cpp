#include "endivelatch/entry/memory_budget.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace endivelatch {

namespace {

/// Shares in sixteenths of the VM's memory. Together with a process of 10 MB and its buffers they
/// stay below half of the smallest VM (112 MB).
constexpr std::size_t sixteenths = 16;
constexpr std::size_t request_sixteenths = 3;
constexpr std::size_t other_sixteenths = 1;
/// Room for the head and the buffers of a request beside its body.
constexpr std::size_t head_room = 262'144;

bool receives_too_slowly(const incoming_request& it, time_point now)
{
    const auto age = now - it.started_at;
    if (age < protected_receive_time) {
        return false;
    }
    const auto seconds = std::chrono::duration<double>{age}.count();
    return static_cast<double>(it.payload) < seconds * double{protected_receive_rate};
}

} // namespace

memory_shares share_memory(std::size_t memory, std::size_t body_limit)
{
    const auto sixteenth = memory / sixteenths;
    // Larger requests leave a part of the share to smaller ones.
    const auto one_request = body_limit + head_room;
    const auto least = one_request + one_request / (memory_budget::reserved_part - 1);
    memory_shares shares;
    shares.requests = std::max(sixteenth * request_sixteenths, std::min(least, memory / 2));
    shares.answers = sixteenth * other_sixteenths;
    shares.services = sixteenth * other_sixteenths;
    shares.buffered_answers = sixteenth * other_sixteenths;
    return shares;
}

memory_budget::memory_budget()
{
    bounds_.fill(std::numeric_limits<std::size_t>::max());
}

void memory_budget::set_shares(const memory_shares& shares)
{
    bounds_[index(memory_use::requests)] = shares.requests;
    bounds_[index(memory_use::answers)] = shares.answers;
    bounds_[index(memory_use::services)] = shares.services;
}

bool memory_budget::try_hold(memory_use use, std::size_t held, std::size_t bytes)
{
    const auto bound = bounds_[index(use)];
    const bool is_small = held + bytes <= small_request;
    const auto available = is_small ? bound : bound - bound / reserved_part;
    auto& sum = held_[index(use)];
    if (sum + bytes > available) {
        return false;
    }
    sum += bytes;
    return true;
}

bool memory_budget::may_read_on(std::size_t unsent) const
{
    if (is_used_up(memory_use::answers)) {
        return unsent < min_unsent;
    }
    return unsent < max_unsent;
}

std::optional<std::uint64_t> choose_yielding(std::span<const incoming_request> incoming,
                                             time_point now)
{
    const incoming_request* chosen = nullptr;
    for (const auto& it : incoming) {
        if (receives_too_slowly(it, now) && (chosen == nullptr || it.held > chosen->held)) {
            chosen = &it;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional{chosen->connection};
}

} // namespace endivelatch
