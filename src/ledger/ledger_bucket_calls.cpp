#include "endivelatch/base/overloaded.hpp"
#include "ledger_bucket.hpp"

#include <algorithm>

/// Platform calls and deadlines of `ledger_bucket`.
namespace endivelatch {

namespace {

constexpr duration default_retry_after = std::chrono::seconds{1};

booking_result with_outcome(outcome value)
{
    booking_result out;
    out.result = value;
    return out;
}

bool is_unwritten(const live_booking& live)
{
    return live.stage == booking_stage::undecided || live.stage == booking_stage::queued;
}

} // namespace

void ledger_bucket::answered(const platform_answer& answer, time_point now)
{
    if (!call_ || call_->id != answer.call) {
        return;
    }
    const bool was_write = call_->is_write;
    call_.reset();
    std::visit(overloaded{[&](const objects_found& found) { handle_read(found, now); },
                          [&](const write_done& done) { handle_write_done(done.version, now); },
                          [&](const write_conflict&) { needs_read_ = true; },
                          [&](const platform_failed& failed) {
                              handle_call_failure(was_write, failed.may_have_taken_effect, now);
                          }},
               answer.body);
}

void ledger_bucket::handle_read(const objects_found& found, time_point now)
{
    const auto same = [&](const platform_object& candidate) { return candidate.name == name_; };
    const auto object = std::find_if(found.objects.begin(), found.objects.end(), same);
    const auto version = object == found.objects.end() ? object_version{} : object->version;
    if (version < version_) {
        next_attempt_ = now + context_.settings.retry_delay;
        return;
    }
    const bool is_known = loaded_ && version == version_;
    booking_records records;
    if (object != found.objects.end() && !is_known) {
        auto parsed = parse_records(name_, object->document);
        if (!has_value(parsed)) {
            refuse_unwritten();
            next_attempt_ = now + context_.settings.retry_delay;
            return;
        }
        records = std::move(std::get<booking_records>(parsed));
    }
    needs_read_ = false;
    if (is_known) {
        for (auto it = live_.begin(); it != live_.end();) {
            const auto next = std::next(it);
            if (it->second.stage == booking_stage::foreign) {
                decide_from_records(it, now);
            }
            it = next;
        }
        return;
    }
    version_ = version;
    records_ = std::move(records);
    apply_loaded_records(now);
}

void ledger_bucket::apply_loaded_records(time_point now)
{
    loaded_ = true;
    write_unresolved_ = false;
    stored_bytes_ = 0;
    members_.clear();
    for (const auto& [name, record] : records_) {
        stored_bytes_ += max_stored_size(name, record);
        members_.emplace(name, to_json_member(name, record));
    }
    for (auto it = live_.begin(); it != live_.end();) {
        const auto next = std::next(it);
        reconcile(it, now);
        it = next;
    }
}

void ledger_bucket::reconcile(live_iterator it, time_point now)
{
    auto& live = it->second;
    const auto found = records_.find(it->first);
    const bool is_own = found != records_.end() && found->second.start_id == live.start_id;
    switch (live.stage) {
    case booking_stage::writing:
        if (is_own) {
            handle_start_stored(it, now);
            return;
        }
        decide_from_records(it, now);
        return;
    case booking_stage::saving:
        if (is_own && found->second.state == record_state::done) {
            live_.erase(it);
        }
        return;
    case booking_stage::cancelling:
        if (!is_own || found->second.state == record_state::cancelled) {
            finish_cancel(it, is_own);
        }
        return;
    case booking_stage::running:
        return;
    case booking_stage::undecided:
    case booking_stage::queued:
    case booking_stage::foreign:
        decide_from_records(it, now);
        return;
    }
}

void ledger_bucket::handle_write_done(object_version version, time_point now)
{
    version_ = version;
    write_unresolved_ = false;
    for (auto it = live_.begin(); it != live_.end();) {
        const auto next = std::next(it);
        handle_record_written(it, now);
        it = next;
    }
}

void ledger_bucket::handle_record_written(live_iterator it, time_point now)
{
    auto& live = it->second;
    if (!live.in_write) {
        if (live.stage == booking_stage::writing) {
            decide_from_records(it, now);
        }
        return;
    }
    live.in_write = false;
    cache_record(it->first, record_for(live));
    switch (live.stage) {
    case booking_stage::writing:
        handle_start_stored(it, now);
        return;
    case booking_stage::saving:
        live_.erase(it);
        return;
    case booking_stage::cancelling:
        finish_cancel(it, true);
        return;
    default:
        return;
    }
}

void ledger_bucket::handle_call_failure(bool was_write, bool may_have_taken_effect, time_point now)
{
    next_attempt_ = now + context_.settings.retry_delay;
    context_.platform_down_until = std::max(context_.platform_down_until, next_attempt_);
    if (was_write && may_have_taken_effect) {
        write_unresolved_ = true;
        needs_read_ = true;
        assume_written(now);
    }
    if (was_write && !write_unresolved_) {
        reset_failed_write(now);
    }
    refuse_unwritten();
}

void ledger_bucket::assume_written(time_point now)
{
    if (context_.settings.protections.resolve_lost_writes) {
        return;
    }
    for (auto it = live_.begin(); it != live_.end(); ++it) {
        if (it->second.in_write && it->second.stage == booking_stage::writing) {
            handle_start_stored(it, now);
        }
    }
}

void ledger_bucket::abandon_all()
{
    for (auto& [name, live] : live_) {
        answer_all(live, with_outcome(outcome::unknown), "the key has expired");
    }
    live_.clear();
}

void ledger_bucket::reset_failed_write(time_point now)
{
    for (auto it = live_.begin(); it != live_.end();) {
        const auto next = std::next(it);
        it->second.in_write = false;
        if (it->second.stage == booking_stage::writing) {
            decide_from_records(it, now);
        }
        it = next;
    }
}

void ledger_bucket::refuse_unwritten()
{
    for (auto it = live_.begin(); it != live_.end();) {
        if (!is_unwritten(it->second)) {
            ++it;
            continue;
        }
        answer_all(it->second, with_outcome(outcome::not_run), "the platform is not available",
                   default_retry_after);
        it = live_.erase(it);
    }
}

void ledger_bucket::expire(time_point now)
{
    for (auto it = live_.begin(); it != live_.end();) {
        const bool drop = expire_waiters(it, now);
        it = drop ? live_.erase(it) : std::next(it);
    }
}

bool ledger_bucket::expire_waiters(live_iterator it, time_point now)
{
    auto& live = it->second;
    const bool unwritten = is_unwritten(live);
    const bool foreign_timed_out =
        live.stage == booking_stage::foreign && now >= live.foreign_until;
    const auto is_over = [&](const waiter& w) {
        return now >= w.answer_by || foreign_timed_out || (unwritten && now >= w.start_by);
    };
    for (const auto& w : live.waiters) {
        if (!is_over(w)) {
            continue;
        }
        if (unwritten) {
            answer(w, with_outcome(outcome::not_run), "the deadline to start passed",
                   default_retry_after);
        }
        else {
            answer(w, with_outcome(outcome::unknown),
                   "the request may have been run; no result is known yet", default_retry_after);
        }
    }
    std::erase_if(live.waiters, is_over);
    if (!live.waiters.empty()) {
        return false;
    }
    return unwritten || live.stage == booking_stage::foreign;
}

bool ledger_bucket::step(time_point now, bool may_write)
{
    if (call_ && now >= call_->timeout) {
        const bool was_write = call_->is_write;
        call_.reset();
        handle_call_failure(was_write, true, now);
    }
    expire(now);
    if (now >= deletable_at_) {
        abandon_all();
    }
    if (call_ || live_.empty() || now < next_attempt_) {
        return false;
    }
    const bool poll_due = std::any_of(live_.begin(), live_.end(), [&](const auto& it) {
        return it.second.stage == booking_stage::foreign && now >= it.second.due;
    });
    if (needs_read_ || !loaded_ || poll_due) {
        issue_read(now);
        return false;
    }
    if (may_write && now >= next_write()) {
        issue_write(now);
        return true;
    }
    return false;
}

void ledger_bucket::issue_read(time_point now)
{
    call_ = call_state{context_.calls.next(), false, now + context_.settings.call_timeout};
    context_.effects->emplace_back(platform_call{read_object{call_->id, name_}});
}

void ledger_bucket::issue_write(time_point now)
{
    json_members changed;
    for (auto& [name, live] : live_) {
        live.in_write = live.stage == booking_stage::queued ||
                        (live.stage == booking_stage::writing && !live.waiters.empty()) ||
                        live.stage == booking_stage::saving ||
                        live.stage == booking_stage::cancelling;
        if (live.stage == booking_stage::queued) {
            live.stage = booking_stage::writing;
        }
        if (live.in_write) {
            changed.emplace(name, to_json_member(name, record_for(live)));
        }
    }
    call_ = call_state{context_.calls.next(), true, now + context_.settings.call_timeout};
    context_.effects->emplace_back(
        platform_call{write_object{call_->id, name_, version_, merge_members(members_, changed)}});
}

time_point ledger_bucket::next_write() const
{
    if (call_ || !loaded_ || needs_read_ || live_.empty()) {
        return time_point::max();
    }
    auto out = write_unresolved_ ? next_attempt_ : time_point::max();
    for (const auto& [name, live] : live_) {
        const bool is_urgent = live.stage == booking_stage::queued ||
                               live.stage == booking_stage::writing ||
                               live.stage == booking_stage::cancelling;
        if (is_urgent) {
            return next_attempt_;
        }
        if (live.stage == booking_stage::saving) {
            out = std::min(out, std::max(next_attempt_, live.due));
        }
    }
    return out;
}

time_point ledger_bucket::next_step() const
{
    auto out = call_ ? call_->timeout : time_point::max();
    for (const auto& [name, live] : live_) {
        for (const auto& w : live.waiters) {
            out =
                std::min(out, is_unwritten(live) ? std::min(w.start_by, w.answer_by) : w.answer_by);
        }
        if (live.stage == booking_stage::foreign) {
            const auto next_poll = call_ ? time_point::max() : std::max(live.due, next_attempt_);
            out = std::min({out, next_poll, live.foreign_until});
        }
    }
    if (!call_ && !live_.empty() && (needs_read_ || !loaded_)) {
        out = std::min(out, next_attempt_);
    }
    return out;
}

std::optional<platform_call_id> ledger_bucket::call_in_progress() const
{
    return call_ ? std::optional{call_->id} : std::nullopt;
}

} // namespace endivelatch
