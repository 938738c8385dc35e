#pragma once

#include "endivelatch/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace endivelatch {

/// Number of shards of the booking ledger. It must not change, since it determines where records
/// are stored.
constexpr std::uint32_t ledger_shards = 64;

/// Time span of the keys that share one object of a shard. It must not change, since it determines
/// where records are stored.
constexpr std::chrono::seconds ledger_bucket_span{30};

/// Age of a bucket's last key from which its object may be deleted, not including
/// `deletion_slack`. Settings must not accept keys older than this.
constexpr std::chrono::hours max_booking_retention{48};

/// Safety checks of the ledger. Only tests disable them, to show the fault that each prevents.
struct ledger_protections {
    /// Start a run only after its record is known to be stored.
    bool dispatch_after_commit = true;
    /// Resolve a write without an answer by the version of the object.
    bool resolve_lost_writes = true;
    /// Cancel the record before answering not_run.
    bool cancel_before_not_run = true;
    /// Cancel a record that was stored after the start deadline.
    bool check_start_deadline = true;
    /// Never repeat a start by another router or incarnation.
    bool respect_foreign_start = true;
    /// Refuse a key that is reused with another body.
    bool check_body_digest = true;
};

/// Settings of the booking ledger of one router.
struct ledger_settings {
    /// Minimum time between two writes of one shard.
    duration write_interval = std::chrono::milliseconds{250};
    /// Longest wait before a result is written.
    duration max_result_delay = std::chrono::seconds{1};
    /// Timeout of one platform call.
    duration call_timeout = std::chrono::seconds{3};
    /// Delay after a failed platform call.
    duration retry_delay = std::chrono::milliseconds{500};
    /// Longest wait for the result of a run that another router started.
    duration foreign_result_timeout = std::chrono::seconds{5};
    /// Time between two reads while waiting for such a result.
    duration foreign_poll_interval = std::chrono::milliseconds{500};
    /// Older keys are refused.
    duration key_retention = std::chrono::hours{24};
    /// Age of a bucket from which its object may be deleted, not including `deletion_slack`.
    duration record_retention = max_booking_retention;
    /// Time between two platform calls of the sweeper.
    duration sweep_interval = std::chrono::milliseconds{200};
    /// The same when nothing can be deleted.
    duration idle_sweep_interval = std::chrono::seconds{5};
    /// Keys further in the future are refused.
    duration max_key_lead = std::chrono::minutes{5};
    /// Must exceed the longest start deadline plus the clock error.
    duration deletion_slack = std::chrono::minutes{30};
    /// Upper bound for start deadlines.
    duration max_start_within = std::chrono::minutes{10};
    /// Objects that are unused for this time are evicted from memory.
    duration idle_eviction_delay = std::chrono::minutes{2};
    /// Larger result bodies are not stored; in bytes.
    std::size_t max_kept_result_size = 4096;
    /// Maximum size of a stored object, in bytes.
    std::size_t max_object_size = 1'000'000;
    /// Maximum number of bookings in progress per router.
    std::size_t max_live_bookings = 20'000;
    ledger_protections protections;
};

} // namespace endivelatch
