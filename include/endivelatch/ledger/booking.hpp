#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/platform/object.hpp"
#include "endivelatch/wire/message.hpp"

#include <string>
#include <variant>
#include <vector>

/// A booking as the ledger receives it, and what the ledger asks of its router.
namespace endivelatch {

/// One request to run a booking.
struct booking {
    request_id request;
    organisation_id organisation;
    booking_key key;
    std::string body_digest;                           ///< SHA-256 of the body, as bytes.
    duration start_within = std::chrono::seconds{10};  ///< The run starts by then or never.
    duration answer_within = std::chrono::seconds{60}; ///< The request is answered by then.
};

/// The end of a booking's run, as reported by its target.
struct booking_result {
    outcome result = outcome::unknown;
    std::int32_t status = 0; ///< HTTP status of the target.
    std::string content_type;
    payload body;
};

/// Dispatch the request's call now; its record is stored.
struct start_booking {
    request_id request;
    organisation_id organisation;
    booking_key key;
};

/// The answer to one booking request.
struct booking_answer {
    request_id request;
    booking_result result;
    std::string reason;     ///< For every outcome but complete.
    duration retry_after{}; ///< Zero when a retry does not help.
    /// With not_run: no request had run this key when the ledger decided. Another request with
    /// the key that is still unanswered may run it. False where the ledger was not consulted.
    bool key_unused = false;
};

/// Ask the target, if it can say, what became of a run that another router started.
struct query_target {
    organisation_id organisation;
    booking_key key;
    std::string start_id; ///< Names the start, see `booking_record::start_id`.
};

/// What the ledger asks of its router.
using ledger_effect = std::variant<platform_call, start_booking, booking_answer, query_target>;

/// Effects in the order in which they must be carried out.
using ledger_effects = std::vector<ledger_effect>;

} // namespace endivelatch
