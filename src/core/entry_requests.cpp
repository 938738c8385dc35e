#include "endivelatch/core/entry_requests.hpp"

#include "endivelatch/base/digest.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr duration retry_interval = std::chrono::milliseconds{50};
constexpr duration status_query_timeout = std::chrono::seconds{2};
constexpr duration resume_timeout = std::chrono::minutes{5};
constexpr duration run_timeout_margin = std::chrono::seconds{5};
/// Interval between queries of the status of a forwarded booking or of its run. An owner that has
/// just restarted does not know this router yet, so its answer may be lost without a lost link.
constexpr duration booking_query_interval = std::chrono::seconds{5};
constexpr std::uint64_t events_per_credit = 32;

forward_request to_forward(const request_spec& spec, const attempt_key& key, const route& to,
                           const moment& at)
{
    forward_request message;
    message.key = key;
    message.target = to.target;
    message.organisation = spec.organisation;
    message.caller = spec.caller;
    message.chat = spec.chat;
    message.prefix_hash = spec.prefix_hash;
    message.work_tokens = spec.work_tokens;
    message.priority = spec.priority;
    message.deadline = std::min(spec.start_by - at.now, to.wait);
    message.repeat = spec.repeat;
    message.method = spec.method;
    message.path = spec.path;
    message.streams = spec.streams;
    message.content_type = spec.content_type;
    message.body = spec.body;
    message.idempotency_key = spec.key.empty() ? spec.target_key : spec.key;
    return message;
}

peer_message to_message(const request_spec& spec, const attempt_key& key, const route& to,
                        const moment& at)
{
    auto forward = to_forward(spec, key, to, at);
    const bool for_ledger = !spec.key.empty() && to.target.empty();
    if (!for_ledger) {
        return forward;
    }
    forward.path = spec.pool.str() + spec.path;
    auto digest = sha256(spec.body ? *spec.body : std::string{});
    return booking_request{std::move(forward), spec.key, std::move(digest)};
}

} // namespace

entry_requests::entry_requests(router_id self, incarnation run, route_finder find_route,
                               retry_permit may_retry)
    : self_{std::move(self)}, run_{run}, find_route_{std::move(find_route)}, may_retry_{std::move(
                                                                                 may_retry)}
{
}

request_id entry_requests::start(answer_sink sink, request_spec spec, const moment& at, outbox& out)
{
    request_id id{self_, run_, ++last_sequence_};
    auto& r = requests_[id];
    r.sink = sink;
    r.spec = std::move(spec);
    if (const auto* exchange = std::get_if<exchange_sink>(&sink)) {
        by_exchange_[exchange->exchange] = id;
    }
    out.count("requests_received");
    out.log(log_event{"request_received"}
                .add("request", to_string(id))
                .add("organisation", r.spec.organisation)
                .add("chat", r.spec.chat)
                .add("pool", r.spec.pool));
    try_route(id, r, at, out);
    return id;
}

void entry_requests::try_route(const request_id& id, pending_request& r, const moment& at,
                               outbox& out)
{
    if (at.now >= r.spec.start_by) {
        const auto result = r.may_have_run ? outcome::unknown : outcome::not_run;
        end_request(id, result, r.last_reason.empty() ? "no target in time" : r.last_reason, out);
        return;
    }
    auto found = find_route_(r.spec, r.tried, at);
    if (!found && !r.tried.empty()) {
        r.tried.clear();
    }
    if (!found) {
        r.state = phase::waiting;
        arm_timer(id, r, std::min(at.now + retry_interval, r.spec.start_by));
        return;
    }
    r.owner = std::move(*found);
    r.attempt = r.attempt.next();
    r.state = phase::forwarded;
    r.ends_at = r.spec.start_by + r.spec.run_timeout + run_timeout_margin;
    arm_attempt_timer(id, r, at);
    out.log(log_event{"request_forwarded"}
                .add("request", to_string(id))
                .add("attempt", r.attempt.value())
                .add("target", r.owner.target)
                .add("owner", r.owner.owner));
    out.send(r.owner.owner, to_message(r.spec, {id, r.attempt}, r.owner, at));
}

bool entry_requests::resume(exchange_number exchange, const request_id& request, const route& owner,
                            const organisation_id& organisation, event_number after,
                            const moment& at, outbox& out)
{
    const auto known = requests_.find(request);
    if (known != requests_.end() && known->second.spec.organisation != organisation) {
        out.count("foreign_requests_refused");
        return false;
    }
    auto& r = requests_[request];
    if (const auto* former = std::get_if<exchange_sink>(&r.sink)) {
        by_exchange_.erase(former->exchange);
    }
    r.sink = exchange_sink{exchange};
    r.spec.organisation = organisation;
    r.spec.streams = true;
    r.owner.owner = owner.owner;
    r.owner.owner_run = owner.owner_run;
    r.state = phase::answering;
    r.begun = false;
    r.caller_disconnected = false;
    r.delivered = after;
    r.credited = after;
    by_exchange_[exchange] = request;
    arm_timer(request, r, at.now + resume_timeout);
    out.log(log_event{"request_resumed"}
                .add("request", to_string(request))
                .add("owner", owner.owner)
                .add("after", after.value()));
    out.send(owner.owner, resume_request{request, organisation, r.owner.target, after});
    return true;
}

entry_requests::pending_request*
entry_requests::find_current_attempt(const peer_envelope& from, const attempt_key& key, outbox& out)
{
    const auto it = requests_.find(key.request);
    const bool matches = it != requests_.end() &&
                         (it->second.attempt == key.attempt || it->second.attempt == attempt{}) &&
                         it->second.owner.owner == from.from &&
                         it->second.owner.owner_run == from.from_incarnation;
    if (!matches) {
        out.count("answers_dropped", "reason=\"no_such_attempt\"");
        return nullptr;
    }
    it->second.attempt = key.attempt;
    return &it->second;
}

void entry_requests::on_begin(const peer_envelope& from, const answer_begin& message, outbox& out)
{
    auto* r = find_current_attempt(from, message.key, out);
    if (r == nullptr || r->begun) {
        return;
    }
    r->begun = true;
    r->state = phase::answering;
    outputs_.push_back({r->sink, message.key.request, r->spec.streams, message, r->owner.owner});
}

void entry_requests::on_event(const peer_envelope& from, const answer_event& message, outbox& out)
{
    auto* r = find_current_attempt(from, message.key, out);
    if (r == nullptr) {
        return;
    }
    if (message.number != r->delivered.next()) {
        out.count("answers_dropped", "reason=\"out_of_order\"");
        return;
    }
    r->delivered = message.number;
    r->state = phase::answering;
    outputs_.push_back({r->sink, message.key.request, r->spec.streams, message, r->owner.owner});
}

void entry_requests::on_end(const peer_envelope& from, const answer_end& message, const moment& at,
                            outbox& out)
{
    auto* r = find_current_attempt(from, message.key, out);
    if (r == nullptr) {
        return;
    }
    const auto id = message.key.request;
    r->last_reason = message.reason;
    r->retry_after = message.retry_after;
    switch (message.result) {
    case outcome::complete:
        if (message.last == r->delivered) {
            end_request(id, outcome::complete, message.reason, out);
            return;
        }
        query_status(id, *r, at, out);
        return;
    case outcome::not_run:
        if (!r->spec.key.empty() && message.reason != not_owner_reason) {
            end_request(id, outcome::not_run, message.reason, out);
            return;
        }
        r->tried.push_back(r->owner.target);
        on_attempt_not_run(id, at, out);
        return;
    case outcome::failed:
        if (message.last != r->delivered) {
            out.count("answers_truncated");
        }
        end_request(id, outcome::failed, message.reason, out);
        return;
    case outcome::unknown:
        if (!r->spec.key.empty()) {
            end_request(id, outcome::unknown, message.reason, out);
            return;
        }
        on_attempt_unknown(id, message.reason, at, out);
        return;
    }
}

void entry_requests::on_status(const peer_envelope& from, const status_answer& message,
                               const moment& at, outbox& out)
{
    const auto it = requests_.find(message.key.request);
    const bool resume_refused =
        it != requests_.end() && message.key.attempt == attempt{} && !it->second.begun;
    if (resume_refused) {
        end_request(it->first, outcome::unknown, "the answer is no longer kept", out);
        return;
    }
    if (it == requests_.end() || it->second.state != phase::querying ||
        it->second.attempt != message.key.attempt || it->second.owner.owner != from.from) {
        out.count("answers_dropped", "reason=\"no_such_attempt\"");
        return;
    }
    auto& r = it->second;
    if (from.from_incarnation != r.owner.owner_run) {
        on_attempt_unknown(it->first, "the owner restarted", at, out);
        return;
    }
    const bool is_booking = !r.spec.key.empty();
    if (message.state == attempt_state::never_seen) {
        if (is_booking) {
            on_attempt_unknown(it->first, "the answer was lost", at, out);
            return;
        }
        on_attempt_not_run(it->first, at, out);
        return;
    }
    r.state = r.begun ? phase::answering : phase::forwarded;
    arm_attempt_timer(it->first, r, at);
    if (is_booking) {
        return;
    }
    out.send(from.from,
             resume_request{it->first, r.spec.organisation, r.owner.target, r.delivered});
}

bool entry_requests::is_queried(const pending_request& r)
{
    return !r.spec.key.empty() || is_run_of_booking(r);
}

bool entry_requests::is_run_of_booking(const pending_request& r)
{
    return std::holds_alternative<booking_sink>(r.sink);
}

void entry_requests::arm_attempt_timer(const request_id& id, pending_request& r, const moment& at)
{
    const auto next_query = std::min(at.now + booking_query_interval, r.ends_at);
    arm_timer(id, r, is_queried(r) ? next_query : r.ends_at);
}

void entry_requests::query_status(const request_id& id, pending_request& r, const moment& at,
                                  outbox& out)
{
    r.state = phase::querying;
    arm_timer(id, r, at.now + status_query_timeout);
    out.send(r.owner.owner, status_query{{id, r.attempt}});
}

void entry_requests::on_link_lost(const router_id& peer, const moment& at, outbox& out)
{
    for (auto& [id, r] : requests_) {
        const bool owned = r.owner.owner == peer && r.state != phase::waiting;
        if (owned && !r.caller_disconnected && r.state != phase::querying) {
            query_status(id, r, at, out);
        }
    }
}

void entry_requests::on_peer_lost(const router_id& peer, const moment& at, outbox& out)
{
    std::vector<request_id> lost;
    for (const auto& [id, r] : requests_) {
        if (r.owner.owner == peer && r.state != phase::waiting) {
            lost.push_back(id);
        }
    }
    for (const auto& id : lost) {
        on_attempt_unknown(id, "the router that ran it was lost", at, out);
    }
}

void entry_requests::on_attempt_not_run(const request_id& id, const moment& at, outbox& out)
{
    auto& r = requests_.at(id);
    if (r.begun) {
        end_request(id, outcome::unknown, "the answer was lost", out);
        return;
    }
    r.owner = {};
    out.count("attempts_not_run");
    try_route(id, r, at, out);
}

void entry_requests::on_attempt_unknown(const request_id& id, std::string reason, const moment& at,
                                        outbox& out)
{
    auto& r = requests_.at(id);
    const bool repeatable = r.spec.repeat == repeatability::idempotent || !r.spec.key.empty();
    r.may_have_run = true;
    if (r.begun || r.caller_disconnected || !repeatable || !may_retry_(r.spec.organisation, at)) {
        end_request(id, outcome::unknown, std::move(reason), out);
        return;
    }
    out.count("attempts_retried");
    r.last_reason = std::move(reason);
    r.tried.push_back(r.owner.target);
    r.owner = {};
    try_route(id, r, at, out);
}

void entry_requests::end_request(const request_id& id, outcome result, std::string reason,
                                 outbox& out)
{
    const auto it = requests_.find(id);
    auto& r = it->second;
    const auto final = result == outcome::not_run && r.may_have_run ? outcome::unknown : result;
    out.count("requests_ended", "outcome=\"" + std::string{to_string(final)} + '"');
    out.log(log_event{"request_ended"}
                .add("request", to_string(id))
                .add("outcome", to_string(final))
                .add("events", r.delivered.value())
                .add("target", r.owner.target)
                .add("reason", reason));
    if (const auto* exchange = std::get_if<exchange_sink>(&r.sink)) {
        by_exchange_.erase(exchange->exchange);
    }
    answer_end last{{id, r.attempt}, final, r.delivered, std::move(reason), r.retry_after};
    if (!r.caller_disconnected) {
        outputs_.push_back({r.sink, id, r.spec.streams, std::move(last), r.owner.owner});
    }
    requests_.erase(it);
}

void entry_requests::on_sink_drained(const request_id& request, outbox& out)
{
    const auto it = requests_.find(request);
    if (it == requests_.end()) {
        return;
    }
    auto& r = it->second;
    if (r.delivered.value() < r.credited.value() + events_per_credit) {
        return;
    }
    r.credited = r.delivered;
    out.send(r.owner.owner, answer_credit{{request, r.attempt}, r.delivered});
}

void entry_requests::on_caller_closed(exchange_number exchange, duration grace, const moment& at,
                                      outbox& out)
{
    const auto it = by_exchange_.find(exchange);
    if (it == by_exchange_.end()) {
        return;
    }
    const auto id = it->second;
    auto& r = requests_.at(id);
    r.caller_disconnected = true;
    out.log(log_event{"caller_left"}.add("request", to_string(id)));
    if (r.state == phase::waiting) {
        end_request(id, outcome::not_run, "the caller left", out);
        return;
    }
    by_exchange_.erase(it);
    const bool is_booking = !r.spec.key.empty();
    if (is_booking) {
        return;
    }
    const bool may_return = r.spec.streams && r.begun;
    arm_timer(id, r, may_return ? at.now + grace : at.now);
}

bool entry_requests::cancel(const request_id& request, const organisation_id& organisation,
                            outbox& out)
{
    const auto it = requests_.find(request);
    if (it == requests_.end() || it->second.spec.organisation != organisation) {
        return false;
    }
    auto& r = it->second;
    const bool waiting = r.state == phase::waiting;
    if (!waiting) {
        out.send(r.owner.owner, cancel_request{{request, r.attempt}});
    }
    end_request(request, waiting ? outcome::not_run : outcome::unknown, "cancelled", out);
    return true;
}

void entry_requests::arm_timer(const request_id& id, pending_request& r, time_point when)
{
    r.timer = when;
    timers_.emplace(when, id);
}

void entry_requests::tick(const moment& at, outbox& out)
{
    while (!timers_.empty() && timers_.begin()->first <= at.now) {
        const auto [when, id] = *timers_.begin();
        timers_.erase(timers_.begin());
        const auto it = requests_.find(id);
        if (it != requests_.end() && it->second.timer == when) {
            expire(id, at, out);
        }
    }
}

void entry_requests::expire(const request_id& id, const moment& at, outbox& out)
{
    auto& r = requests_.at(id);
    const bool is_booking = !r.spec.key.empty();
    const bool has_time = at.now < r.ends_at;
    const bool is_at_owner = r.state == phase::forwarded || r.state == phase::answering;
    if (is_queried(r) && is_at_owner && has_time) {
        query_status(id, r, at, out);
        return;
    }
    if (is_run_of_booking(r) && r.state == phase::querying && has_time) {
        // The owner may only be paused, so its run is not given up.
        r.state = r.begun ? phase::answering : phase::forwarded;
        arm_attempt_timer(id, r, at);
        return;
    }
    const bool is_unanswered_booking = is_booking && r.state == phase::querying;
    if (r.caller_disconnected && !is_unanswered_booking) {
        cancel(id, r.spec.organisation, out);
        return;
    }
    if (r.state == phase::waiting) {
        try_route(id, r, at, out);
        return;
    }
    if (r.state == phase::querying) {
        on_attempt_unknown(id, "the router that ran it does not answer", at, out);
        return;
    }
    out.send(r.owner.owner, cancel_request{{id, r.attempt}});
    end_request(id, outcome::unknown, "the run took too long", out);
}

std::optional<time_point> entry_requests::next_timer() const
{
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

std::optional<request_id> entry_requests::request_of(exchange_number exchange) const
{
    const auto it = by_exchange_.find(exchange);
    if (it == by_exchange_.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::vector<sink_output> entry_requests::take_outputs()
{
    return std::exchange(outputs_, {});
}

} // namespace endivelatch
