#pragma once

#include "endivelatch/ledger/booking.hpp"
#include "endivelatch/ledger/booking_record.hpp"
#include "endivelatch/ledger/ledger_settings.hpp"
#include "endivelatch/platform/call_id_source.hpp"
#include "live_booking.hpp"

#include <map>
#include <optional>
#include <string>

namespace endivelatch {

/// State shared by the buckets of one ledger.
struct ledger_context {
    const ledger_settings& settings;
    platform_call_id_source& calls;
    std::string run_name;                  ///< `router.incarnation`, the prefix of all start ids.
    std::uint64_t last_start_sequence = 0; ///< In the last assigned start id.
    time_point platform_down_until{};      ///< New bookings are refused before this time.
    ledger_effects* effects = nullptr;     ///< Receives the effects of the current event.
};

/// Reducer for one ledger object: its stored records as last read or written, its bookings in
/// progress, and at most one platform call at a time.
///
/// A write without an answer may or may not have taken effect. The object's version resolves it: a
/// read at a higher version shows whether the object contains the records of the write, and a later
/// successful write with the same expected version proves that the first can no longer take effect.
class ledger_bucket {
public:
    ledger_bucket(std::string name, ledger_context& context, time_point deletable_at);

    /// Handles a request. Answers it at once if the loaded records suffice.
    void book(const booking& request, time_point now);

    /// Handles the answer to this bucket's platform call.
    void answered(const platform_answer& answer, time_point now);

    /// Handles the end of a run that this bucket started.
    void run_ended(const std::string& name, const booking_result& result, time_point now);

    /// Handles the failure to dispatch a started booking.
    void run_refused(const std::string& name, const std::string& reason, time_point now);

    /// Handles the target's report of a run that another router started.
    void target_reported(const std::string& name, const std::string& start_id,
                         const booking_result& result, time_point now);

    /// Expires deadlines and issues the platform call that is due; a write only if `may_write`.
    /// Returns whether a write was issued.
    bool step(time_point now, bool may_write);

    /// Returns when `step` should be called next for anything but a write.
    time_point next_step() const;

    /// Returns when the next write is due, or the maximum time if there is none.
    time_point next_write() const;

    /// Returns the platform call in progress, if any.
    std::optional<platform_call_id> call_in_progress() const;

    /// Returns whether there are no bookings and no platform call in progress.
    bool is_idle() const { return live_.empty() && !call_; }

    /// Returns whether the booking is running on this router.
    bool is_running(const std::string& name) const;

    /// Returns whether a request for the booking can be handled without a new platform call, since
    /// the booking is in progress or its result is loaded.
    bool can_answer(const std::string& name) const;

    /// Returns the time of the last booking request.
    time_point last_used() const { return last_used_; }

    /// Returns the number of bookings in progress.
    std::size_t live_count() const { return live_.size(); }

    /// Returns the number of records held in memory.
    std::size_t record_count() const { return records_.size(); }

private:
    struct call_state {
        platform_call_id id;
        bool is_write = false;
        time_point timeout;
    };
    using live_map = std::map<std::string, live_booking, std::less<>>;
    using live_iterator = live_map::iterator;

    void add_waiter(live_iterator it, const booking& request, time_point now);
    void decide_from_records(live_iterator it, time_point now);
    void wait_for_foreign_run(live_iterator it, const booking_record& record, time_point now);
    void handle_start_stored(live_iterator it, time_point now);
    void finish_cancel(live_iterator it, bool key_unused);
    void reset_failed_write(time_point now);

    void handle_read(const objects_found& found, time_point now);
    void apply_loaded_records(time_point now);
    void reconcile(live_iterator it, time_point now);
    void handle_write_done(object_version version, time_point now);
    void handle_record_written(live_iterator it, time_point now);
    void handle_call_failure(bool was_write, bool may_have_taken_effect, time_point now);
    void refuse_unwritten();
    void assume_written(time_point now);
    void abandon_all();

    void expire(time_point now);
    bool expire_waiters(live_iterator it, time_point now);
    void issue_read(time_point now);
    void issue_write(time_point now);
    booking_record record_for(const live_booking& live) const;
    void cache_record(const std::string& name, booking_record record);
    bool has_capacity() const;

    void answer(const waiter& to, booking_result result, std::string reason = {},
                duration retry_after = {}, bool key_unused = false);
    void answer_all(live_booking& live, const booking_result& result, const std::string& reason,
                    duration retry_after = {}, bool key_unused = false);
    void answer_from_record(live_booking& live, const booking_record& record);

    std::string name_;
    ledger_context& context_;
    booking_records records_; ///< As stored at `version_`.
    json_members members_;    ///< `records_` serialised for the next write.
    object_version version_;
    std::size_t stored_bytes_ = 0;
    bool loaded_ = false;
    bool needs_read_ = true;
    bool write_unresolved_ = false; ///< A write that expects `version_` may still take effect.
    std::optional<call_state> call_;
    live_map live_;
    time_point next_attempt_{};
    time_point last_used_{};
    time_point deletable_at_; ///< From this time, any router may delete the object.
};

} // namespace endivelatch
