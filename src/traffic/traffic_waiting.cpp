#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

/// Returns the tokens that an engine holds for the request at most.
std::uint64_t total_tokens(const prompt_info& prompt)
{
    return std::uint64_t{prompt.tokens} + prompt.output_limit;
}

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

duration to_duration(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

} // namespace

std::size_t traffic_router::waiting() const
{
    std::size_t n = 0;
    for (const auto& [pool, queue] : waiting_) {
        n += queue.size();
    }
    return n;
}

/// Returns whether requests to the pool wait for room. Where targets state how long work takes on
/// their machines now, the room changes within the time that a request can wait.
bool traffic_router::waits_for_room(const pool_id& pool) const
{
    return settings_.waits_for_room || speeds_.contains(pool);
}

/// Counts a new request among those of its group.
void traffic_router::record_arrival(exchange& it)
{
    if (it.is_counted || !waits_for_room(it.pool)) {
        return;
    }
    record_profile(it);
    it.is_counted = true;
    if (!it.organisation.empty()) {
        auto& usage = usages_[it.pool];
        usage.record_arrival(it.organisation, work_ms(it), now_);
        it.group.is_excess =
            usage.is_excess(it.organisation, stable_hash(it.request->id.str()), now_);
    }
    if (!it.has_returned) {
        waiting_[it.pool].shares().record_arrival(it.group, now_);
    }
}

/// Records that the request is sent to a target for the first time.
void traffic_router::record_service(const exchange& it)
{
    if (!it.organisation.empty()) {
        usages_[it.pool].record_service(it.organisation, work_ms(it), now_);
    }
    waiting_[it.pool].shares().record_service(it.group, now_);
}

/// Returns the time that a target needs for the request, without waits. Prompt parts that are
/// shared may be cached.
double traffic_router::work_ms(const exchange& it)
{
    const auto& work = work_[it.pool];
    const auto& prompt = it.request->prompt;
    if (!prompt) {
        return work.service_time_ms();
    }
    const auto own_tokens = prompt->parts.empty() ? prompt->tokens : prompt->parts.back().tokens;
    return own_tokens / work.prefill_tokens_per_ms();
}

/// Compares the request with others of its route. A caller that states less time than usual has
/// used the rest for an earlier try.
void traffic_router::record_profile(exchange& it)
{
    it.group.priority = it.priority;
    auto& usual = profiles_[it.route.name];
    if (const auto timeout = it.request->timeout) {
        const auto timeout_ms = to_ms(*timeout);
        if (!usual.timeout_ms) {
            usual.timeout_ms.emplace(timeout_ms, 0.5);
        }
        it.has_returned = usual.timeout_ms->samples() >= min_profile_samples &&
                          usual.timeout_ms->value() - timeout_ms >= to_ms(full_retry_after);
        usual.timeout_ms->add(timeout_ms);
    }
    if (it.request->prompt) {
        const auto tokens = static_cast<double>(total_tokens(*it.request->prompt));
        constexpr double largest_tenth = 0.9;
        if (!usual.tokens) {
            usual.tokens.emplace(tokens, largest_tenth);
        }
        it.group.is_large = tokens > usual.tokens->value();
        usual.tokens->add(tokens);
    }
}

/// Returns the latest time at which the request can be sent and still be in time. Plain targets
/// hold requests for `on_time_share` of their objective.
time_point traffic_router::latest_start(const exchange& it)
{
    auto needed_ms = work_ms(it);
    if (!it.request->prompt) {
        needed_ms = std::max(needed_ms, to_ms(it.route.latency_objective) * on_time_share);
    }
    const auto objective =
        std::chrono::duration_cast<duration>(it.route.latency_objective * tight_share);
    const auto latest = std::min(it.arrived_at + objective - to_duration(needed_ms),
                                 it.expires_at - min_attempt_time);
    return stop_ ? std::min(latest, stop_->exits_at) : latest;
}

/// Returns whether a target may take the request before the given time, as far as is known.
bool traffic_router::can_room_come_in_time(const exchange& it, time_point latest) const
{
    const auto& targets = targets_.ready(it.pool);
    return std::any_of(targets.begin(), targets.end(), [&](const auto* target) {
        return now_ + target->obstacle_left(now_) < latest;
    });
}

/// Lets the request wait for room at a target. Returns whether it waits; it does not if it may have
/// run, as its refusal would be untrue, or if it cannot be in time.
bool traffic_router::wait_for_room(exchange_number number, exchange& it, std::string_view reason)
{
    if (!waits_for_room(it.pool) || it.may_have_run > 0 || it.has_begun || it.sends >= max_sends) {
        return false;
    }
    const auto latest = latest_start(it);
    if (latest <= now_ || !can_room_come_in_time(it, latest)) {
        return false;
    }
    waiting_request request;
    request.number = number;
    request.group = it.group;
    request.latest_start = latest;
    if (it.has_returned || it.sends > 0) {
        request.advance =
            std::chrono::duration_cast<duration>(it.route.latency_objective * return_advance_share);
    }
    request.is_idempotent = it.route.is_idempotent();
    request.bytes = it.request->body.size() + waiting_overhead;
    request.sequence = number.value();
    auto& queue = waiting_[it.pool];
    if (!queue.can_come_up(request, now_)) {
        return false;
    }
    it.waits_since = now_;
    it.tried.clear(); // Targets that refused it may have room later.
    log(log_event{"request_waits"}
            .add("request", it.request->id)
            .add("pool", it.pool)
            .add("reason", reason)
            .add("priority", it.priority)
            .add("others", queue.size())
            .add("left_ms", (latest - now_).count() / 1'000));
    metrics_.add("waits", 1, "reason=\"" + std::string{reason} + '"');
    queue.add(request);
    if (queue.size() == 1) {
        check_interval_ = waiting_check_interval;
        check_waiting_at_ = now_ + check_interval_;
    }
    refuse_waiting(queue);
    return true;
}

/// Lets the next event check whether there is room for waiting requests of the pool.
void traffic_router::check_waiting(const pool_id& pool)
{
    const auto it = waiting_.find(pool);
    if (it != waiting_.end() && !it->second.empty()) {
        check_waiting_at_ = now_;
    }
}

/// Sends the requests for which targets have room, if it is time to check.
void traffic_router::serve_waiting()
{
    const bool is_due = now_ >= check_waiting_at_;
    bool is_any_waiting = false;
    bool is_any_sent = false;
    for (auto& [pool, queue] : waiting_) {
        if (is_due && serve_waiting(queue)) {
            is_any_sent = true;
        }
        else if (const auto expiry = queue.next_expiry(); expiry && *expiry <= now_) {
            refuse_waiting(queue);
        }
        is_any_waiting = is_any_waiting || !queue.empty();
    }
    if (is_due && is_any_waiting) {
        check_interval_ = is_any_sent ? waiting_check_interval
                                      : std::min(check_interval_ * 2, max_waiting_check_interval);
        check_waiting_at_ = now_ + check_interval_;
    }
}

/// Sends requests of the pool in their order. A group ends at its first request without room, so
/// that equal requests keep their order. Returns whether any was sent.
bool traffic_router::serve_waiting(waiting_queue& queue)
{
    bool is_any_sent = false;
    for (const auto& group : queue.groups(now_)) {
        while (const auto number = queue.first(group)) {
            auto& it = exchanges_.at(*number);
            if (refuse_quarantined(*number, it)) {
                continue;
            }
            const auto result = choose_target(query_for(it), targets_, now_);
            const auto* chosen = std::get_if<chosen_target>(&result);
            if (chosen == nullptr) {
                break;
            }
            queue.release(*number, now_);
            end_wait(*number, it, "sent");
            send_attempt(*number, it, *chosen);
            is_any_sent = true;
        }
    }
    refuse_waiting(queue);
    return is_any_sent;
}

/// Refuses the requests that yield now.
void traffic_router::refuse_waiting(waiting_queue& queue)
{
    for (const auto& request : queue.take_refused(now_)) {
        auto& it = exchanges_.at(request.number);
        const bool is_late = request.latest_start <= now_;
        fail_request(request.number, it, 503, is_late ? "no room in time" : "others come first",
                     spread_retry_after(full_retry_after, it));
    }
}

void traffic_router::end_wait(exchange_number number, exchange& it, std::string_view outcome)
{
    waiting_[it.pool].remove(number);
    const auto waited = now_ - *it.waits_since;
    it.waits_since.reset();
    log(log_event{"wait_ended"}
            .add("request", it.request->id)
            .add("outcome", outcome)
            .add("waited_ms", waited.count() / 1'000));
    metrics_.add("waits_ended", 1, "outcome=\"" + std::string{outcome} + '"');
    metrics_.observe("wait_duration", waited);
}

/// Returns the share of a plain target's room that the request leaves to more urgent ones.
double traffic_router::reserved_share(const exchange& it)
{
    const auto most_urgent = waiting_[it.pool].shares().most_urgent();
    const auto steps = it.priority - std::min(it.priority, most_urgent);
    return reserved_share_step * std::min(steps, max_reserved_steps);
}

/// Spreads the return of callers over the time in which they can be told to return, so that those
/// that were refused together do not come back together.
duration traffic_router::spread_retry_after(duration shortest, const exchange& it) const
{
    if (!waits_for_room(it.pool)) {
        return shortest;
    }
    const auto stated = it.request->timeout.value_or(it.route.timeout);
    const auto left = it.arrived_at + stated - now_;
    const auto longest = std::chrono::duration_cast<duration>(left * return_share);
    const auto width = std::clamp(longest - shortest, duration{}, max_late_retry_after);
    auto draw = random_source{stable_hash(it.request->id.str())};
    return shortest + std::chrono::duration_cast<duration>(width * draw.fraction());
}

} // namespace endivelatch
