#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/platform/object.hpp"
#include "endivelatch/wire/message.hpp"

#include <string>
#include <variant>
#include <vector>

/// Booking requests, their results, and the effects that the ledger returns to its router.
namespace endivelatch {

/// A request to run a booking at most once per idempotency key.
struct booking {
    request_id request;
    organisation_id organisation;
    booking_key key;
    std::string body_digest;                           ///< Binary SHA-256 of the body.
    duration start_within = std::chrono::seconds{10};  ///< Deadline to start the run.
    duration answer_within = std::chrono::seconds{60}; ///< Deadline to answer the request.
};

/// The result of a booking's run, as reported by its target.
struct booking_result {
    outcome result = outcome::unknown;
    std::int32_t status = 0; ///< HTTP status returned by the target.
    std::string content_type;
    payload body;
};

/// Effect: dispatch the call of the request now, since its record is stored.
struct start_booking {
    request_id request;
    organisation_id organisation;
    booking_key key;
};

/// Effect: answer one booking request.
struct booking_answer {
    request_id request;
    booking_result result;
    std::string reason;     ///< Set for every outcome except complete.
    duration retry_after{}; ///< Zero if a retry cannot succeed.
    /// For not_run: true if no request had run this key when the ledger decided. Another pending
    /// request with the same key may still run it. False if the records were not consulted.
    bool key_unused = false;
};

/// Effect: query the target, if it supports this, for the result of a run that another router
/// started.
struct query_target {
    organisation_id organisation;
    booking_key key;
    std::string start_id; ///< See `booking_record::start_id`.
};

/// An action that the router must carry out for the ledger.
using ledger_effect = std::variant<platform_call, start_booking, booking_answer, query_target>;

/// Effects, to be carried out in this order.
using ledger_effects = std::vector<ledger_effect>;

} // namespace endivelatch
