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

/// Returns whether requests to the pool wait for room.
bool traffic_router::waits_for_room(const pool_id&) const
{
    return settings_.waits_for_room;
}

/// Counts a new request among those of its group.
void traffic_router::record_arrival(exchange& it)
{
    if (it.is_counted || !waits_for_room(it.pool)) {
        return;
    }
    record_profile(it);
    it.is_counted = true;
    if (!it.has_returned) {
        waiting_[it.pool].shares().record_arrival(it.group, now_);
    }
}

/// Compares the request with others of its route. A caller that states less time than usual has
/// used the rest for an earlier try.
void traffic_router::record_profile(exchange& it)
{
    it.group.priority = it.priority;
    auto& usual = profiles_[it.route.name];
    if (const auto timeout = it.request->timeout) {
        it.has_returned = usual.timeout - *timeout >= full_retry_after;
        usual.timeout = std::max(usual.timeout, *timeout);
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
/// hold requests for `on_time_share` of their objective; prompt parts that are shared may be
/// cached.
time_point traffic_router::latest_start(const exchange& it)
{
    const auto& work = work_[it.pool];
    auto needed_ms =
        std::max(work.service_time_ms(), to_ms(it.route.latency_objective) * on_time_share);
    if (const auto& prompt = it.request->prompt) {
        const auto own_tokens =
            prompt->parts.empty() ? prompt->tokens : prompt->parts.back().tokens;
        needed_ms = own_tokens / work.prefill_tokens_per_ms();
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
        check_waiting_at_ = now_ + waiting_check_interval;
    }
    refuse_waiting(queue);
    return true;
}

/// Sends the requests for which targets have room, if it is time to check.
void traffic_router::serve_waiting()
{
    const bool is_due = now_ >= check_waiting_at_;
    bool is_any_waiting = false;
    for (auto& [pool, queue] : waiting_) {
        if (is_due) {
            serve_waiting(queue);
        }
        else if (const auto expiry = queue.next_expiry(); expiry && *expiry <= now_) {
            refuse_waiting(queue);
        }
        is_any_waiting = is_any_waiting || !queue.empty();
    }
    if (is_due && is_any_waiting) {
        check_waiting_at_ = now_ + waiting_check_interval;
    }
}

/// Sends requests of the pool in their order. A group ends at its first request without room, so
/// that equal requests keep their order.
void traffic_router::serve_waiting(waiting_queue& queue)
{
    if (queue.empty()) {
        return;
    }
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
        }
    }
    refuse_waiting(queue);
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
