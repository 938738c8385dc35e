#include "endivelatch/admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {
namespace {

constexpr duration shortest_retry_after{1'000'000};
constexpr duration longest_retry_after{60'000'000};

/// Appends the effects of a later step.
void append(admission_effects& effects, admission_effects more)
{
    effects.insert(effects.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

} // namespace

std::string_view to_string(refusal r)
{
    switch (r) {
    case refusal::deadline:
        return "deadline";
    case refusal::queue_full:
        return "queue_full";
    case refusal::cancelled:
        return "cancelled";
    }
    return "unknown";
}

admission::admission(admission_settings settings)
    : settings_{settings}, lease_{settings.lease}, limiter_{settings.report_delay}
{
}

admission::target_state* admission::find_target(const target_id& id)
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

const admission::target_state* admission::find_target(const target_id& id) const
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

void admission::update_share(time_point now, admission_effects& effects)
{
    const auto share = lease_.current_share(now);
    const auto is_regained = share == admission_share::full && share_ != admission_share::full;
    if (is_regained && has_admitted_) {
        begin_handovers(now, effects);
    }
    if (share == admission_share::reduced && share_ != share) {
        for (const auto& id : owned_) {
            auto& target = targets_.at(id);
            target.incoming_handover.peers_lost(target.in_flight, now);
        }
    }
    has_admitted_ = has_admitted_ || share != admission_share::none;
    share_ = share;
}

void admission::begin_handovers(time_point now, admission_effects& effects)
{
    for (const auto& id : owned_) {
        auto& target = targets_.at(id);
        target.incoming_handover.begin({true, std::nullopt}, target.in_flight, now);
        target.adoption = ++last_adoption_;
        effects.emplace_back(ownership_doubtful{id});
    }
}

admission_effects admission::doubt_ownership(time_point now)
{
    admission_effects effects;
    update_share(now, effects);
    begin_handovers(now, effects);
    return effects;
}

std::uint32_t admission::limit(target_state& target, admission_share share, time_point now) const
{
    auto& pool = *target.pool;
    auto total = pool.load.total(now);
    if (share == admission_share::full) {
        pool.last_confirmed_total = total;
    }
    total = std::max(total, share == admission_share::reduced ? pool.last_confirmed_total : 0);
    const auto bound = load_cap(pool.load_bound, total, pool.load.targets());
    const auto hard_limit = target.document.max_in_flight;
    return hard_limit == 0 ? bound : std::min(bound, hard_limit);
}

std::uint32_t admission::isolated_limit(std::uint32_t full_limit) const
{
    const auto limit = static_cast<std::uint32_t>(full_limit * settings_.isolated_share);
    return std::max<std::uint32_t>(1, limit);
}

admission::slot_counts admission::count_slots(target_state& target, time_point now)
{
    const auto share = lease_.current_share(now);
    if (share == admission_share::none || !target.is_owned || !target.pool->calls.has_free_call()) {
        return {};
    }
    const auto full_limit = limit(target, share, now);
    const auto reserve = target.incoming_handover.reserve(isolated_limit(full_limit), now);
    const auto usable = share == admission_share::full ? full_limit : isolated_limit(full_limit);
    const auto taken = std::uint64_t{target.in_flight} + reserve;
    if (taken >= usable) {
        return {usable, 0, 0};
    }
    const auto is_hard_limited = full_limit == target.document.max_in_flight;
    const auto bound_headroom = std::max(0.0, 1 - 1 / target.pool->load_bound) / 2;
    const auto headroom =
        is_hard_limited ? settings_.headroom : std::min(settings_.headroom, bound_headroom);
    return {usable, static_cast<std::uint32_t>(usable - taken),
            static_cast<std::uint32_t>(headroom * usable)};
}

bool admission::is_throttled(const target_state& target, const organisation_id& organisation,
                             const slot_counts& slots, time_point now) const
{
    if (slots.free > slots.headroom) {
        return false;
    }
    auto& pool = *target.pool;
    const auto total_slots = std::uint64_t{slots.limit} * pool.owned;
    return pool.surges.is_surging(organisation, weight_of(organisation), total_slots, now);
}

void admission::unthrottle(target_state& target)
{
    for (const auto& it : target.throttled) {
        target.queue.set_blocked(it, false);
    }
    target.throttled.clear();
}

std::uint32_t admission::weight_of(const organisation_id& organisation) const
{
    const auto it = weights_.find(organisation);
    return it == weights_.end() ? 1 : it->second;
}

void admission::count_changed(target_state& target, time_point now)
{
    target.incoming_handover.own_changed(target.in_flight, now);
    if (target.is_owned && target.counts_in_mean()) {
        target.pool->load.set_own(target.document.id, target.in_flight);
    }
}

void admission::start(target_state& target, time_point now, admission_effects& effects)
{
    auto request = target.queue.pop();
    waiting_.erase(request.key);
    ++target.in_flight;
    target.pool->surges.acquire(request.organisation, weight_of(request.organisation), now);
    target.pool->calls.try_start_call();
    limiter_.started(request.organisation, now);
    count_changed(target, now);
    if (target.last_start != time_point{}) {
        const auto since_last_start = std::min(now - target.last_start, longest_retry_after);
        target.start_interval = (target.start_interval * 7 + since_last_start) / 8;
    }
    target.last_start = now;
    effects.emplace_back(start_run{request.key, target.document.id});
    running_.emplace(std::move(request.key),
                     running_request{target.document.id, std::move(request.organisation),
                                     std::move(request.caller), request.work_tokens});
}

bool admission::start_waiting(target_state& target, time_point now, admission_effects& effects)
{
    bool has_started = false;
    if (!target.throttled.empty() && count_slots(target, now).free > 0) {
        unthrottle(target);
    }
    while (const auto* front = target.queue.front()) {
        const auto slots = count_slots(target, now);
        if (slots.free == 0) {
            break;
        }
        if (is_throttled(target, front->organisation, slots, now)) {
            target.throttled.push_back(front->organisation);
            target.queue.set_blocked(target.throttled.back(), true);
            continue;
        }
        if (limiter_.may_start(front->organisation, now)) {
            start(target, now, effects);
            has_started = true;
            continue;
        }
        if (blocked_.empty()) {
            unblock_at_ = limiter_.next_window(now);
        }
        const auto organisation = front->organisation;
        blocked_[organisation].insert(target.document.id);
        target.queue.set_blocked(organisation, true);
    }
    if (target.queue.empty()) {
        target.pool->waiting.erase(target.document.id);
    }
    return has_started;
}

void admission::start_waiting(pool_state& pool, time_point now, admission_effects& effects)
{
    bool has_started = true;
    while (has_started && !pool.waiting.empty()) {
        has_started = false;
        const auto ids = pool.waiting;
        for (const auto& id : ids) {
            has_started = start_waiting(targets_.at(id), now, effects) || has_started;
        }
    }
}

void admission::refuse_expired(target_state& target, time_point now, admission_effects& effects)
{
    for (auto& it : target.queue.expire(now)) {
        waiting_.erase(it.key);
        effects.emplace_back(refuse{std::move(it.key), refusal::deadline, retry_after(target)});
    }
    if (target.queue.empty() && target.pool != nullptr) {
        target.pool->waiting.erase(target.document.id);
    }
}

duration admission::retry_after(const target_state& target)
{
    const auto wait = target.start_interval * static_cast<std::int64_t>(target.queue.size() + 1);
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

void admission::move_waiting(target_state& target, admission_effects& effects)
{
    for (auto& it : target.queue.take_all()) {
        waiting_.erase(it.key);
        effects.emplace_back(move_request{std::move(it.key), target.document.id});
    }
    if (target.pool != nullptr) {
        target.pool->waiting.erase(target.document.id);
    }
}

void admission::unblock(const organisation_id& organisation, time_point now,
                        admission_effects& effects)
{
    const auto found = blocked_.find(organisation);
    if (found == blocked_.end()) {
        return;
    }
    const auto ids = std::move(found->second);
    blocked_.erase(found);
    for (const auto& id : ids) {
        auto* target = find_target(id);
        if (target == nullptr) {
            continue;
        }
        target->queue.set_blocked(organisation, false);
        start_waiting(*target, now, effects);
    }
}

admission_effects admission::submit(const admission_request& request, time_point now)
{
    admission_effects effects;
    if (waiting_.contains(request.key) || running_.contains(request.key)) {
        return effects;
    }
    update_share(now, effects);
    auto* target = find_target(request.target);
    if (target == nullptr || !target->is_owned) {
        effects.emplace_back(move_request{request.key, request.target});
        return effects;
    }
    if (request.start_by < now) {
        effects.emplace_back(refuse{request.key, refusal::deadline, retry_after(*target)});
        return effects;
    }
    refuse_expired(*target, now, effects);
    waiting_.emplace(request.key, request.target);
    const auto evicted =
        target->queue.push({request.key, request.organisation, request.caller, request.priority,
                            request.work_tokens, request.start_by},
                           weight_of(request.organisation));
    if (evicted) {
        waiting_.erase(evicted->key);
        effects.emplace_back(refuse{evicted->key, refusal::queue_full, retry_after(*target)});
    }
    target->pool->waiting.insert(request.target);
    start_waiting(*target->pool, now, effects);
    return effects;
}

admission_effects admission::finished(const attempt_key& key, std::uint32_t tokens, time_point now)
{
    admission_effects effects;
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return effects;
    }
    const auto run = std::move(found->second);
    running_.erase(found);
    update_share(now, effects);
    limiter_.finished(run.organisation);
    auto& target = targets_.at(run.target);
    --target.in_flight;
    target.pool->surges.release(run.organisation, now);
    target.pool->calls.end_call();
    count_changed(target, now);
    target.queue.complete(run.organisation, run.caller, run.work_tokens, tokens);
    refuse_expired(target, now, effects);
    auto& pool = *target.pool;
    if (target.is_removed && target.in_flight == 0) {
        targets_.erase(run.target);
    }
    start_waiting(pool, now, effects);
    unblock(run.organisation, now, effects);
    return effects;
}

admission_effects admission::cancel(const attempt_key& key, time_point now)
{
    admission_effects effects;
    const auto found = waiting_.find(key);
    if (found == waiting_.end()) {
        return effects;
    }
    auto& target = targets_.at(found->second);
    target.queue.cancel(key);
    waiting_.erase(found);
    effects.emplace_back(refuse{key, refusal::cancelled, duration{0}});
    append(effects, tick(now));
    return effects;
}

admission_effects admission::renew_lease(time_point sent_at, time_point now)
{
    // Detect a lapse before the renewal hides it: it requires hand-overs of all owned targets.
    admission_effects effects;
    update_share(now, effects);
    lease_.renew(sent_at);
    const auto share_before = share_;
    update_share(now, effects);
    for (const auto& id : owned_) {
        targets_.at(id).incoming_handover.peers_confirmed(sent_at, now);
    }
    if (share_ != share_before) {
        append(effects, tick(now));
    }
    return effects;
}

admission_effects admission::set_peers_needed(bool needed, time_point now)
{
    lease_.set_peers_needed(needed);
    return tick(now);
}

admission_effects admission::remote_usage(const router_id& router,
                                          const organisation_id& organisation,
                                          std::uint32_t in_flight, time_point now)
{
    admission_effects effects;
    if (limiter_.remote_usage(router, organisation, in_flight)) {
        update_share(now, effects);
        unblock(organisation, now, effects);
    }
    return effects;
}

admission_effects admission::tick(time_point now)
{
    admission_effects effects;
    update_share(now, effects);
    for (const auto& id : owned_) {
        refuse_expired(targets_.at(id), now, effects);
    }
    for (auto& [id, pool] : pools_) {
        start_waiting(pool, now, effects);
    }
    if (blocked_.empty() || now < unblock_at_) {
        return effects;
    }
    for (const auto& [organisation, ids] : std::exchange(blocked_, {})) {
        for (const auto& id : ids) {
            if (auto* target = find_target(id)) {
                target->queue.set_blocked(organisation, false);
            }
        }
    }
    for (auto& [id, pool] : pools_) {
        start_waiting(pool, now, effects);
    }
    return effects;
}

std::optional<time_point> admission::next_timer(time_point now) const
{
    std::optional<time_point> next;
    const auto consider = [&next](std::optional<time_point> t) {
        if (t && (!next || *t < *next)) {
            next = t;
        }
    };
    for (const auto& id : owned_) {
        const auto& target = targets_.at(id);
        if (target.queue.empty()) {
            continue;
        }
        consider(*target.queue.next_deadline() + duration{1});
        consider(target.incoming_handover.next_change(now));
    }
    if (!waiting_.empty()) {
        consider(lease_.next_change(now));
    }
    if (!blocked_.empty()) {
        consider(unblock_at_);
    }
    return next && *next < now ? now : next;
}

} // namespace endivelatch
