#include "endivelatch/traffic/traffic_router.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {

namespace {

/// Formats a number with one decimal, for logs.
std::string with_one_decimal(double n)
{
    const auto scaled = std::llround(n * 10);
    return std::to_string(scaled / 10) + '.' + std::to_string(std::abs(scaled % 10));
}

/// Returns whether there may be a target within the time that a request can wait.
bool may_end_soon(no_target_reason reason)
{
    switch (reason) {
    case no_target_reason::all_tried:
    case no_target_reason::all_full:
    case no_target_reason::all_decline:
    case no_target_reason::all_busy:
        return true;
    case no_target_reason::none_registered:
    case no_target_reason::all_late:
    case no_target_reason::all_evacuated:
        break;
    }
    return false;
}

} // namespace

void traffic_router::start_next_attempt(exchange_number number, exchange& it)
{
    if (refuse_quarantined(number, it)) {
        return;
    }
    record_arrival(it);
    const auto waiting = waiting_.find(it.pool);
    const bool do_others_wait = waiting != waiting_.end() && !waiting->second.empty();
    if (do_others_wait && wait_for_room(number, it, "others wait")) {
        serve_waiting(waiting->second);
        return;
    }
    const auto result = choose_target(query_for(it), targets_, now_);
    const auto* reason = std::get_if<no_target_reason>(&result);
    if (reason == nullptr) {
        send_attempt(number, it, std::get<chosen_target>(result));
        return;
    }
    if (may_end_soon(*reason) && wait_for_room(number, it, to_string(*reason))) {
        return;
    }
    log(log_event{"no_target"}
            .add("request", it.request->id)
            .add("pool", it.pool)
            .add("reason", to_string(*reason))
            .add("targets", targets_.ready(it.pool).size())
            .add("revision", targets_revision_));
    fail_request(number, it, it.may_have_run > 0 ? 502 : 503, to_string(*reason),
                 retry_after_for(*reason, it));
}

choice_query traffic_router::query_for(const exchange& it)
{
    choice_query query;
    query.pool = it.pool;
    query.prompt = it.request->prompt ? &*it.request->prompt : nullptr;
    query.priority = it.priority;
    query.objective = it.route.latency_objective;
    query.request_hash = stable_hash(it.request->id.str());
    query.domain = settings_.domain;
    query.routers = routers_;
    query.load_bound = settings_.load_bound;
    query.tried = &it.tried;
    query.work = work_[it.pool];
    if (const auto speed = speeds_.find(it.pool); speed != speeds_.end()) {
        query.speed = speed->second;
    }
    query.may_wait = it.may_have_run == 0 && waits_for_room(it.pool);
    query.reserved_share = query.may_wait ? reserved_share(it) : 0;
    return query;
}

/// Returns the mean rate at which this router sends first attempts to a target of the pool.
request_rate traffic_router::demand_per_target(const pool_id& pool)
{
    const auto targets = std::max<std::size_t>(targets_.ready(pool).size(), 1);
    return {budget_of(pool).rate(now_).per_second / static_cast<double>(targets)};
}

duration traffic_router::retry_after_for(no_target_reason reason, const exchange& it) const
{
    switch (reason) {
    case no_target_reason::all_evacuated:
        return evacuated_retry_after(it);
    case no_target_reason::all_late:
        return spread_retry_after(late_retry_after(it), it);
    case no_target_reason::all_decline:
        return spread_retry_after(decline_retry_after(it), it);
    case no_target_reason::none_registered:
    case no_target_reason::all_tried:
    case no_target_reason::all_full:
    case no_target_reason::all_busy:
        break;
    }
    return spread_retry_after(full_retry_after, it);
}

/// Returns the time until this router may send to one of the targets. It differs between routers.
duration traffic_router::decline_retry_after(const exchange& it) const
{
    duration shortest = max_late_retry_after;
    for (const auto* target : targets_.ready(it.pool)) {
        shortest = std::min(shortest, target->obstacle_left(now_));
    }
    return std::max(shortest, full_retry_after);
}

duration traffic_router::late_retry_after(const exchange& it) const
{
    duration shortest = max_late_retry_after;
    for (const auto* target : targets_.ready(it.pool)) {
        shortest = std::min(shortest, target->expected_wait(it.priority, now_));
    }
    return std::clamp(shortest * 2, min_late_retry_after, max_late_retry_after);
}

void traffic_router::send_attempt(exchange_number number, exchange& it, const chosen_target& chosen)
{
    auto& target = *chosen.target;
    const auto& registration = target.registration();
    it.last_attempt = it.last_attempt.next();
    running_attempt running;
    running.number = it.last_attempt;
    running.target = registration.id;
    running.target_start = registration.started;
    running.sent = {now_, it.priority, chosen.prefill_tokens};
    running.is_resumed = it.last_event.has_value();
    it.running = running;
    it.tried.insert(registration.id);
    if (it.is_counted && it.sends == 0) {
        record_service(it);
    }
    ++it.sends;
    ++it.may_have_run;
    const auto age = target.report_age(now_);
    log(log_event{"target_chosen"}
            .add("request", it.request->id)
            .add("attempt", running.number.value())
            .add("route", it.route.name)
            .add("organisation", it.organisation)
            .add("target", registration.id)
            .add("home", chosen.is_home ? 1 : 0)
            .add("in_flight", with_one_decimal(chosen.in_flight))
            .add("mean", with_one_decimal(chosen.mean_in_flight))
            .add("unread_tokens", chosen.prefill_tokens)
            .add("fetch", chosen.fetch_from ? chosen.fetch_from->address : "")
            .add("wait_ms", chosen.wait.count() / 1'000)
            .add("cost_ms", with_one_decimal(chosen.cost_ms))
            .add("load_age_ms", age ? age->count() / 1'000 : -1)
            .add("slowdown", with_one_decimal(chosen.slowdown))
            .add("config", configuration_->version().value())
            .add("revision", targets_revision_));
    target.add_request(running.sent);
    if (it.request->prompt) {
        target.record_prompt(it.request->prompt->parts, now_);
    }
    metrics_.add("attempts", 1, chosen.is_home ? "home=\"1\"" : "home=\"0\"");

    start_attempt effect;
    effect.key = {number, running.number};
    effect.request = it.request;
    effect.address = registration.address;
    effect.is_idempotent = it.route.is_idempotent();
    effect.max_connections = it.max_connections;
    effect.parameters.expected_target = registration.id;
    effect.parameters.organisation = it.organisation;
    effect.parameters.time_left = it.expires_at - now_;
    if (it.request->prompt) {
        effect.parameters.priority = it.priority;
        effect.parameters.fetch_from = chosen.fetch_from;
    }
    if (it.last_event != it.request->last_event_id) {
        effect.parameters.resume_after = it.last_event;
    }
    effects_.emplace_back(std::move(effect));
    if (it.route.kind == request_kind::safe) {
        const auto hung_at = now_ + it.route.latency_objective * hung_after_objectives;
        set_timer(number, it, std::min(it.expires_at, hung_at));
    }
}

void traffic_router::end_attempt(exchange& it, attempt_outcome outcome)
{
    auto* target = target_of(it);
    if (target != nullptr) {
        if (!it.running->has_first_byte) {
            target->record_no_answer(it.running->sent);
        }
        target->remove_request();
        const bool was_ejected = target->is_ejected(now_);
        target->record_outcome(outcome, now_);
        if (outcome == attempt_outcome::failed || outcome == attempt_outcome::unreachable) {
            effects_.emplace_back(share_failure{target->key()});
        }
        check_waiting(it.pool); // The target may have room now.
        if (target->is_ejected(now_) && !was_ejected) {
            metrics_.add("ejections");
            log(log_event{"target_ejected"}.add("target", it.running->target));
        }
    }
    it.owes_event = it.owes_event || has_begun_further_event(it);
    it.running.reset();
    it.events.drop_partial_event();
}

bool traffic_router::may_retry(const exchange& it, bool was_not_run) const
{
    if (it.expires_at - now_ < min_attempt_time || it.sends >= max_sends) {
        return false;
    }
    if (was_not_run) {
        return !it.has_begun || it.route.is_idempotent();
    }
    if (!it.route.is_idempotent() || it.may_have_run >= it.route.max_attempts ||
        may_have_crashed_targets(it)) {
        return false;
    }
    return !it.has_begun || (it.route.is_resumable && !it.ends_without_id);
}

bool traffic_router::consume_retry(const exchange& it)
{
    if (it.sends == 0) {
        return true; // No attempt has reached a target, so the next one is not a retry.
    }
    const bool is_granted = budget_of(it.pool).try_retry(now_);
    metrics_.add(is_granted ? "retries" : "retries_over_budget");
    return is_granted;
}

void traffic_router::retry_or_fail(exchange_number number, exchange& it, bool was_not_run,
                                   std::string_view reason)
{
    if (may_retry(it, was_not_run) && consume_retry(it)) {
        if (!it.has_begun) {
            it.answer.reset();
            it.buffered_body.clear();
        }
        start_next_attempt(number, it);
        return;
    }
    fail_request(number, it, it.may_have_run > 0 ? 502 : 503, reason);
}

/// Records how long a plain service took for the current attempt, which it has answered.
void traffic_router::record_service_time(const exchange& it)
{
    if (!it.request->prompt && it.answer && it.answer->is_success()) {
        work_[it.pool].record_service_time(now_ - it.running->sent.at);
    }
}

retry_budget& traffic_router::budget_of(const pool_id& pool)
{
    const auto [it, is_new] = budgets_.try_emplace(pool);
    if (is_new) {
        configure_budget(it->second);
    }
    return it->second;
}

void traffic_router::configure_budget(retry_budget& budget) const
{
    budget.set_share(settings_.retry_share * retry_budget_use);
    budget.set_burst(
        static_cast<std::uint32_t>(settings_.retry_burst * retry_budget_use / routers_));
}

} // namespace endivelatch
