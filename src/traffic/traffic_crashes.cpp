#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/shared_limit.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <algorithm>

namespace endivelatch {

/// Returns the running attempt as one that the crash of its target may have ended.
lost_request traffic_router::lost_request_of(const exchange& it) const
{
    const auto id = mix_bits(stable_hash(it.request->id.str()) ^ it.running->number.value());
    return {crash_report_id{id}, key_of(it.running->target), it.request->prompt->parts,
            it.running->sent.at, it.running->events.complete_events()};
}

/// Records that the running attempt ended with its connection before its answer was complete.
void traffic_router::record_possible_crash(const exchange& it)
{
    if (!it.request->prompt) {
        return;
    }
    crashes_.record_crash(lost_request_of(it), now_);
    metrics_.set("crash_reports", static_cast<std::int64_t>(crashes_.report_count()));
}

/// Records that the running attempt's answer is whole. The end of a stream that another attempt
/// began says nothing of the events before it, nor does an error of the prompt itself.
void traffic_router::record_whole_answer(const exchange& it)
{
    if (!it.request->prompt || !it.answer || !it.answer->is_success() || it.running->is_resumed) {
        return;
    }
    if (it.running->ends_with_connection) {
        crashes_.record_unconfirmed_answer(lost_request_of(it), now_);
        return;
    }
    crashes_.record_whole_answer(it.request->prompt->parts, now_);
}

void traffic_router::on(const crash_news_received& e)
{
    crashes_.merge(e.news, now_);
    metrics_.set("crash_reports", static_cast<std::int64_t>(crashes_.report_count()));
    apply_new_quarantines();
}

/// Logs parts that were quarantined and ends the attempts that would crash their targets. Attempts
/// with a first byte go on: if their answers are whole, they clear the part.
void traffic_router::apply_new_quarantines()
{
    const auto parts = crashes_.take_new_quarantines();
    metrics_.set("quarantined_parts", static_cast<std::int64_t>(crashes_.quarantined_count()));
    if (parts.empty()) {
        return;
    }
    for (const auto part : parts) {
        metrics_.add("quarantines");
        log(log_event{"part_quarantined"}
                .add("part", format_part(part))
                .add("left_ms", crashes_.quarantine_left(part, now_).count() / 1'000));
    }
    std::vector<exchange_number> waiting;
    for (const auto& [number, it] : exchanges_) {
        const bool awaits_answer = it.running && !it.running->has_first_byte;
        if (awaits_answer && it.request->prompt && !it.tries_part_out &&
            crashes_.find_quarantined(it.request->prompt->parts, now_)) {
            waiting.push_back(number);
        }
    }
    for (const auto number : waiting) {
        fail_request(number, exchanges_.at(number), 502, "a part of the prompt is quarantined");
    }
}

/// Refuses the request if a part of its prompt is quarantined. Returns whether it was refused.
bool traffic_router::refuse_quarantined(exchange_number number, exchange& it)
{
    if (!it.request->prompt || it.tries_part_out) {
        return false;
    }
    const auto part = crashes_.find_quarantined(it.request->prompt->parts, now_);
    if (!part || start_trial(it)) {
        return false;
    }
    metrics_.add("requests_quarantined");
    const auto left = crashes_.quarantine_left(*part, now_);
    fail_request(number, it, it.may_have_run > 0 ? 502 : 503, "a part of the prompt is quarantined",
                 std::min(left, max_quarantine_retry_after));
    return true;
}

/// Lets the request try out a quarantined part if a trial is due at this router. Returns whether it
/// does.
bool traffic_router::start_trial(exchange& it)
{
    const auto part = crashes_.find_trial(it.request->prompt->parts, now_);
    if (!part || it.may_have_run > 0 || sender_rank(mix_bits(part->value()), fleet_) > 0) {
        return false;
    }
    it.tries_part_out = true;
    crashes_.record_trial(*part, now_);
    metrics_.add("quarantine_trials");
    log(log_event{"part_tried_out"}.add("part", format_part(*part)).add("request", it.request->id));
    return true;
}

/// Returns whether the prompt has a part that was present at several successive crashes.
bool traffic_router::may_have_crashed_targets(const exchange& it) const
{
    return it.request->prompt && crashes_.successive_crashes(it.request->prompt->parts) >=
                                     crash_evidence::no_retry_threshold;
}

} // namespace endivelatch
