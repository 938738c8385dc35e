#pragma once

#include "endivelatch/ledger/booking.hpp"
#include "endivelatch/ledger/booking_record.hpp"
#include "endivelatch/ledger/ledger_settings.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <memory>
#include <set>
#include <string>

namespace endivelatch {

/// Reducer for the booking ledger of one router.
///
/// Bookings are stored in platform objects named `ledger/<shard>/<bucket>`. The hash of the key
/// selects the shard, and the time in the key selects the bucket. The owner of a shard batches the
/// changes of many bookings into one conditional update. Ownership only avoids write conflicts:
/// correctness does not depend on it, since the version check rejects concurrent updates.
///
/// A run is started only after its record is known to be stored, and before its start deadline.
/// A booking started by another router, or by an earlier incarnation of this one, is never started
/// again and never answered with not_run. A started booking that was not dispatched is cancelled
/// in the store before it is answered with not_run.
class ledger {
public:
    /// `calls` must outlive the ledger. `router` and `run` are part of every start id.
    ledger(const router_id& router, incarnation run, ledger_settings settings,
           platform_call_id_source& calls);
    ~ledger();
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;
    ledger(ledger&&) noexcept;
    ledger& operator=(ledger&&) noexcept;

    /// Sets the shards for which bookings are accepted. Bookings in progress continue.
    void set_owned(std::set<std::uint32_t> shards);

    /// Returns whether bookings of the shard are accepted.
    bool owns(std::uint32_t shard) const;

    /// Sets the age from which keys are refused, limited to the retention of records.
    void set_key_retention(duration retention);

    /// Handles a request to run a booking. A repeated request id is ignored while the
    /// first request waits for its answer.
    ledger_effects book(const booking& request, wall_time wall, time_point now);

    /// Handles an answer of the platform. Ignores answers to the calls of other reducers.
    ledger_effects answered(const platform_answer& answer, time_point now);

    /// Handles the end of the run that `start_booking` started for the request.
    ledger_effects run_ended(const request_id& request, const booking_result& result,
                             time_point now);

    /// Handles the failure to dispatch a run; the run must not start afterwards.
    ledger_effects run_refused(const request_id& request, const std::string& reason,
                               time_point now);

    /// Handles the answer of a target to `query`. Ignored unless the run has ended.
    ledger_effects target_reported(const query_target& query, const booking_result& result,
                                   time_point now);

    /// Expires deadlines and issues the platform calls that are due.
    ledger_effects tick(time_point now);

    /// Returns when `tick` must be called next, or the maximum time if nothing is due.
    time_point next_timer() const;

    /// Returns whether new bookings are refused because a platform call failed recently.
    bool platform_is_down(time_point now) const;

    /// Returns the number of bookings in progress, including those with a result to be stored.
    std::size_t bookings_in_progress() const;

    /// Returns the number of expired objects deleted so far.
    std::uint64_t objects_deleted() const;

    /// Returns the number of records held in memory.
    std::size_t records_held() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endivelatch
