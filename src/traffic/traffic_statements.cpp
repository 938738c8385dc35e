#include "endivelatch/traffic/traffic_router.hpp"

#include <cmath>

namespace endivelatch {

namespace {

/// Returns a rate in thousandths of a request per second, for logs.
long long to_milli(double per_second)
{
    constexpr double milli_per_unit = 1'000;
    return std::llround(per_second * milli_per_unit);
}

} // namespace

void traffic_router::on(const limits_received& e)
{
    for (const auto& it : e.limits) {
        if (auto* target = targets_.find(it.target)) {
            apply_limit(*target, it.limit, it.stated_at, "router");
        }
    }
    metrics_.add("limits_heard", e.limits.size());
}

/// Records the load that a target has reported, and how its slowdown has changed.
void traffic_router::record_load(target_state& target, std::uint32_t in_flight,
                                 std::optional<double> slowdown, time_point reported_at)
{
    const auto former = target.slowdown();
    target.update_load(in_flight, reported_at, slowdown);
    const auto& last = target.slowdown();
    if (former && last && *former != *last) {
        speeds_[target.registration().pool].record(*former, *last);
    }
}

/// Records what the target states of itself in an answer. 421 comes from another target.
void traffic_router::record_statements(target_state& target, const target_answer& answer)
{
    if (answer.status == 421 || answer.answered_attempt.empty()) {
        return;
    }
    if (answer.pause) {
        target.pause(*answer.pause, now_);
        metrics_.add("pauses");
        log(log_event{"target_paused"}
                .add("target", target.registration().id)
                .add("ms", answer.pause->count() / 1'000));
    }
    if (!answer.is_signed && !answer.states_not_run) {
        return;
    }
    if (answer.states_leaving && target.set_leaving()) {
        metrics_.add("targets_stated_leaving");
        log(log_event{"target_leaving"}.add("target", target.registration().id));
    }
    if (answer.cold_left) {
        target.state_cold(*answer.cold_left, now_);
        report_cold_start(target);
    }
    record_limit(target, answer);
}

/// Records the rate limit that the target states, or that it states none.
void traffic_router::record_limit(target_state& target, const target_answer& answer)
{
    const bool is_unreadable = answer.states_limit && !answer.request_limit;
    const bool is_known = answer.states_limit || target.limit() != nullptr;
    if (is_unreadable || !is_known) {
        return;
    }
    apply_limit(target, answer.request_limit, now_, "answer");
    effects_.emplace_back(share_limit{target.key(), answer.request_limit});
}

void traffic_router::apply_limit(target_state& target, std::optional<request_rate> limit,
                                 time_point stated_at, std::string_view source)
{
    const auto demand = demand_per_target(target.registration().pool);
    if (!target.set_limit(limit, stated_at, demand, fleet_, now_)) {
        return;
    }
    const auto* in_force = target.limit();
    metrics_.add("limit_changes");
    log(log_event{"target_limit"}
            .add("target", target.registration().id)
            .add("milli_per_s", in_force == nullptr ? -1 : to_milli(in_force->limit().per_second))
            .add("share_milli_per_s", in_force == nullptr ? -1 : to_milli(in_force->share().rate))
            .add("senders", in_force == nullptr ? 0 : in_force->share().senders)
            .add("source", source)
            .add("age_ms", (now_ - stated_at).count() / 1'000));
}

} // namespace endivelatch
