#pragma once

#include "endivelatch/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace endivelatch {

/// Number of shards of the booking ledger. Stored records depend on it, so it never changes.
constexpr std::uint32_t ledger_shards = 64;

/// Time span of the keys that share one object of a shard. Stored records depend on it.
constexpr std::chrono::seconds ledger_bucket_span{30};

/// Age of a bucket's last key at which its object may be deleted, before the slack is added.
/// No setting may accept keys older than this.
constexpr std::chrono::hours longest_booking_retention{48};

/// Protections of the ledger. Only tests that show what each one prevents turn any off.
struct ledger_protections {
    bool dispatch_after_commit = true; ///< A run starts only when its record is known stored.
    bool settle_lost_writes = true;    ///< A write without an answer is looked up.
    bool cancel_before_not_run = true; ///< The record is cancelled before not_run is said.
    bool check_start_deadline = true;  ///< A record stored too late is cancelled.
    bool respect_foreign_start = true; ///< A start by another run of a router is never repeated.
    bool check_body_digest = true;     ///< A key is refused for another body.
};

/// Settings of the booking ledger on one router.
struct ledger_settings {
    duration group_interval = std::chrono::milliseconds{250}; ///< Between writes of one shard.
    duration result_interval = std::chrono::seconds{1};       ///< Longest wait of a result.
    duration call_timeout = std::chrono::seconds{3};          ///< Of one platform call.
    duration retry_delay = std::chrono::milliseconds{500};    ///< After a failed platform call.
    duration foreign_wait = std::chrono::seconds{5};          ///< For another router's result.
    duration foreign_poll = std::chrono::milliseconds{500};   ///< Between looks for it.
    duration key_retention = std::chrono::hours{24};          ///< Older keys are refused.
    duration record_retention = longest_booking_retention;    ///< Until objects may be deleted.
    duration sweep_interval = std::chrono::milliseconds{200}; ///< Between calls that delete.
    duration idle_sweep_interval = std::chrono::seconds{5};   ///< When nothing is to delete.
    duration key_future = std::chrono::minutes{5};            ///< Keys further ahead are refused.
    duration deletion_slack = std::chrono::minutes{30}; ///< Above start deadline and clock error.
    duration longest_start = std::chrono::minutes{10};  ///< Upper bound of a start deadline.
    duration idle_time = std::chrono::minutes{2};       ///< Unused objects leave the memory.
    std::size_t kept_result_size = 4096;                ///< Larger results are not kept, bytes.
    std::size_t object_size = 1'000'000;                ///< Of one stored object, bytes.
    std::size_t live_bookings = 20'000;                 ///< Bookings in progress per router.
    ledger_protections protections;
};

} // namespace endivelatch
