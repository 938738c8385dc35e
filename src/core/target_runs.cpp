#include "endivelatch/core/target_runs.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr duration tombstone_retention = std::chrono::minutes{10};
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_server_error = 500;

bool is_refusal(int status)
{
    return status == status_too_many_requests || status == status_unavailable;
}

std::string attempt_id(const attempt_key& key)
{
    return to_string(key.request) + '/' + std::to_string(key.attempt.value());
}

} // namespace

target_runs::run* target_runs::find(const attempt_key& key)
{
    const auto it = runs_.find(key);
    return it == runs_.end() ? nullptr : &it->second;
}

bool target_runs::accept(const peer_envelope& from, const forward_request& message,
                         const moment& at, outbox& out)
{
    if (runs_.contains(message.key) || tombstones_.contains(message.key)) {
        out.count("forwards_dropped", "reason=\"repeated\"");
        return false;
    }
    auto& r = runs_[message.key];
    r.request = message;
    r.subscriber = from.from;
    r.expires_at = at.now + settings_.replay_retention;
    ++running_;
    return true;
}

void target_runs::start(const attempt_key& key, const target_document& target, outbox& out)
{
    auto* r = find(key);
    if (r == nullptr || r->state != attempt_state::queued) {
        return;
    }
    r->state = attempt_state::running;
    r->contract = target.contract;
    r->request.target = target.id;
    call_target call{key, target.id,       r->request.method, target.url + r->request.path,
                     {},  r->request.body, r->request.streams};
    call.may_repeat = r->request.repeat == repeatability::idempotent;
    call.headers = {{"content-type", r->request.content_type},
                    {"x-request-id", attempt_id(key)},
                    {"x-priority", std::to_string(r->request.priority)},
                    {"x-prefix-hash", std::to_string(r->request.prefix_hash)}};
    if (!r->request.idempotency_key.empty()) {
        call.headers.emplace_back("idempotency-key", r->request.idempotency_key.str());
    }
    out.log(log_event{"run_started"}
                .add("request", to_string(key.request))
                .add("attempt", key.attempt.value())
                .add("target", target.id)
                .add("organisation", r->request.organisation));
    out.count("runs_started");
    out.push(std::move(call));
}

void target_runs::refuse(const attempt_key& key, const std::string& reason, duration retry_after,
                         const moment& at, outbox& out)
{
    auto* r = find(key);
    if (r == nullptr || r->state != attempt_state::queued) {
        return;
    }
    finish(*r, outcome::not_run, reason, retry_after, at, out);
}

void target_runs::on_answered(const target_answered& e, std::string hint, outbox& out)
{
    auto* r = find(e.key);
    if (r == nullptr || r->state != attempt_state::running || r->begin) {
        return;
    }
    if (r->contract.refusal_means_not_run && is_refusal(e.status)) {
        r->begin = answer_begin{e.key, e.status, e.content_type, {}};
        return;
    }
    r->begin = answer_begin{e.key, e.status, e.content_type, std::move(hint)};
    out.send(r->subscriber, *r->begin);
}

void target_runs::on_data(const target_data_received& e, outbox& out)
{
    auto* r = find(e.key);
    if (r == nullptr || r->state != attempt_state::running || !r->begin) {
        out.count("target_answers_dropped");
        return;
    }
    if (e.is_end_marker) {
        r->end_marker_received = true;
        return;
    }
    r->last_received = r->last_received.next();
    r->buffered_bytes += e.data->size();
    r->events.push_back(e.data);
    flush(*r, out);
    trim_buffer(*r);
    const bool full = r->buffered_bytes > settings_.replay_bytes;
    if (full && !r->target_paused) {
        r->target_paused = true;
        out.push(pause_target_call{e.key, true});
    }
}

outcome target_runs::determine_outcome(const run& r,
                                       const std::optional<target_call_failure>& failure)
{
    if (failure && !failure->request_bytes_sent) {
        return outcome::not_run;
    }
    if (failure) {
        return r.begin ? outcome::failed : outcome::unknown;
    }
    if (!r.begin) {
        return outcome::unknown;
    }
    if (r.contract.refusal_means_not_run && is_refusal(r.begin->status)) {
        return outcome::not_run;
    }
    if (r.begin->status >= status_server_error) {
        return outcome::failed;
    }
    const bool truncated = r.request.streams && !r.end_marker_received;
    return truncated ? outcome::failed : outcome::complete;
}

void target_runs::on_closed(const target_closed& e, const moment& at, outbox& out)
{
    auto* r = find(e.key);
    if (r == nullptr || r->state != attempt_state::running) {
        return;
    }
    auto result = determine_outcome(*r, e.failure);
    const bool outcome_unknown = result == outcome::failed && e.failure &&
                                 r->request.repeat == repeatability::non_idempotent;
    if (outcome_unknown) {
        result = outcome::unknown;
    }
    std::string reason;
    if (e.failure) {
        reason = "target \"" + r->request.target.str() + "\": " + e.failure->reason;
    }
    else if (result != outcome::complete) {
        reason = "target \"" + r->request.target.str() + "\" answered with status " +
                 std::to_string(r->begin ? r->begin->status : 0) +
                 (r->request.streams && !r->end_marker_received ? " and no end marker" : "");
    }
    finish(*r, result, std::move(reason), {}, at, out);
}

void target_runs::finish(run& r, outcome result, std::string reason, duration retry_after,
                         const moment& at, outbox& out)
{
    r.state = attempt_state::ended;
    r.end = answer_end{r.request.key, result, r.last_received, std::move(reason), retry_after};
    r.expires_at = at.now + settings_.replay_retention;
    expiry_.emplace(r.expires_at, r.request.key);
    --running_;
    finished_.push_back({r.request.key, r.request.target, r.request.work_tokens});
    out.log(log_event{"run_ended"}
                .add("request", to_string(r.request.key.request))
                .add("attempt", r.request.key.attempt.value())
                .add("target", r.request.target)
                .add("outcome", to_string(result))
                .add("events", r.last_received.value())
                .add("reason", r.end->reason));
    flush(r, out);
    r.request.body.reset();
}

void target_runs::flush(run& r, outbox& out)
{
    const auto window = r.last_credited.value() + settings_.window_events;
    while (r.last_sent < r.last_received && r.last_sent.value() < window) {
        r.last_sent = r.last_sent.next();
        const auto index = r.last_sent.value() - r.last_dropped.value() - 1;
        out.send(r.subscriber, answer_event{r.request.key, r.last_sent, r.events[index]});
    }
    if (r.end && r.last_sent == r.last_received) {
        out.send(r.subscriber, *r.end);
    }
}

void target_runs::trim_buffer(run& r) const
{
    while (r.buffered_bytes > settings_.replay_bytes && r.last_dropped < r.last_credited) {
        r.buffered_bytes -= r.events.front()->size();
        r.events.pop_front();
        r.last_dropped = r.last_dropped.next();
    }
}

void target_runs::credit(const peer_envelope& from, const answer_credit& message, outbox& out)
{
    auto* r = find(message.key);
    if (r == nullptr || r->subscriber != from.from || message.taken > r->last_sent) {
        return;
    }
    r->last_credited = std::max(r->last_credited, message.taken);
    trim_buffer(*r);
    const bool has_room = r->buffered_bytes <= settings_.replay_bytes;
    if (r->target_paused && has_room && r->state == attempt_state::running) {
        r->target_paused = false;
        out.push(pause_target_call{message.key, false});
    }
    if (r->last_sent < r->last_received) {
        flush(*r, out);
    }
}

void target_runs::resume(const peer_envelope& from, const resume_request& message, outbox& out)
{
    const auto first = runs_.lower_bound(attempt_key{message.request, attempt{0}});
    auto latest = runs_.end();
    for (auto it = first; it != runs_.end() && it->first.request == message.request; ++it) {
        latest = it;
    }
    const bool known = latest != runs_.end();
    if (!known || latest->second.request.organisation != message.organisation ||
        message.after < latest->second.last_dropped ||
        message.after > latest->second.last_received) {
        out.send(from.from, status_answer{{message.request, attempt{0}},
                                          attempt_state::never_seen,
                                          outcome::unknown});
        return;
    }
    auto& r = latest->second;
    r.subscriber = from.from;
    r.last_sent = message.after;
    r.last_credited = message.after;
    out.count("streams_resumed");
    if (r.begin) {
        out.send(r.subscriber, *r.begin);
    }
    flush(r, out);
}

void target_runs::status(const peer_envelope& from, const status_query& message, const moment& at,
                         outbox& out)
{
    const auto* r = find(message.key);
    if (r == nullptr) {
        tombstones_[message.key] = at.now + tombstone_retention;
        expiry_.emplace(at.now + tombstone_retention, message.key);
        out.send(from.from,
                 status_answer{message.key, attempt_state::never_seen, outcome::unknown});
        return;
    }
    out.send(from.from,
             status_answer{message.key, r->state, r->end ? r->end->result : outcome::unknown});
}

bool target_runs::cancel(const peer_envelope& from, const cancel_request& message, const moment& at,
                         outbox& out)
{
    auto* r = find(message.key);
    if (r == nullptr || r->subscriber != from.from || r->state == attempt_state::ended) {
        return false;
    }
    const bool was_queued = r->state == attempt_state::queued;
    if (!was_queued) {
        out.push(cancel_target_call{message.key});
    }
    finish(*r, was_queued ? outcome::not_run : outcome::unknown, "cancelled", {}, at, out);
    return was_queued;
}

void target_runs::tick(const moment& at)
{
    while (!expiry_.empty() && expiry_.begin()->first <= at.now) {
        const auto key = expiry_.begin()->second;
        expiry_.erase(expiry_.begin());
        tombstones_.erase(key);
        const auto it = runs_.find(key);
        if (it != runs_.end() && it->second.state == attempt_state::ended &&
            it->second.expires_at <= at.now) {
            runs_.erase(it);
        }
    }
}

const forward_request* target_runs::request_of(const attempt_key& key) const
{
    const auto it = runs_.find(key);
    const bool active = it != runs_.end() && it->second.state != attempt_state::ended;
    return active ? &it->second.request : nullptr;
}

std::vector<finished_run> target_runs::take_finished()
{
    return std::exchange(finished_, {});
}

} // namespace endivelatch
