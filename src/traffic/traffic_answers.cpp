#include "endivelatch/traffic/traffic_router.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

void traffic_router::handle_refusal(exchange_number number, exchange& it,
                                    const target_answer& answer)
{
    log(log_event{"attempt_refused"}
            .add("request", it.request->id)
            .add("attempt", it.running->number.value())
            .add("target", it.running->target)
            .add("status", answer.status));
    metrics_.add("attempts_refused", 1, "status=\"" + std::to_string(answer.status) + "\"");
    --it.may_have_run;
    effects_.emplace_back(cancel_attempt{{number, it.running->number}});
    // 421 is sent by another target at the same address: the expected target no longer exists.
    const bool is_gone = answer.status == 421;
    end_attempt(it, is_gone ? attempt_outcome::unreachable : attempt_outcome::refused);
    retry_or_fail(number, it, true, "refused by the target");
}

void traffic_router::handle_failure(exchange_number number, exchange& it, target_answer&& answer)
{
    const auto status = answer.status;
    const bool is_error = !answer.is_success();
    // Callers take these statuses as "not run", so they must not be forwarded for a request that
    // may have run.
    const bool status_means_not_run =
        status == 408 || status == 421 || status == 429 || status == 503;
    const bool may_forward = is_error && answer.is_signed && !status_means_not_run && !it.has_begun;
    const bool is_retryable = status >= 500 || !is_error || !answer.is_signed;
    if (may_forward && !(is_retryable && may_retry(it, false))) {
        it.answer = std::move(answer);
        return;
    }
    log(log_event{"answer_unusable"}
            .add("request", it.request->id)
            .add("attempt", it.running->number.value())
            .add("target", it.running->target)
            .add("status", status)
            .add("signed", answer.is_signed ? 1 : 0));
    if (may_forward && !consume_retry(it)) {
        it.answer = std::move(answer);
        return;
    }
    effects_.emplace_back(cancel_attempt{{number, it.running->number}});
    end_attempt(it, answer.is_signed ? attempt_outcome::answered : attempt_outcome::failed);
    if (may_forward) {
        start_next_attempt(number, it);
        return;
    }
    retry_or_fail(number, it, false, "unusable answer");
}

void traffic_router::handle_body_bytes(exchange_number number, exchange& it, std::string&& bytes)
{
    if (!it.first_byte_after) {
        it.first_byte_after = now_ - it.arrived_at;
    }
    if (it.route.kind == request_kind::streaming && it.answer && it.answer->is_success()) {
        it.running->events.feed(bytes);
        if (it.running->events.idle_bytes() > max_idle_stream_bytes) {
            end_faulty_stream(number, it, "the stream carries no events");
            return;
        }
        if (it.route.is_resumable) {
            handle_events(number, it, bytes);
            return;
        }
        forward_bytes(number, it, std::move(bytes));
        return;
    }
    if (it.has_begun) {
        forward_bytes(number, it, std::move(bytes));
        return;
    }
    it.buffered_body += bytes;
    if (it.buffered_body.size() > buffer_limit()) {
        forward_bytes(number, it, std::exchange(it.buffered_body, {}));
    }
}

/// Returns the size up to which the body of a plain answer is buffered until complete.
std::size_t traffic_router::buffer_limit() const
{
    if (settings_.buffered_answers == 0) {
        return max_buffered_bytes;
    }
    return std::min(max_buffered_bytes, settings_.buffered_answers / exchanges_.size());
}

void traffic_router::forward_bytes(exchange_number number, exchange& it, std::string&& bytes)
{
    if (!it.has_begun) {
        // The length of a stream may differ from the announced one once it has been resumed.
        start_answer(number, it, it.route.is_resumable ? std::nullopt : it.answer->length);
    }
    it.bytes_sent += bytes.size();
    effects_.emplace_back(send_bytes{number, std::move(bytes)});
}

void traffic_router::start_answer(exchange_number number, exchange& it,
                                  std::optional<std::uint64_t> length)
{
    it.has_begun = true;
    effects_.emplace_back(begin_answer{number, it.answer->status, it.answer->headers, length});
}

void traffic_router::complete_answer(exchange_number number, exchange& it)
{
    const auto status = it.answer->status;
    if (!it.has_begun) {
        start_answer(number, it, it.buffered_body.size());
        if (!it.buffered_body.empty()) {
            it.bytes_sent += it.buffered_body.size();
            effects_.emplace_back(send_bytes{number, std::move(it.buffered_body)});
        }
    }
    effects_.emplace_back(end_answer{number});
    finish_exchange(number, it, status, "complete", "");
}

void traffic_router::fail_request(exchange_number number, exchange& it, int status,
                                  std::string_view reason, duration retry_after)
{
    if (it.has_begun) {
        effects_.emplace_back(abort_answer{number});
        finish_exchange(number, it, it.answer->status, "broken_off", reason);
        return;
    }
    const auto retry_hint = status == 503 ? std::optional{retry_after} : std::nullopt;
    effects_.emplace_back(refuse_request{number, status, retry_hint, std::string{reason}});
    finish_exchange(number, it, status, status == 503 ? "not_run" : "unknown", reason);
}

void traffic_router::finish_exchange(exchange_number number, exchange& it, int status,
                                     std::string_view outcome, std::string_view reason)
{
    const auto to_ms = [](duration d) { return d.count() / 1'000; };
    log(log_event{"request_finished"}
            .add("request", it.request->id)
            .add("status", status)
            .add("outcome", outcome)
            .add("reason", reason)
            .add("route", it.route.name)
            .add("sends", it.sends)
            .add("first_ms", it.first_byte_after ? to_ms(*it.first_byte_after) : -1)
            .add("ms", to_ms(now_ - it.arrived_at))
            .add("bytes", it.bytes_sent));
    if (it.waits_since) {
        end_wait(number, it, outcome);
    }
    metrics_.add("requests_finished", 1, "outcome=\"" + std::string{outcome} + "\"");
    metrics_.observe("request_duration", now_ - it.arrived_at);
    if (it.first_byte_after) {
        metrics_.observe("first_byte_duration", *it.first_byte_after);
    }
    if (it.running) {
        effects_.emplace_back(cancel_attempt{{number, it.running->number}});
        // The attempt was ended by the caller or a timeout. A target that sent no answer counts as
        // failed, unless the request's timeout was too short to tell.
        const bool was_silent =
            !it.running->is_answering && outcome != "caller_left" &&
            now_ - it.running->sent.at >= it.route.latency_objective * silent_after_objectives;
        if (auto* target = target_of(it); target != nullptr) {
            if (!it.running->has_first_byte) {
                target->record_no_answer(it.running->sent);
            }
            target->remove_request();
            if (was_silent) {
                target->record_outcome(attempt_outcome::failed, now_);
            }
        }
    }
    timers_.erase({it.timer_at, number});
    exchanges_.erase(number);
}

} // namespace endivelatch
