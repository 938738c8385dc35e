#pragma once

#include "endivelatch/ledger/booking.hpp"
#include "endivelatch/ledger/booking_record.hpp"
#include "endivelatch/ledger/ledger_settings.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <memory>
#include <set>
#include <string>

namespace endivelatch {

/// Reducer of the booking ledger on one router.
///
/// Bookings are recorded in objects `ledger/<shard>/<bucket>` of the platform: the key's hash
/// selects the shard and the time in the key the bucket. The owner of a shard groups the changes
/// of many bookings into one conditional update. Ownership only saves conflicts: routers that
/// disagree about it stay correct, because the version check admits one update at a time.
///
/// A run is ordered only after its record is known to be stored, and before its start deadline.
/// A booking that another run of a router started is never started again and never called
/// not_run. A started booking that was not dispatched is cancelled before not_run is said.
class ledger {
public:
    /// Makes an empty ledger; `calls` must outlive it. The router and its run name the starts.
    ledger(const router_id& router, incarnation run, ledger_settings settings,
           platform_call_id_source& calls);
    ~ledger();
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;
    ledger(ledger&&) noexcept;
    ledger& operator=(ledger&&) noexcept;

    /// Sets the shards for which bookings are taken; those in progress go on.
    void set_owned(std::set<std::uint32_t> shards);

    /// Returns whether bookings of the shard are taken.
    bool owns(std::uint32_t shard) const;

    /// Sets the age at which keys are refused; at most the records' retention.
    void set_key_retention(duration retention);

    /// Takes a request to run a booking. A repeated request id is answered once.
    ledger_effects book(const booking& request, wall_time wall, time_point now);

    /// Takes an answer of the platform; answers to other reducers' calls are ignored.
    ledger_effects answered(const platform_answer& answer, time_point now);

    /// Takes the end of the run that `start_booking` ordered for the request.
    ledger_effects run_ended(const request_id& request, const booking_result& result,
                             time_point now);

    /// Takes the notice that the ordered run was not dispatched and never will be.
    ledger_effects run_refused(const request_id& request, const std::string& reason,
                               time_point now);

    /// Takes what a target says about the run named by `question`.
    ledger_effects target_said(const query_target& question, const booking_result& result,
                               time_point now);

    /// Carries out what is due.
    ledger_effects tick(time_point now);

    /// Returns when `tick` must be called next, the greatest time when nothing is due.
    time_point next_timer() const;

    /// Returns whether the platform was found down and new bookings are refused.
    bool platform_is_down(time_point now) const;

    /// Returns the number of bookings in progress, results that wait to be stored included.
    std::size_t bookings_in_progress() const;

    /// Returns the number of expired objects that were deleted.
    std::uint64_t objects_deleted() const;

    /// Returns the number of records held in memory.
    std::size_t records_held() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endivelatch
