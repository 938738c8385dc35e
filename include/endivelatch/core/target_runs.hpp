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

/// Work that a run has done, for the admission's account.
struct finished_run {
    attempt_key key;
    target_id target;
    std::uint32_t work_tokens = 0;
};

/// The attempts that this router runs, or ran lately, on targets that it owns.
/// Numbers the events of each answer, keeps them for callers that return, and ends each
/// answer with an outcome.
class target_runs {
public:
    explicit target_runs(const router_settings& settings) : settings_{settings} {}

    /// Takes a request; returns false when it is a repetition or was declared as never seen.
    bool accept(const peer_envelope& from, const forward_request& message, const moment& at,
                outbox& out);

    /// Calls the target for an accepted request.
    void start(const attempt_key& key, const target_document& target, outbox& out);

    /// Ends an accepted request that was never started.
    void refuse(const attempt_key& key, const std::string& reason, duration retry_after,
                const moment& at, outbox& out);

    /// Takes what the target sent.
    void answered(const target_answered& e, std::string hint, outbox& out);
    void sent(const target_data_received& e, outbox& out);
    void closed(const target_closed& e, const moment& at, outbox& out);

    /// Takes messages of the routers that subscribe to runs.
    void credit(const peer_envelope& from, const answer_credit& message, outbox& out);
    void resume(const peer_envelope& from, const resume_request& message, outbox& out);
    void status(const peer_envelope& from, const status_query& message, const moment& at,
                outbox& out);

    /// Cancels a run by order of its subscriber; returns whether it still waited to start.
    bool cancel(const peer_envelope& from, const cancel_request& message, const moment& at,
                outbox& out);

    /// Drops ended runs whose time has passed.
    void tick(const moment& at);

    /// Returns the request that an attempt runs, or nothing when it is unknown or ended.
    const forward_request* request_of(const attempt_key& key) const;

    /// Returns the runs that ended since the last call.
    std::vector<finished_run> take_finished();

    /// Returns how many runs have not ended.
    std::size_t running() const { return running_; }

private:
    struct run {
        forward_request request;
        router_id subscriber;
        attempt_state state = attempt_state::queued;
        target_contract contract;
        std::optional<answer_begin> begin;
        std::deque<payload> events; ///< Kept for callers that return.
        std::size_t kept_bytes = 0;
        event_number dropped;  ///< Last event that is no longer kept.
        event_number last;     ///< Last event received from the target.
        event_number passed;   ///< Last event sent to the subscriber.
        event_number credited; ///< Last event that the subscriber has taken.
        bool saw_end_marker = false;
        bool target_paused = false;
        std::optional<answer_end> end;
        time_point forget_at;
    };

    /// Returns the run of an attempt, or null.
    run* find(const attempt_key& key);

    /// Sends to the subscriber what its window allows, and the end after the last event.
    void flush(run& r, outbox& out);

    /// Sets the outcome, frees the target's place and sends what remains.
    void finish(run& r, outcome result, std::string reason, duration retry_after, const moment& at,
                outbox& out);

    /// Returns the outcome of a run whose target has closed.
    static outcome judge(const run& r, const std::optional<target_call_failure>& failure);

    /// Drops the oldest kept events above the bound, as far as they were sent.
    void trim(run& r) const;

    const router_settings& settings_;
    std::map<attempt_key, run> runs_;
    std::map<attempt_key, time_point> never_seen_; ///< Attempts that must not start later.
    std::multimap<time_point, attempt_key> expiry_;
    std::vector<finished_run> finished_;
    std::size_t running_ = 0;
};

} // namespace endivelatch
