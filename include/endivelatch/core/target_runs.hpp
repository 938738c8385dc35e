#pragma once

#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/core/outbox.hpp"
#include "endivelatch/core/router_settings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// A run that ended, reported to admission.
struct finished_run {
    attempt_key key;
    target_id target;
    std::uint32_t work_tokens = 0;
};

/// Manages the attempts that this router runs, or has run recently, on targets that it owns.
/// Numbers the events of each response, buffers them for resuming callers, and ends each response
/// with an outcome.
class target_runs {
public:
    explicit target_runs(const router_settings& settings) : settings_{settings} {}

    /// Accepts a request. Returns false if the attempt is a duplicate or was reported as never
    /// seen.
    bool accept(const peer_envelope& from, const forward_request& message, const moment& at,
                outbox& out);

    /// Calls the target for an accepted request.
    void start(const attempt_key& key, const target_document& target, outbox& out);

    /// Ends an accepted request that has not started, with outcome `not_run`.
    void refuse(const attempt_key& key, const std::string& reason, duration retry_after,
                const moment& at, outbox& out);

    /// Handle the target's response.
    void on_answered(const target_answered& e, std::string hint, outbox& out);
    void on_data(const target_data_received& e, outbox& out);
    void on_closed(const target_closed& e, const moment& at, outbox& out);

    /// Handle messages from the routers that subscribe to runs.
    void credit(const peer_envelope& from, const answer_credit& message, outbox& out);
    void resume(const peer_envelope& from, const resume_request& message, outbox& out);
    void status(const peer_envelope& from, const status_query& message, const moment& at,
                outbox& out);

    /// Cancels a run at the request of its subscriber. Returns whether it was still queued.
    bool cancel(const peer_envelope& from, const cancel_request& message, const moment& at,
                outbox& out);

    /// Removes expired runs and tombstones.
    void tick(const moment& at);

    /// Returns the request of an attempt, or null if the attempt is unknown or has ended.
    const forward_request* request_of(const attempt_key& key) const;

    /// Returns the runs that ended since the last call.
    std::vector<finished_run> take_finished();

    /// Returns the number of runs that have not ended.
    std::size_t running() const { return running_; }

private:
    struct run {
        forward_request request;
        router_id subscriber;
        attempt_state state = attempt_state::queued;
        target_contract contract;
        std::optional<answer_begin> begin;
        std::deque<payload> events; ///< Buffered events after `last_dropped`.
        std::size_t buffered_bytes = 0;
        event_number last_dropped;  ///< Last event removed from the buffer.
        event_number last_received; ///< Last event received from the target.
        event_number last_sent;     ///< Last event sent to the subscriber.
        event_number last_credited; ///< Last event acknowledged by the subscriber.
        bool end_marker_received = false;
        bool target_paused = false;
        std::optional<answer_end> end;
        time_point expires_at;
    };

    /// Returns the run of an attempt, or null.
    run* find(const attempt_key& key);

    /// Sends the events that the subscriber's window allows, and the end after the last event.
    void flush(run& r, outbox& out);

    /// Sets the outcome, reports the run as finished and sends the remaining events.
    void finish(run& r, outcome result, std::string reason, duration retry_after, const moment& at,
                outbox& out);

    /// Returns the outcome of a run whose target call has ended.
    static outcome determine_outcome(const run& r,
                                     const std::optional<target_call_failure>& failure);

    /// Drops the oldest events while the buffer is over its limit, but only acknowledged ones.
    void trim_buffer(run& r) const;

    const router_settings& settings_;
    std::map<attempt_key, run> runs_;
    /// Attempts reported as never seen, which must not start later, with their expiry.
    std::map<attempt_key, time_point> tombstones_;
    std::multimap<time_point, attempt_key> expiry_;
    std::vector<finished_run> finished_;
    std::size_t running_ = 0;
};

} // namespace endivelatch
