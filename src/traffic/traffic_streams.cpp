#include "endivelatch/http1/http_header.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <utility>

namespace endivelatch {

namespace {

/// Returns whether a block of a stream is an event, not only comments or a `retry` field.
bool is_event(std::string_view block)
{
    event_counter counter;
    counter.feed(block);
    return counter.complete_events() > 0;
}

/// Returns the media type of an answer in lowercase, without its parameters.
std::string media_type(const http_headers& headers)
{
    const auto* type = find_header_ignoring_case(headers, "content-type");
    if (type == nullptr) {
        return {};
    }
    return to_lower(without_blanks(std::string_view{*type}.substr(0, type->find(';'))));
}

} // namespace

void traffic_router::handle_events(exchange_number number, exchange& it, std::string_view bytes)
{
    std::string complete_events;
    for (auto& event : it.events.feed(bytes)) {
        if (event.id) {
            it.running->last_event = event.id;
        }
        const bool was_sent = event.id && it.last_event && *event.id <= *it.last_event;
        if (was_sent) {
            continue; // Already sent to the caller by an earlier attempt.
        }
        if (event.id || is_event(event.bytes)) {
            ++it.running->new_events;
            it.owes_event = false;
            it.ends_without_id = !event.id;
        }
        if (event.id) {
            it.last_event = event.id;
        }
        complete_events += event.bytes;
    }
    if (!complete_events.empty()) {
        forward_bytes(number, it, std::move(complete_events));
    }
    if (it.events.partial_size() > max_event_bytes) {
        end_faulty_stream(number, it, "an event of the stream is too large");
    }
}

/// Ends an attempt whose target sends bytes without end that are no event.
void traffic_router::end_faulty_stream(exchange_number number, exchange& it,
                                       std::string_view reason)
{
    metrics_.add("faulty_streams");
    log(log_event{"stream_faulty"}
            .add("request", it.request->id)
            .add("attempt", it.running->number.value())
            .add("target", it.running->target)
            .add("reason", reason));
    effects_.emplace_back(cancel_attempt{{number, it.running->number}});
    end_attempt(it, attempt_outcome::failed);
    retry_or_fail(number, it, false, reason);
}

/// Returns why the stream that the running attempt has just ended cannot be whole, or an empty
/// text. What the end proves depends on its framing and on all attempts together: a connection that
/// closes before any new event may be a crash, and no end is right before an event that an earlier
/// attempt had begun.
std::string_view traffic_router::stream_cut_reason(const exchange& it)
{
    if (it.route.kind != request_kind::streaming || !it.answer || !it.answer->is_success()) {
        return {};
    }
    const auto& running = *it.running;
    if (running.events.has_partial_event() ||
        (running.ends_with_connection && running.events.has_partial_line())) {
        return "the stream ended within an event";
    }
    const auto new_events =
        it.route.is_resumable ? running.new_events : running.events.complete_events();
    if (new_events > 0) {
        return {};
    }
    if (!running.is_resumed) {
        return "the stream ended before its first event";
    }
    if (it.owes_event) {
        return "the stream ended before an event that an earlier attempt had begun";
    }
    if (running.ends_with_connection) {
        return "the connection closed before a further event";
    }
    const bool ends_earlier = running.last_event && *running.last_event < *it.last_event;
    return ends_earlier ? "the stream ended before events that were sent" : std::string_view{};
}

/// Returns whether the running attempt shows that the stream has an event after the last one sent:
/// it broke off within one. An attempt that repeats earlier events may have broken off within them.
bool traffic_router::has_begun_further_event(const exchange& it)
{
    const auto& running = *it.running;
    const bool repeats =
        running.last_event && it.last_event && *running.last_event < *it.last_event;
    return it.route.is_resumable && running.events.has_partial_event() && !repeats;
}

/// Returns whether an answer can go on with the stream whose head the caller has.
bool traffic_router::continues_stream(const exchange& it, const target_answer& answer)
{
    return answer.status == it.answer->status &&
           media_type(answer.headers) == media_type(it.answer->headers);
}

} // namespace endivelatch
