#include "ledger_bucket.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr duration default_retry_after = std::chrono::seconds{1};

booking_result with_outcome(outcome value)
{
    booking_result out;
    out.result = value;
    return out;
}

} // namespace

ledger_bucket::ledger_bucket(std::string name, ledger_context& context, time_point deletable_at)
    : name_{std::move(name)}, context_{context}, deletable_at_{deletable_at}
{
}

void ledger_bucket::book(const booking& request, time_point now)
{
    last_used_ = now;
    const auto name = record_name(request.organisation, request.key);
    if (const auto it = live_.find(name); it != live_.end()) {
        add_waiter(it, request, now);
        return;
    }
    const waiter new_waiter{request.request, now + request.start_within,
                            now + request.answer_within};
    live_booking live;
    live.digest = request.body_digest;
    live.organisation = request.organisation;
    live.key = request.key;
    live.dispatched_request = request.request;
    live.waiters.push_back(new_waiter);
    const auto it = live_.emplace(name, std::move(live)).first;
    if (loaded_) {
        decide_from_records(it, now);
    }
}

void ledger_bucket::add_waiter(live_iterator it, const booking& request, time_point now)
{
    auto& live = it->second;
    const waiter new_waiter{request.request, now + request.start_within,
                            now + request.answer_within};
    if (context_.settings.protections.check_body_digest && live.digest != request.body_digest) {
        answer(new_waiter, with_outcome(outcome::not_run),
               "key \"" + request.key.str() + "\" was used with another body");
        return;
    }
    const auto same = [&](const waiter& w) { return w.request == request.request; };
    if (std::any_of(live.waiters.begin(), live.waiters.end(), same)) {
        return;
    }
    if (live.waiters.empty() && live.stage == booking_stage::writing) {
        live.dispatched_request = request.request;
    }
    live.waiters.push_back(new_waiter);
    if (live.stage == booking_stage::saving) {
        answer_from_record(live, live.final_record);
    }
}

void ledger_bucket::decide_from_records(live_iterator it, time_point now)
{
    auto& live = it->second;
    if (live.waiters.empty()) {
        live_.erase(it);
        return;
    }
    const auto found = records_.find(it->first);
    const bool startable = found == records_.end() ||
                           found->second.state == record_state::cancelled ||
                           (found->second.state == record_state::started &&
                            !context_.settings.protections.respect_foreign_start);
    if (startable && !has_capacity()) {
        answer_all(live, with_outcome(outcome::not_run),
                   "object \"" + name_ + "\" is full; take a new key", default_retry_after, true);
        live_.erase(it);
        return;
    }
    if (startable) {
        live.stage = booking_stage::queued;
        live.dispatched_request = live.waiters.front().request;
        if (live.start_id.empty() || found != records_.end()) {
            live.start_id =
                context_.run_name + "." + std::to_string(++context_.last_start_sequence);
        }
        if (!context_.settings.protections.dispatch_after_commit) {
            context_.effects->emplace_back(
                start_booking{live.dispatched_request, live.organisation, live.key});
        }
        return;
    }
    if (context_.settings.protections.check_body_digest && found->second.digest != live.digest) {
        answer_all(live, with_outcome(outcome::not_run),
                   "key \"" + live.key.str() + "\" was used with another body");
        live_.erase(it);
        return;
    }
    if (found->second.state == record_state::done) {
        answer_from_record(live, found->second);
        live_.erase(it);
        return;
    }
    wait_for_foreign_run(it, found->second, now);
}

void ledger_bucket::wait_for_foreign_run(live_iterator it, const booking_record& record,
                                         time_point now)
{
    auto& live = it->second;
    if (live.stage != booking_stage::foreign || live.start_id != record.start_id) {
        live.stage = booking_stage::foreign;
        live.start_id = record.start_id;
        live.foreign_until = now + context_.settings.foreign_result_timeout;
        context_.effects->emplace_back(query_target{live.organisation, live.key, record.start_id});
    }
    live.due = now + context_.settings.foreign_poll_interval;
}

void ledger_bucket::handle_start_stored(live_iterator it, time_point now)
{
    auto& live = it->second;
    const auto eligible =
        std::find_if(live.waiters.begin(), live.waiters.end(), [&](const waiter& w) {
            return !context_.settings.protections.check_start_deadline || now < w.start_by;
        });
    if (eligible == live.waiters.end()) {
        live.stage = booking_stage::cancelling;
        live.reason = "its record was stored too late to start the run";
        return;
    }
    live.stage = booking_stage::running;
    live.dispatched_request = eligible->request;
    if (context_.settings.protections.dispatch_after_commit) {
        context_.effects->emplace_back(
            start_booking{live.dispatched_request, live.organisation, live.key});
    }
}

void ledger_bucket::run_ended(const std::string& name, const booking_result& result, time_point now)
{
    const auto it = live_.find(name);
    if (it == live_.end()) {
        return;
    }
    auto& live = it->second;
    auto& record = live.final_record;
    record.state = record_state::done;
    record.digest = live.digest;
    record.start_id = live.start_id;
    record.result = result.result;
    record.status = result.status;
    constexpr std::size_t max_content_type_size = 128;
    record.content_type = result.content_type.substr(0, max_content_type_size);
    record.body_kept =
        !result.body || result.body->size() <= context_.settings.max_kept_result_size;
    record.body = result.body && record.body_kept ? *result.body : std::string{};
    answer_all(live, result, result.result == outcome::complete ? "" : "the run did not complete");
    live.stage = booking_stage::saving;
    live.due = now + context_.settings.max_result_delay;
}

void ledger_bucket::run_refused(const std::string& name, const std::string& reason, time_point)
{
    const auto it = live_.find(name);
    if (it == live_.end() || it->second.stage != booking_stage::running) {
        return;
    }
    it->second.reason = reason;
    it->second.stage = booking_stage::cancelling;
    if (!context_.settings.protections.cancel_before_not_run) {
        answer_all(it->second, with_outcome(outcome::not_run), reason, default_retry_after, true);
        live_.erase(it);
    }
}

void ledger_bucket::target_reported(const std::string& name, const std::string& start_id,
                                    const booking_result& result, time_point now)
{
    const auto it = live_.find(name);
    const bool has_ended = result.result == outcome::complete || result.result == outcome::failed;
    const bool waits = it != live_.end() && it->second.stage == booking_stage::foreign &&
                       it->second.start_id == start_id;
    if (has_ended && waits) {
        run_ended(name, result, now);
    }
}

bool ledger_bucket::is_running(const std::string& name) const
{
    const auto it = live_.find(name);
    return it != live_.end() && it->second.stage == booking_stage::running;
}

bool ledger_bucket::can_answer(const std::string& name) const
{
    const auto it = records_.find(name);
    return live_.contains(name) || (it != records_.end() && it->second.state == record_state::done);
}

void ledger_bucket::finish_cancel(live_iterator it, bool key_unused)
{
    answer_all(it->second, with_outcome(outcome::not_run), it->second.reason, default_retry_after,
               key_unused);
    live_.erase(it);
}

bool ledger_bucket::has_capacity() const
{
    constexpr std::size_t document_overhead = 64;
    constexpr std::size_t record_reserve = 1024; // Names, digest, start id, content type.
    const auto reserve = record_reserve + context_.settings.max_kept_result_size * 4 / 3;
    const auto used = document_overhead + stored_bytes_ + live_.size() * reserve;
    return used <= context_.settings.max_object_size;
}

booking_record ledger_bucket::record_for(const live_booking& live) const
{
    if (live.stage == booking_stage::saving) {
        return live.final_record;
    }
    booking_record out;
    out.digest = live.digest;
    out.start_id = live.start_id;
    out.state =
        live.stage == booking_stage::cancelling ? record_state::cancelled : record_state::started;
    return out;
}

void ledger_bucket::cache_record(const std::string& name, booking_record record)
{
    const auto it = records_.find(name);
    if (it != records_.end()) {
        stored_bytes_ -= max_stored_size(name, it->second);
    }
    stored_bytes_ += max_stored_size(name, record);
    members_.insert_or_assign(name, to_json_member(name, record));
    records_.insert_or_assign(name, std::move(record));
}

void ledger_bucket::answer(const waiter& to, booking_result result, std::string reason,
                           duration retry_after, bool key_unused)
{
    context_.effects->emplace_back(
        booking_answer{to.request, std::move(result), std::move(reason), retry_after, key_unused});
}

void ledger_bucket::answer_all(live_booking& live, const booking_result& result,
                               const std::string& reason, duration retry_after, bool key_unused)
{
    for (const auto& waiting : live.waiters) {
        answer(waiting, result, reason, retry_after, key_unused);
    }
    live.waiters.clear();
}

void ledger_bucket::answer_from_record(live_booking& live, const booking_record& record)
{
    if (!record.body_kept) {
        answer_all(live, with_outcome(outcome::unknown),
                   "the booking ran with status " + std::to_string(record.status) +
                       "; its answer was too large to keep");
        return;
    }
    booking_result result{record.result, record.status, record.content_type,
                          std::make_shared<const std::string>(record.body)};
    answer_all(live, result, record.result == outcome::complete ? "" : "the run did not complete");
}

} // namespace endivelatch
