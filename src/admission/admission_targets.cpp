#include "endivelatch/admission/admission.hpp"

#include <algorithm>
#include <limits>

namespace endivelatch {
namespace {

/// An index of the configured exceptions by subject and setting.
class exception_index {
public:
    explicit exception_index(const configuration& config)
    {
        for (const auto& [id, it] : config.exceptions) {
            values_[it.subject + ' ' + it.setting] = it.value;
        }
    }

    /// Returns the value of an exception for a subject such as `pool/ID`, or else `fallback`.
    double find(const std::string& subject, const std::string& setting, double fallback) const
    {
        if (values_.empty()) {
            return fallback;
        }
        const auto it = values_.find(subject + ' ' + setting);
        return it == values_.end() ? fallback : it->second;
    }

private:
    std::unordered_map<std::string, double> values_;
};

/// Returns the limits on calls to a pool; only plain services have a limit on sockets.
bulkhead_limits limits_for(const configuration& config, const exception_index& exceptions,
                           const target_document& document)
{
    bulkhead_limits limits;
    limits.calls = std::numeric_limits<std::uint32_t>::max();
    if (document.kind == target_kind::service) {
        const auto calls = exceptions.find("pool/" + document.pool.str(), "service_sockets",
                                           config.defaults.service_sockets);
        limits.calls = static_cast<std::uint32_t>(calls);
    }
    return limits;
}

} // namespace

admission_effects admission::configure(const configuration& config, time_point now)
{
    admission_effects effects;
    update_share(now, effects);
    settings_.handover.max_request_duration = config.defaults.request_timeout;
    const exception_index exceptions{config};
    limiter_.set_default_cap(config.defaults.organisation_cap);
    weights_.clear();
    for (const auto& [id, it] : config.organisations) {
        weights_[id] = it.weight;
        const auto cap =
            exceptions.find("organisation/" + id.str(), "organisation_cap", it.max_in_flight);
        limiter_.set_cap(id, static_cast<std::uint32_t>(cap));
    }
    remove_missing(config, effects);
    for (const auto& [id, document] : config.targets) {
        apply(config, exceptions, document, effects);
    }
    for (auto& [id, pool] : pools_) {
        start_waiting(pool, now, effects);
    }
    return effects;
}

void admission::remove_missing(const configuration& config, admission_effects& effects)
{
    for (auto it = targets_.begin(); it != targets_.end();) {
        auto& target = it->second;
        if (config.targets.contains(it->first)) {
            ++it;
            continue;
        }
        stop_admitting(target, effects);
        target.pool->load.remove_target(it->first);
        target.is_removed = true;
        it = target.in_flight == 0 ? targets_.erase(it) : std::next(it);
    }
}

template <class Exceptions>
void admission::apply(const configuration& config, const Exceptions& exceptions,
                      const target_document& document, admission_effects& effects)
{
    auto [pool_it, is_new_pool] = pools_.try_emplace(document.pool);
    auto& pool = pool_it->second;
    if (is_new_pool) {
        pool.load = pool_load{settings_.report_decay_time};
    }
    const auto configured_bound =
        exceptions.find("pool/" + document.pool.str(), "load_bound", config.defaults.load_bound);
    pool.load_bound = std::max(1.0, configured_bound - settings_.bound_margin);
    pool.calls.set_limits(limits_for(config, exceptions, document));

    auto& target = targets_.try_emplace(document.id).first->second;
    // A target that moves to another pool is given up; its running calls count in the new pool.
    const auto changes_pool = target.pool != nullptr && target.pool != &pool;
    if (changes_pool) {
        stop_admitting(target, effects);
        target.pool->load.remove_target(document.id);
        for (std::uint32_t n = 0; n < target.in_flight; ++n) {
            target.pool->calls.end_call();
            pool.calls.try_start_call();
        }
    }
    target.document = document;
    target.pool = &pool;
    target.is_removed = false;
    target.is_draining = document.draining;
    const auto length = exceptions.find("target/" + document.id.str(), "queue_length",
                                        config.defaults.queue_length);
    target.queue.set_capacity(static_cast<std::size_t>(length));
    update_mean(target);
    if (target.is_draining) {
        stop_admitting(target, effects);
    }
}

void admission::update_mean(target_state& target)
{
    auto& load = target.pool->load;
    if (!target.counts_in_mean()) {
        load.remove_target(target.document.id);
        return;
    }
    load.add_target(target.document.id);
    if (target.is_owned) {
        load.set_own(target.document.id, target.in_flight);
    }
}

void admission::stop_admitting(target_state& target, admission_effects& effects)
{
    move_waiting(target, effects);
    target.pool->load.clear_own(target.document.id);
    target.pool->owned -= target.is_owned ? 1 : 0;
    target.is_owned = false;
    owned_.erase(target.document.id);
}

admission_effects admission::set_available(const target_id& target, bool available, time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || state->is_removed || state->is_available == available) {
        return effects;
    }
    state->is_available = available;
    update_mean(*state);
    update_share(now, effects);
    start_waiting(*state->pool, now, effects);
    return effects;
}

admission_effects admission::adopt(const target_id& target, const former_owner_info& former,
                                   time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || state->is_removed || state->is_draining || state->is_owned) {
        return effects;
    }
    state->is_owned = true;
    ++state->pool->owned;
    state->can_hand_over = true;
    state->adoption = ++last_adoption_;
    owned_.insert(target);
    state->incoming_handover = handover{settings_.handover};
    state->incoming_handover.begin(former, state->in_flight, now);
    update_mean(*state);
    update_share(now, effects);
    if (share_ == admission_share::reduced) {
        state->incoming_handover.start_lease_wait(now);
    }
    return effects;
}

std::uint64_t admission::adoption(const target_id& target) const
{
    const auto* state = find_target(target);
    return state == nullptr ? 0 : state->adoption;
}

admission_effects admission::handover_answered(const target_id& target, std::uint64_t adoption,
                                               std::uint32_t in_flight, time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || !state->is_owned || state->adoption != adoption) {
        return effects;
    }
    state->incoming_handover.answered(in_flight, now);
    update_share(now, effects);
    start_waiting(*state->pool, now, effects);
    return effects;
}

admission_effects admission::stop_owning(const target_id& target, time_point now)
{
    admission_effects effects;
    update_share(now, effects);
    auto* state = find_target(target);
    if (state != nullptr && state->is_owned) {
        stop_admitting(*state, effects);
    }
    return effects;
}

admission_effects admission::release(const target_id& target, time_point now)
{
    auto effects = stop_owning(target, now);
    auto* state = find_target(target);
    if (state == nullptr || !state->can_hand_over) {
        effects.emplace_back(released{target, unknown_in_flight});
        return effects;
    }
    state->can_hand_over = false;
    const auto is_count_known =
        share_ == admission_share::full && !state->incoming_handover.awaits_answer();
    const auto reserve =
        is_count_known ? state->incoming_handover.reserve(0, now) : unknown_in_flight;
    const auto may_remain = std::uint64_t{state->in_flight} + reserve;
    effects.emplace_back(released{target, static_cast<std::uint32_t>(std::min<std::uint64_t>(
                                              may_remain, unknown_in_flight))});
    return effects;
}

admission_effects admission::pool_report(const target_id& target, std::uint32_t in_flight,
                                         time_point measured_at, time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || state->is_removed) {
        return effects;
    }
    state->pool->load.report(target, in_flight, std::min(measured_at, now));
    if (state->pool->waiting.empty()) {
        return effects;
    }
    update_share(now, effects);
    start_waiting(*state->pool, now, effects);
    return effects;
}

admission_effects admission::target_reported_load(const target_id& target, std::uint32_t in_flight,
                                                  time_point measured_at, time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || !state->is_owned || state->incoming_handover.is_settled()) {
        return effects;
    }
    state->incoming_handover.target_reported(in_flight, std::min(measured_at, now));
    update_share(now, effects);
    start_waiting(*state->pool, now, effects);
    return effects;
}

admission_effects admission::drain(const target_id& target, time_point now)
{
    admission_effects effects;
    auto* state = find_target(target);
    if (state == nullptr || state->is_removed) {
        return effects;
    }
    update_share(now, effects);
    state->is_draining = true;
    stop_admitting(*state, effects);
    update_mean(*state);
    return effects;
}

std::uint32_t admission::in_flight(const target_id& target) const
{
    const auto* state = find_target(target);
    return state == nullptr ? 0 : state->in_flight;
}

std::size_t admission::queued(const target_id& target) const
{
    const auto* state = find_target(target);
    return state == nullptr ? 0 : state->queue.size();
}

bool admission::owns(const target_id& target) const
{
    return owned_.contains(target);
}

std::uint32_t admission::cap(const target_id& target, time_point now)
{
    auto* state = find_target(target);
    return state == nullptr || state->is_removed ? 0 : limit(*state, share_, now);
}

admission_summary admission::summary() const
{
    admission_summary summary;
    for (const auto& id : owned_) {
        const auto& target = targets_.at(id);
        summary.targets.push_back(
            {id, target.in_flight, static_cast<std::uint32_t>(target.queue.size())});
    }
    summary.organisations = limiter_.own_usages();
    return summary;
}

} // namespace endivelatch
