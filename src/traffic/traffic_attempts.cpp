#include "endivelatch/traffic/traffic_router.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {

namespace {

/// Returns a number with one decimal, for logs.
std::string tenths(double n)
{
    const auto scaled = std::llround(n * 10);
    return std::to_string(scaled / 10) + '.' + std::to_string(std::abs(scaled % 10));
}

} // namespace

void traffic_router::try_next(exchange_number number, exchange& it)
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
    const auto made = choose_target(query, targets_, now_);
    if (const auto* reason = std::get_if<no_target_reason>(&made)) {
        log(log_event{"no_target"}
                .add("request", it.request->id)
                .add("pool", it.pool)
                .add("reason", to_string(*reason))
                .add("targets", targets_.ready(it.pool).size())
                .add("revision", targets_revision_));
        const auto retry_after =
            *reason == no_target_reason::all_late ? late_retry_after(it) : full_retry_after;
        give_up(number, it, it.may_have_run > 0 ? 502 : 503, to_string(*reason), retry_after);
        return;
    }
    send(number, it, std::get<chosen_target>(made));
}

duration traffic_router::late_retry_after(const exchange& it) const
{
    duration shortest = longest_late_retry;
    for (const auto* target : targets_.ready(it.pool)) {
        shortest = std::min(shortest, target->expected_wait(it.priority, now_));
    }
    return std::clamp(shortest * 2, shortest_late_retry, longest_late_retry);
}

void traffic_router::send(exchange_number number, exchange& it, const chosen_target& chosen)
{
    auto& target = *chosen.target;
    const auto& facts = target.facts();
    it.last_attempt = it.last_attempt.next();
    running_attempt running;
    running.number = it.last_attempt;
    running.target = facts.id;
    running.target_start = facts.started;
    running.sent = {now_, it.priority, chosen.unread_tokens};
    it.running = running;
    it.tried.insert(facts.id);
    ++it.sends;
    ++it.may_have_run;
    const auto age = target.report_age(now_);
    log(log_event{"target_chosen"}
            .add("request", it.request->id)
            .add("attempt", running.number.value())
            .add("route", it.route.name)
            .add("organisation", it.organisation)
            .add("target", facts.id)
            .add("home", chosen.is_home ? 1 : 0)
            .add("in_flight", tenths(chosen.in_flight))
            .add("mean", tenths(chosen.mean_in_flight))
            .add("unread_tokens", chosen.unread_tokens)
            .add("fetch", chosen.fetch_from ? chosen.fetch_from->address : "")
            .add("wait_ms", chosen.wait.count() / 1'000)
            .add("cost_ms", tenths(chosen.cost_ms))
            .add("load_age_ms", age ? age->count() / 1'000 : -1)
            .add("config", configuration_->version().value())
            .add("revision", targets_revision_));
    target.sent(running.sent);
    if (it.request->prompt) {
        target.remember(it.request->prompt->parts, now_);
    }
    metrics_.add("attempts", 1, chosen.is_home ? "home=\"1\"" : "home=\"0\"");

    start_attempt effect;
    effect.key = {number, running.number};
    effect.request = it.request;
    effect.address = facts.address;
    effect.is_idempotent = it.route.is_idempotent();
    effect.max_connections = it.max_connections;
    effect.parameters.expected_target = facts.id;
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

void traffic_router::attempt_over(exchange& it, attempt_outcome outcome)
{
    auto* target = target_of(it);
    if (target != nullptr) {
        if (!it.running->has_read_prompt) {
            target->unanswered(it.running->sent);
        }
        target->ended();
        const bool was_ejected = target->is_ejected(now_);
        target->note(outcome, now_);
        if (target->is_ejected(now_) && !was_ejected) {
            metrics_.add("ejections");
            log(log_event{"target_ejected"}.add("target", it.running->target));
        }
    }
    it.running.reset();
    it.events.drop_partial();
}

bool traffic_router::may_repeat(const exchange& it, bool was_not_run) const
{
    if (it.expires_at - now_ < shortest_attempt || it.sends >= most_sends) {
        return false;
    }
    if (was_not_run) {
        return !it.has_begun || it.route.is_idempotent();
    }
    if (!it.route.is_idempotent() || it.may_have_run >= it.route.max_attempts) {
        return false;
    }
    return !it.has_begun || it.route.is_resumable;
}

bool traffic_router::take_retry(const exchange& it)
{
    if (it.sends == 0) {
        return true; // Nothing has arrived at a target, so the next arrival is the first.
    }
    const bool is_granted = budget_of(it.pool).try_retry(now_);
    metrics_.add(is_granted ? "retries" : "retries_over_budget");
    return is_granted;
}

void traffic_router::after_failure(exchange_number number, exchange& it, bool was_not_run,
                                   std::string_view reason)
{
    if (may_repeat(it, was_not_run) && take_retry(it)) {
        if (!it.has_begun) {
            it.answer.reset();
            it.held.clear();
        }
        try_next(number, it);
        return;
    }
    give_up(number, it, it.may_have_run > 0 ? 502 : 503, reason);
}

retry_budget& traffic_router::budget_of(const pool_id& pool)
{
    const auto [it, is_new] = budgets_.try_emplace(pool);
    if (is_new) {
        set_budget(it->second);
    }
    return it->second;
}

void traffic_router::set_budget(retry_budget& budget) const
{
    budget.set_share(settings_.retry_share * retry_budget_use);
    budget.set_burst(
        static_cast<std::uint32_t>(settings_.retry_burst * retry_budget_use / routers_));
}

} // namespace endivelatch
