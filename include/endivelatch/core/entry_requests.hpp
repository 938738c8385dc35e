#pragma once

#include "endivelatch/core/outbox.hpp"
#include "endivelatch/core/request_spec.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Returns a route for a request that avoids the targets already tried, if there is one.
using route_finder = std::function<std::optional<route>(
    const request_spec& spec, const std::vector<target_id>& tried, const moment& at)>;

/// Returns whether the retry budget allows another attempt for an organisation's request.
using retry_permit = std::function<bool(const organisation_id& organisation, const moment& at)>;

/// One part of a response, addressed to the request's sink.
struct sink_output {
    answer_sink sink;
    request_id request;
    bool streams = false;
    std::variant<answer_begin, answer_event, answer_end> part;
    router_id owner;
};

/// Tracks the requests that entered the fleet at this router until their responses end.
/// Forwards each request to the owner of a target, retries it where that is safe, and
/// determines its outcome.
class entry_requests {
public:
    entry_requests(router_id self, incarnation run, route_finder find_route,
                   retry_permit may_retry);

    /// Starts a request whose response goes to `sink`. Returns the identifier of the request.
    request_id start(answer_sink sink, request_spec spec, const moment& at, outbox& out);

    /// Resumes the response of a request after the last event that the caller received; the request
    /// may have entered at any router. Returns false if it is known to belong to another
    /// organisation.
    bool resume(exchange_number exchange, const request_id& request, const route& owner,
                const organisation_id& organisation, event_number after, const moment& at,
                outbox& out);

    /// Handle messages from an owner. Messages that match no current attempt are dropped and
    /// counted.
    void on_begin(const peer_envelope& from, const answer_begin& message, outbox& out);
    void on_event(const peer_envelope& from, const answer_event& message, outbox& out);
    void on_end(const peer_envelope& from, const answer_end& message, const moment& at,
                outbox& out);
    void on_status(const peer_envelope& from, const status_answer& message, const moment& at,
                   outbox& out);

    /// Queries the status of every request that `peer` runs, since messages on the link may be
    /// lost.
    void on_link_lost(const router_id& peer, const moment& at, outbox& out);

    /// Treats every attempt run by `peer` as lost because the peer is dead or has restarted.
    void on_peer_lost(const router_id& peer, const moment& at, outbox& out);

    /// Grants the owner credit for the events that the sink has consumed.
    void on_sink_drained(const request_id& request, outbox& out);

    /// Handles a closed caller connection. A streamed response that has begun is kept for `grace`,
    /// so that the caller can resume it at any router; other requests are cancelled, except
    /// bookings.
    void on_caller_closed(exchange_number exchange, duration grace, const moment& at, outbox& out);

    /// Cancels a request. Returns false if the organisation has no such request at this router.
    bool cancel(const request_id& request, const organisation_id& organisation, outbox& out);

    /// Performs the retries, timeouts and grace period ends that are due.
    void tick(const moment& at, outbox& out);

    /// Returns the time at which `tick` must be called next, if any.
    std::optional<time_point> next_timer() const;

    /// Returns the request that an exchange belongs to.
    std::optional<request_id> request_of(exchange_number exchange) const;

    /// Returns the number of requests without a final outcome.
    std::size_t size() const { return requests_.size(); }

    /// Returns the outputs produced since the last call.
    std::vector<sink_output> take_outputs();

private:
    enum class phase {
        waiting,   ///< Waiting for a route or for a retry.
        forwarded, ///< Sent to the owner; no event received yet.
        answering, ///< The response has begun.
        querying,  ///< Waiting for the owner to report the attempt's status.
    };

    struct pending_request {
        answer_sink sink;
        request_spec spec;
        phase state = phase::waiting;
        endivelatch::attempt attempt;
        route owner;
        std::vector<target_id> tried;
        event_number delivered;    ///< Last event delivered to the sink.
        event_number credited;     ///< Last event for which the owner was granted credit.
        bool begun = false;        ///< The beginning of the response was delivered to the sink.
        bool may_have_run = false; ///< The outcome of an earlier attempt is unknown.
        bool caller_disconnected = false;
        std::string last_reason; ///< Why the last attempt ended without a final outcome.
        duration retry_after{};
        time_point ends_at{}; ///< The current attempt is given up then.
        time_point timer;
    };

    using request_map = std::unordered_map<request_id, pending_request>;

    /// Returns the request if the message belongs to its current attempt and owner, else null.
    pending_request* find_current_attempt(const peer_envelope& from, const attempt_key& key,
                                          outbox& out);

    /// Sends the next attempt, waits for a route, or ends the request if its deadline has passed.
    void try_route(const request_id& id, pending_request& r, const moment& at, outbox& out);

    /// Handles an attempt that was definitely not run.
    void on_attempt_not_run(const request_id& id, const moment& at, outbox& out);

    /// Handles an attempt that may have run: retries it if that is safe and the retry budget allows
    /// it, else ends the request as unknown.
    void on_attempt_unknown(const request_id& id, std::string reason, const moment& at,
                            outbox& out);

    /// Reports the final outcome to the sink and removes the request.
    void end_request(const request_id& id, outcome result, std::string reason, outbox& out);

    /// Schedules the request's timer, replacing its previous one.
    void arm_timer(const request_id& id, pending_request& r, time_point when);

    /// Handles the expiry of a request's timer.
    void expire(const request_id& id, const moment& at, outbox& out);

    /// Returns whether the status of the request's attempt is queried at intervals: bookings and
    /// their runs, for whose answers a stopping router waits.
    static bool is_queried(const pending_request& r);

    /// Returns whether the request runs a booking on behalf of the ledger.
    static bool is_run_of_booking(const pending_request& r);

    /// Schedules the end of the current attempt or, if it is queried, the next query.
    void arm_attempt_timer(const request_id& id, pending_request& r, const moment& at);

    /// Asks the owner for the status of the current attempt.
    void query_status(const request_id& id, pending_request& r, const moment& at, outbox& out);

    router_id self_;
    incarnation run_;
    route_finder find_route_;
    retry_permit may_retry_;
    std::uint64_t last_sequence_ = 0;
    request_map requests_;
    std::unordered_map<exchange_number, request_id> by_exchange_;
    std::multimap<time_point, request_id> timers_;
    std::vector<sink_output> outputs_;
};

} // namespace endivelatch
