#include "endivelatch/entry/connection_limits.hpp"

#include <algorithm>
#include <tuple>

namespace endivelatch {

namespace {

/// Part of the descriptors for sockets that is not for callers and targets.
constexpr std::size_t reserved_part = 4;
/// Parts of that reserve. The rest is for the store and other routers' addresses.
constexpr std::size_t peers_part = 2;
constexpr std::size_t entries_part = 4;
constexpr std::size_t operators_part = 16;

} // namespace

connection_shares share_descriptors(std::size_t descriptors)
{
    const auto sockets = descriptors - std::min(descriptors / 2, descriptors_for_files);
    const auto reserve = sockets / reserved_part;
    const auto part_of_reserve = [reserve](std::size_t part) {
        return std::max<std::size_t>(reserve / part, 1);
    };
    connection_shares shares;
    shares.callers = (sockets - reserve) / 2;
    shares.targets = (sockets - reserve) / 2;
    shares.peers = part_of_reserve(peers_part);
    shares.entries = part_of_reserve(entries_part);
    shares.readiness = part_of_reserve(operators_part);
    shares.metrics = part_of_reserve(operators_part);
    return shares;
}

std::vector<std::uint64_t> choose_connections_to_close(std::span<const open_connection> open,
                                                       std::size_t count, time_point now)
{
    std::vector<open_connection> candidates;
    std::copy_if(open.begin(), open.end(), std::back_inserter(candidates), [now](const auto& it) {
        return it.state != connection_state::answering &&
               now - it.since >= protected_connection_time;
    });
    const auto chosen = std::min(count, candidates.size());
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::partial_sort(
        candidates.begin(), middle, candidates.end(), [](const auto& a, const auto& b) {
            return std::tuple{a.state, a.since, a.number} < std::tuple{b.state, b.since, b.number};
        });
    std::vector<std::uint64_t> numbers;
    std::transform(candidates.begin(), middle, std::back_inserter(numbers),
                   [](const auto& it) { return it.number; });
    return numbers;
}

void body_progress::start(time_point now)
{
    span_start_ = now;
    payload_at_start_ = 0;
}

bool body_progress::is_too_slow(std::size_t payload, time_point now)
{
    if (now - span_start_ < span) {
        return false;
    }
    const bool is_slow = payload - payload_at_start_ < least_bytes;
    span_start_ = now;
    payload_at_start_ = payload;
    return is_slow;
}

duration reading_progress::stalled_for(std::size_t unsent, std::uint64_t written, time_point now)
{
    const bool has_progress = !was_waiting_ || written != last_written_;
    was_waiting_ = unsent > 0;
    last_written_ = written;
    if (has_progress || !was_waiting_) {
        last_change_ = now;
    }
    return now - last_change_;
}

} // namespace endivelatch
