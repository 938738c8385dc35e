#pragma once

#include "endivelatch/core/entry_requests.hpp"
#include "endivelatch/core/outbox.hpp"
#include "endivelatch/ledger/ledger.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Starts a request whose response is recorded in the ledger.
using booking_starter =
    std::function<void(booking_sink sink, request_spec spec, const moment& at, outbox& out)>;

/// Runs the bookings of the ledger shards that this router owns. Submits each booking to the
/// ledger, starts the run once the ledger allows it, and sends the result to the entry router.
class booking_runs {
public:
    booking_runs(const router_id& router, incarnation run, platform_call_id_source& calls,
                 booking_starter start);

    /// Sets the ledger shards that this router owns.
    void set_owned(std::set<std::uint32_t> shards) { ledger_.set_owned(std::move(shards)); }

    /// Sets the age from which a booking key is rejected as expired.
    void set_key_retention(duration retention) { ledger_.set_key_retention(retention); }

    /// Sets the time limit for running a booking.
    void set_run_timeout(duration timeout) { run_timeout_ = timeout; }

    /// Handles a booking request from its entry router.
    void book(const peer_envelope& from, const booking_request& message, const moment& at,
              outbox& out);

    /// Handles one part of the response to a booking's run.
    void on_output(const request_id& booking, const sink_output& output, const moment& at,
                   outbox& out);

    /// Handles a platform response; responses to calls of other components are ignored.
    void on_platform_answered(const platform_answer& answer, const moment& at, outbox& out);

    /// Answers a status query for a booking. Returns false if the booking is unknown.
    bool status(const peer_envelope& from, const status_query& message, outbox& out) const;

    /// Performs all actions whose time has come.
    void tick(const moment& at, outbox& out);

    /// Returns the time at which `tick` must be called next.
    time_point next_timer() const { return ledger_.next_timer(); }

    /// Returns the number of bookings in progress.
    std::size_t in_progress() const { return ledger_.bookings_in_progress(); }

private:
    struct pending_booking {
        attempt_key key; ///< Latest attempt made by the entry router.
        router_id subscriber;
        forward_request call;
        booking_result result; ///< Filled in as the response arrives.
        std::string body;
    };

    /// Performs the effects returned by the ledger.
    void apply(const ledger_effects& effects, const moment& at, outbox& out);
    void start_run(const request_id& booking, const moment& at, outbox& out);
    void send_answer(const booking_answer& a, outbox& out);
    void end_run(const request_id& booking, const answer_end& end, const moment& at, outbox& out);

    ledger ledger_;
    booking_starter start_;
    duration run_timeout_ = std::chrono::minutes{5};
    std::unordered_map<request_id, pending_booking> bookings_;
};

} // namespace endivelatch
