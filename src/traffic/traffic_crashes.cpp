#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <algorithm>

namespace endivelatch {

/// Records that the running attempt ended with its connection before its answer began.
void traffic_router::record_possible_crash(const exchange& it)
{
    if (!it.request->prompt || it.running->events.complete_events() > 0) {
        return;
    }
    const auto id = mix_bits(stable_hash(it.request->id.str()) ^ it.running->number.value());
    crashes_.record_crash(crash_report_id{id}, key_of(it.running->target),
                          it.request->prompt->parts, it.running->sent.at, now_);
    metrics_.set("crash_reports", static_cast<std::int64_t>(crashes_.report_count()));
}

void traffic_router::record_begun_answer(const exchange& it)
{
    if (!it.request->prompt || it.request->prompt->parts.empty()) {
        return;
    }
    crashes_.record_begin(shared_parts(*it.request->prompt), now_);
    crashes_.record_begin_of_suspect(it.request->prompt->parts.back(), now_);
}

void traffic_router::on(const crash_news_received& e)
{
    crashes_.merge(e.news, now_);
    metrics_.set("crash_reports", static_cast<std::int64_t>(crashes_.report_count()));
    apply_new_quarantines();
}

/// Logs parts that were quarantined and ends the attempts that would crash their targets.
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
        const bool has_begun = it.has_begun || !it.running || it.running->has_first_byte;
        if (!has_begun && it.request->prompt &&
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
    if (!it.request->prompt) {
        return false;
    }
    const auto part = crashes_.find_quarantined(it.request->prompt->parts, now_);
    if (!part) {
        return false;
    }
    metrics_.add("requests_quarantined");
    fail_request(number, it, it.may_have_run > 0 ? 502 : 503, "a part of the prompt is quarantined",
                 crashes_.quarantine_left(*part, now_));
    return true;
}

/// Returns whether the prompt has a part that was present at several successive crashes.
bool traffic_router::may_have_crashed_targets(const exchange& it) const
{
    return it.request->prompt && crashes_.successive_crashes(it.request->prompt->parts) >=
                                     crash_evidence::no_retry_threshold;
}

} // namespace endivelatch
