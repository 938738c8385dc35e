#include "endivelatch/traffic/traffic_router.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

void traffic_router::take_refusal(exchange_number number, exchange& it, const target_answer& answer)
{
    log(log_event{"attempt_refused"}
            .add("request", it.request->id)
            .add("attempt", it.running->number.value())
            .add("target", it.running->target)
            .add("status", answer.status));
    metrics_.add("attempts_refused", 1, "status=\"" + std::to_string(answer.status) + "\"");
    --it.may_have_run;
    effects_.emplace_back(cancel_attempt{{number, it.running->number}});
    // 421 comes from another target at the same address: the expected one is gone.
    const bool is_gone = answer.status == 421;
    attempt_over(it, is_gone ? attempt_outcome::unreachable : attempt_outcome::refused);
    after_failure(number, it, true, "refused by the target");
}

void traffic_router::take_failure(exchange_number number, exchange& it, target_answer&& answer)
{
    const auto status = answer.status;
    const bool is_error = !answer.is_success();
    // A status that promises "not run" must not be passed on for a request that ran.
    const bool is_promise = status == 408 || status == 421 || status == 429 || status == 503;
    const bool passes_on = is_error && answer.is_signed && !is_promise && !it.has_begun;
    const bool repeats = status >= 500 || !is_error || !answer.is_signed;
    if (passes_on && !(repeats && may_repeat(it, false))) {
        it.answer = std::move(answer);
        return;
    }
    log(log_event{"answer_unusable"}
            .add("request", it.request->id)
            .add("attempt", it.running->number.value())
            .add("target", it.running->target)
            .add("status", status)
            .add("signed", answer.is_signed ? 1 : 0));
    if (passes_on && !take_retry(it)) {
        it.answer = std::move(answer);
        return;
    }
    effects_.emplace_back(cancel_attempt{{number, it.running->number}});
    attempt_over(it, answer.is_signed ? attempt_outcome::answered : attempt_outcome::failed);
    if (passes_on) {
        try_next(number, it);
        return;
    }
    after_failure(number, it, false, "unusable answer");
}

void traffic_router::take_bytes(exchange_number number, exchange& it, std::string&& bytes)
{
    if (!it.first_byte_after) {
        it.first_byte_after = now_ - it.arrived_at;
    }
    if (it.route.kind == request_kind::streaming && it.answer && it.answer->is_success()) {
        if (it.route.is_resumable) {
            take_events(number, it, bytes);
            return;
        }
        deliver(number, it, std::move(bytes));
        return;
    }
    if (it.has_begun) {
        deliver(number, it, std::move(bytes));
        return;
    }
    it.held += bytes;
    if (it.held.size() > most_held_bytes) {
        deliver(number, it, std::exchange(it.held, {}));
    }
}

void traffic_router::take_events(exchange_number number, exchange& it, std::string_view bytes)
{
    std::string whole;
    for (auto& event : it.events.feed(bytes)) {
        const bool is_known = event.id && it.last_event && *event.id <= *it.last_event;
        if (is_known) {
            continue; // Sent to the caller by an earlier attempt.
        }
        if (event.id) {
            it.last_event = event.id;
        }
        whole += event.bytes;
    }
    if (!whole.empty()) {
        deliver(number, it, std::move(whole));
    }
}

void traffic_router::deliver(exchange_number number, exchange& it, std::string&& bytes)
{
    if (!it.has_begun) {
        // A resumed stream may be longer or shorter than its first part announced.
        begin(number, it, it.route.is_resumable ? std::nullopt : it.answer->length);
    }
    it.bytes_sent += bytes.size();
    effects_.emplace_back(send_bytes{number, std::move(bytes)});
}

void traffic_router::begin(exchange_number number, exchange& it,
                           std::optional<std::uint64_t> length)
{
    it.has_begun = true;
    effects_.emplace_back(begin_answer{number, it.answer->status, it.answer->headers, length});
}

void traffic_router::complete(exchange_number number, exchange& it)
{
    const auto status = it.answer->status;
    if (!it.has_begun) {
        begin(number, it, it.held.size());
        if (!it.held.empty()) {
            it.bytes_sent += it.held.size();
            effects_.emplace_back(send_bytes{number, std::move(it.held)});
        }
    }
    effects_.emplace_back(end_answer{number});
    finish(number, it, status, "complete", "");
}

void traffic_router::give_up(exchange_number number, exchange& it, int status,
                             std::string_view reason, duration retry_after)
{
    if (it.has_begun) {
        effects_.emplace_back(abort_answer{number});
        finish(number, it, it.answer->status, "broken_off", reason);
        return;
    }
    const auto returns = status == 503 ? std::optional{retry_after} : std::nullopt;
    effects_.emplace_back(refuse_request{number, status, returns, std::string{reason}});
    finish(number, it, status, status == 503 ? "not_run" : "unknown", reason);
}

void traffic_router::finish(exchange_number number, exchange& it, int status,
                            std::string_view outcome, std::string_view reason)
{
    const auto ms = [](duration d) { return d.count() / 1'000; };
    log(log_event{"request_finished"}
            .add("request", it.request->id)
            .add("status", status)
            .add("outcome", outcome)
            .add("reason", reason)
            .add("route", it.route.name)
            .add("sends", it.sends)
            .add("first_ms", it.first_byte_after ? ms(*it.first_byte_after) : -1)
            .add("ms", ms(now_ - it.arrived_at))
            .add("bytes", it.bytes_sent));
    metrics_.add("requests_finished", 1, "outcome=\"" + std::string{outcome} + "\"");
    metrics_.observe("request_duration", now_ - it.arrived_at);
    if (it.first_byte_after) {
        metrics_.observe("first_byte_duration", *it.first_byte_after);
    }
    if (it.running) {
        effects_.emplace_back(cancel_attempt{{number, it.running->number}});
        // The caller or the clock ended the attempt; a target that said nothing may be unwell,
        // unless the route allows it too little time to tell.
        const bool was_silent =
            !it.running->is_answering && outcome != "caller_left" &&
            now_ - it.running->sent.at >= it.route.latency_objective * silent_after_objectives;
        if (auto* target = target_of(it); target != nullptr) {
            if (!it.running->has_read_prompt) {
                target->unanswered(it.running->sent);
            }
            target->ended();
            if (was_silent) {
                target->note(attempt_outcome::failed, now_);
            }
        }
    }
    timers_.erase({it.timer_at, number});
    exchanges_.erase(number);
}

} // namespace endivelatch
