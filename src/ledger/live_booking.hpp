#pragma once

#include "endivelatch/ledger/booking.hpp"
#include "endivelatch/ledger/booking_record.hpp"

#include <string>
#include <vector>

namespace endivelatch {

/// Stage of a booking in progress.
enum class booking_stage {
    undecided,  ///< The stored records were not checked yet.
    queued,     ///< The start record is to be written and is in no pending write.
    writing,    ///< The start record is in a write whose result is not known yet.
    running,    ///< The start record is stored and the run was started.
    saving,     ///< The run has ended and its result is to be written.
    cancelling, ///< The start is stored but was not dispatched; to be cancelled.
    foreign,    ///< Started by another router or incarnation; wait for its result.
};

/// A request that waits for the result of a booking.
struct waiter {
    request_id request;
    time_point start_by;
    time_point answer_by;
};

/// A booking in progress on this router.
struct live_booking {
    booking_stage stage = booking_stage::undecided;
    std::string digest;
    std::string start_id; ///< Empty until a start is queued or found in the store.
    organisation_id organisation;
    booking_key key;
    std::vector<waiter> waiters;   ///< Empty after all requests were answered.
    request_id dispatched_request; ///< The request whose call is dispatched.
    bool in_write = false;         ///< Part of the write in progress.
    booking_record final_record;   ///< The record to write in stage saving.
    std::string reason;            ///< Reason for not_run in stage cancelling.
    time_point due;                ///< In saving: write by then; in foreign: time of the next read.
    time_point foreign_until;      ///< In foreign: waiters are answered with unknown from then on.
};

} // namespace endivelatch
