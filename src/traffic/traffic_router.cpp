#include "endivelatch/traffic/traffic_router.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace endivelatch {

namespace {

/// Formats the ids of the prompt's shared parts in hexadecimal, separated by commas, for logs.
std::string format_shared_parts(const caller_request& request)
{
    std::string out;
    if (!request.prompt) {
        return out;
    }
    for (const auto& it : shared_parts(*request.prompt)) {
        out += (out.empty() ? "" : ",") + format_part(part_key{it.id});
    }
    return out;
}

} // namespace

std::string_view to_string(attempt_stage stage)
{
    switch (stage) {
    case attempt_stage::not_sent:
        return "not_sent";
    case attempt_stage::sent:
        return "sent";
    case attempt_stage::answering:
        return "answering";
    }
    return "unknown";
}

const char* name_of(const traffic_event& event)
{
    // In the order of the variant.
    constexpr std::array<const char*, std::variant_size_v<traffic_event>> names{
        "request_arrived",
        "caller_disconnected",
        "attempt_broken",
        "answer_begun",
        "answer_bytes",
        "answer_finished",
        "configuration_changed",
        "targets_changed",
        "evacuations_changed",
        "fleet_changed",
        "routers_found",
        "loads_received",
        "failures_received",
        "limits_received",
        "crash_news_received",
        "usage_received",
        "stop_announced",
        "exit_announced",
        "timer_due"};
    return names.at(event.index());
}

traffic_router::traffic_router(const traffic_settings& settings) : settings_{settings} {}

void traffic_router::set_settings(const traffic_settings& settings)
{
    // A router that serves already goes on while it reads the evacuations for the first time.
    has_awaited_evacuations_ = has_awaited_evacuations_ || is_ready();
    settings_ = settings;
    update_cold_rules();
}

traffic_effects traffic_router::handle(traffic_event&& event, time_point now)
{
    now_ = now;
    std::visit([this](auto& e) { on(e); }, event);
    serve_waiting();
    return std::exchange(effects_, {});
}

std::optional<time_point> traffic_router::next_timer() const
{
    std::optional<time_point> next;
    if (!timers_.empty()) {
        next = timers_.begin()->first;
    }
    if (!early_requests_.empty()) {
        next = std::min(next.value_or(early_requests_.front().refuse_at),
                        early_requests_.front().refuse_at);
    }
    if (evacuations_due_at_ && awaits_evacuations()) {
        next = std::min(next.value_or(*evacuations_due_at_), *evacuations_due_at_);
    }
    for (const auto& [pool, queue] : waiting_) {
        if (const auto expiry = queue.next_expiry()) {
            const auto check_at = std::min(*expiry, check_waiting_at_);
            next = std::min(next.value_or(check_at), check_at);
        }
    }
    return next;
}

void traffic_router::update_work_gauges()
{
    for (const auto& [pool, work] : work_) {
        const auto labels = "pool=\"" + pool.str() + '"';
        metrics_.set("prefill_tokens_per_s", std::llround(work.prefill_tokens_per_ms() * 1'000),
                     labels);
        metrics_.set("service_time_us", std::llround(work.service_time_ms() * 1'000), labels);
    }
    metrics_.set("cold_targets", static_cast<std::int64_t>(targets_.cold(now_).size()));
    for (const auto& [pool, speed] : speeds_) {
        const auto labels = "pool=\"" + pool.str() + '"';
        metrics_.set("mean_slowdown_percent", std::llround(speed.mean() * 100), labels);
        metrics_.set("slowdown_persistence_ms", speed.persistence().count() / 1'000, labels);
    }
    for (const auto& [pool, queue] : waiting_) {
        metrics_.set("requests_waiting", static_cast<std::int64_t>(queue.size()),
                     "pool=\"" + pool.str() + '"');
    }
}

void traffic_router::on(request_arrived& e)
{
    metrics_.add("requests");
    if (is_ready()) {
        accept(e.exchange, std::move(e.request));
    }
    else {
        queue_early_request(e.exchange, std::move(e.request));
    }
}

void traffic_router::on(caller_disconnected& e)
{
    std::erase_if(early_requests_, [&](const auto& it) { return it.exchange == e.exchange; });
    const auto it = exchanges_.find(e.exchange);
    if (it == exchanges_.end()) {
        return;
    }
    finish_exchange(e.exchange, it->second, 0, "caller_left", "the caller closed its connection");
}

void traffic_router::on(attempt_broken& e)
{
    const auto it = find_exchange(e.key);
    if (it == exchanges_.end()) {
        return;
    }
    const bool was_not_sent = e.stage == attempt_stage::not_sent;
    log(log_event{"attempt_broken"}
            .add("request", it->second.request->id)
            .add("attempt", e.key.number.value())
            .add("target", it->second.running->target)
            .add("stage", to_string(e.stage))
            .add("route", it->second.route.name)
            .add("sent_ms", (now_ - it->second.running->sent.at).count() / 1'000)
            .add("first_byte", it->second.running->has_first_byte ? 1 : 0)
            .add("events", it->second.running->events.complete_events())
            .add("parts", format_shared_parts(*it->second.request))
            .add("reason", e.reason));
    metrics_.add("attempts_broken", 1,
                 std::string{"stage=\""} + std::string{to_string(e.stage)} + '"');
    if (was_not_sent) {
        --it->second.sends;
        --it->second.may_have_run;
    }
    if (was_not_sent) {
        crashes_.record_unreachable(key_of(it->second.running->target), now_);
    }
    else if (e.is_closed_by_target) {
        record_possible_crash(it->second);
    }
    end_attempt(it->second, was_not_sent ? attempt_outcome::unreachable : attempt_outcome::failed);
    retry_or_fail(e.key.exchange, it->second, was_not_sent, e.reason);
    apply_new_quarantines();
}

void traffic_router::on(answer_begun& e)
{
    const auto it = find_exchange(e.key);
    if (it == exchanges_.end()) {
        return;
    }
    auto& state = it->second;
    if (auto* target = target_of(state); target != nullptr && e.answer.load) {
        const auto in_flight = e.answer.load->running + e.answer.load->waiting;
        crashes_.record_sign_of_life(target->key(), now_);
        record_load(*target, in_flight, e.answer.load->slowdown, now_);
        effects_.emplace_back(share_load{target->key(), in_flight, e.answer.load->slowdown});
    }
    if (!e.answer.answered_attempt.empty() && e.answer.answered_attempt != state.request->id) {
        metrics_.add("answers_of_other_requests");
        log(log_event{"answer_skipped"}
                .add("request", state.request->id)
                .add("target", state.running->target)
                .add("answers", e.answer.answered_attempt));
        effects_.emplace_back(skip_answer{e.key});
        return;
    }
    if (e.answer.answered_attempt.empty()) {
        // It may belong to an earlier request on the connection.
        e.answer.is_signed = false;
        e.answer.states_not_run = false;
    }
    if (auto* target = target_of(state); target != nullptr) {
        record_statements(*target, e.answer);
    }
    state.running->is_answering = true;
    state.running->ends_with_connection = e.answer.ends_with_connection;
    if (e.answer.states_not_run) {
        handle_refusal(e.key.exchange, state, e.answer);
        return;
    }
    const bool continues = !state.has_begun || continues_stream(state, e.answer);
    if (!e.answer.is_success() || !e.answer.is_signed || !continues) {
        handle_failure(e.key.exchange, state, std::move(e.answer));
        return;
    }
    if (!state.has_begun) {
        state.answer = std::move(e.answer);
    }
}

void traffic_router::on(answer_bytes& e)
{
    const auto it = find_exchange(e.key);
    if (it == exchanges_.end() || !it->second.running->is_answering) {
        return;
    }
    auto& running = *it->second.running;
    if (crashes_.awaits_signs_of_life(now_)) {
        crashes_.record_sign_of_life(key_of(running.target), now_);
    }
    if (!running.has_first_byte) {
        running.has_first_byte = true;
        if (auto* target = target_of(it->second); target != nullptr) {
            auto& work = work_[it->second.pool];
            work.record_prefill(running.sent.prefill_tokens, now_ - running.sent.at);
            target->record_first_byte(running.sent, work.prefill_tokens_per_ms(), now_);
        }
    }
    handle_body_bytes(e.key.exchange, it->second, std::move(e.bytes));
}

void traffic_router::on(answer_finished& e)
{
    const auto it = find_exchange(e.key);
    if (it == exchanges_.end() || !it->second.running->is_answering) {
        return;
    }
    const auto cut_reason = stream_cut_reason(it->second);
    if (!cut_reason.empty()) {
        log(log_event{"stream_cut"}
                .add("request", it->second.request->id)
                .add("attempt", e.key.number.value())
                .add("target", it->second.running->target)
                .add("new_events", it->second.running->new_events)
                .add("reason", cut_reason));
        metrics_.add("streams_cut");
        record_possible_crash(it->second);
        end_attempt(it->second, attempt_outcome::failed);
        retry_or_fail(e.key.exchange, it->second, false, cut_reason);
        apply_new_quarantines();
        return;
    }
    record_whole_answer(it->second);
    record_service_time(it->second);
    end_attempt(it->second, attempt_outcome::answered);
    complete_answer(e.key.exchange, it->second);
}

void traffic_router::on(configuration_changed& e)
{
    configuration_ = std::move(e.configuration);
    profiles_.clear();
    log(log_event{"configuration_in_force"}
            .add("version", configuration_->version().value())
            .add("routes", configuration_->route_count()));
    metrics_.set("configuration_version",
                 static_cast<std::int64_t>(configuration_->version().value()));
    update_cold_rules();
    accept_early_requests();
}

void traffic_router::on(targets_changed& e)
{
    if (cold_senders_.start(now_) || cold_senders_.remove_expired(now_)) {
        targets_.set_cold_senders(cold_senders_.view(), now_);
    }
    const auto ignored = targets_.replace(e.targets, now_, e.restored_at);
    targets_revision_ = e.revision;
    const auto leaving = std::count_if(e.targets.begin(), e.targets.end(),
                                       [](const auto& it) { return it.is_leaving; });
    log(log_event{"targets_in_force"}
            .add("targets", e.targets.size())
            .add("leaving", leaving)
            .add("ignored", ignored)
            .add("revision", e.revision));
    metrics_.set("targets", static_cast<std::int64_t>(e.targets.size()));
    update_evacuation_gauges();
    for (const auto* it : targets_.cold(now_)) {
        report_cold_start(*it);
    }
    accept_early_requests();
}

void traffic_router::on(fleet_changed& e)
{
    routers_ = std::max(e.routers, 1U);
    fleet_ = std::move(e.fleet);
    targets_.update_limit_shares(fleet_, now_);
    cold_senders_.set_live(fleet_, now_);
    targets_.set_cold_senders(cold_senders_.view(), now_);
    for (auto& [pool, budget] : budgets_) {
        configure_budget(budget);
    }
    metrics_.set("live_routers", routers_);
}

void traffic_router::on(const routers_found& e)
{
    cold_senders_.add_registered(e.registered, now_);
    targets_.set_cold_senders(cold_senders_.view(), now_);
}

void traffic_router::on(const loads_received& e)
{
    for (const auto& it : e.loads) {
        if (auto* target = targets_.find(it.target)) {
            record_load(*target, it.in_flight, it.slowdown, it.reported_at);
            crashes_.record_sign_of_life(it.target, it.reported_at);
        }
    }
    metrics_.add("loads_heard", e.loads.size());
}

void traffic_router::on(const failures_received& e)
{
    for (const auto& it : e.failures) {
        auto* target = targets_.find(it.target);
        if (target == nullptr) {
            continue;
        }
        const bool was_suspected = target->suspicion(now_) > 0;
        target->record_remote_failure(it.reporter, it.failed_at);
        if (target->suspicion(now_) > 0 && !was_suspected) {
            target->expect_cold(now_ + target_state::suspicion_time);
            metrics_.add("suspicions");
            log(log_event{"target_suspected"}
                    .add("target", target->registration().id)
                    .add("failure_age_ms", (now_ - it.failed_at).count() / 1'000));
        }
    }
    metrics_.add("failures_heard", e.failures.size());
}

void traffic_router::on(stop_announced& e)
{
    stop_ = e;
    stop_started_at_ = now_;
}

void traffic_router::on(const exit_announced&)
{
    for (const auto& it : std::exchange(early_requests_, {})) {
        refuse_arrival(it.exchange, it.request, 503, "the router stops", stop_retry_after);
    }
    std::vector<exchange_number> open;
    open.reserve(exchanges_.size());
    for (const auto& [number, it] : exchanges_) {
        open.push_back(number);
    }
    for (const auto number : open) {
        auto& it = exchanges_.at(number);
        fail_request(number, it, it.may_have_run > 0 ? 502 : 503, "the router stops",
                     stop_retry_after);
    }
}

void traffic_router::on(timer_due&)
{
    end_evacuations_wait();
    refuse_expired_early_requests();
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto number = timers_.begin()->second;
        timers_.erase(timers_.begin());
        auto& it = exchanges_.at(number);
        if (now_ >= it.expires_at) {
            // No target runs the request if each attempt was reported as not run.
            const bool may_run = it.may_have_run > 0 || it.running;
            fail_request(number, it, may_run ? 504 : 503, "the time for the answer is over");
            continue;
        }
        set_timer(number, it, it.expires_at);
        if (it.running && !it.running->is_answering && may_retry(it, false) && consume_retry(it)) {
            log(log_event{"attempt_hung"}
                    .add("request", it.request->id)
                    .add("target", it.running->target));
            effects_.emplace_back(cancel_attempt{{number, it.running->number}});
            end_attempt(it, attempt_outcome::failed);
            start_next_attempt(number, it);
        }
    }
}

void traffic_router::set_timer(exchange_number number, exchange& it, time_point at)
{
    timers_.erase({it.timer_at, number});
    it.timer_at = at;
    timers_.emplace(at, number);
}

traffic_router::exchange_map::iterator traffic_router::find_exchange(const exchange_attempt& key)
{
    const auto it = exchanges_.find(key.exchange);
    const bool is_current =
        it != exchanges_.end() && it->second.running && it->second.running->number == key.number;
    return is_current ? it : exchanges_.end();
}

target_state* traffic_router::target_of(const exchange& it)
{
    auto* target = it.running ? targets_.find(it.running->target) : nullptr;
    const bool is_same =
        target != nullptr && target->registration().started == it.running->target_start;
    return is_same ? target : nullptr;
}

} // namespace endivelatch
