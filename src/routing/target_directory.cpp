#include "endivelatch/routing/target_directory.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

namespace endivelatch {

target_directory::target_directory(directory_settings settings) : settings_{settings} {}

void target_directory::set_target(const target_document& document)
{
    const auto existing = indices_.find(document.id);
    const bool has_moved_pool =
        existing != indices_.end() && targets_[existing->second].pool != document.pool;
    if (has_moved_pool) {
        remove_target(document.id);
    }
    const auto n =
        existing == indices_.end() || has_moved_pool ? add_state(document) : existing->second;
    auto& target = targets_[n];
    target.max_in_flight = document.max_in_flight;
    target.draining = document.draining;
    if (target.draining && target.up) {
        set_status(n, target_status::leaving, time_point::max());
    }
    else if (target.status == target_status::leaving) {
        set_status(n, target_status::serving, time_point::max());
    }
}

void target_directory::remove_target(const target_id& target)
{
    const auto it = indices_.find(target);
    if (it == indices_.end()) {
        return;
    }
    set_status(it->second, target_status::down, time_point::max());
    targets_[it->second] = {};
    free_indices_.push_back(it->second);
    indices_.erase(it);
}

void target_directory::target_up(const target_id& target, incarnation run, time_point now)
{
    const auto it = indices_.find(target);
    if (it == indices_.end()) {
        return;
    }
    auto& state = targets_[it->second];
    if (run < state.run || (state.up && run == state.run)) {
        return;
    }
    if (state.up) {
        target_down(target, now);
    }
    if (run > state.run) {
        state.evicted.clear();
        state.run = run;
    }
    state.up = true;
    update_status(it->second, now);
}

void target_directory::target_down(const target_id& target, time_point now)
{
    const auto it = indices_.find(target);
    if (it == indices_.end() || !targets_[it->second].up) {
        return;
    }
    auto& state = targets_[it->second];
    state.up = false;
    if (!state.draining) {
        state.down_times.push_back(now);
    }
    set_status(it->second, target_status::down, time_point::max());
    state.in_flight = 0;
}

void target_directory::set_load(const target_id& target, std::uint32_t in_flight, time_point now)
{
    auto* state = find_state(target);
    if (state == nullptr) {
        return;
    }
    if (state->takes_work()) {
        auto& total_in_flight = pools_.at(state->pool).total_in_flight;
        total_in_flight -= state->in_flight;
        total_in_flight += in_flight;
    }
    state->in_flight = in_flight;
    state->load_time = now;
}

void target_directory::cache_evicted(const target_id& target, incarnation run,
                                     std::uint64_t prefix_hash)
{
    auto* state = find_state(target);
    if (state != nullptr && state->run == run) {
        state->evicted.add(prefix_hash);
    }
}

void target_directory::cache_filled(const target_id& target, incarnation run,
                                    std::uint64_t prefix_hash)
{
    auto* state = find_state(target);
    if (state != nullptr && state->run == run) {
        state->evicted.remove(prefix_hash);
    }
}

void target_directory::cache_gap(const target_id& target)
{
    auto* state = find_state(target);
    if (state != nullptr) {
        ++state->cache_gaps;
    }
}

void target_directory::forget_evictions(const target_id& target)
{
    auto* state = find_state(target);
    if (state != nullptr) {
        state->evicted.clear();
    }
}

void target_directory::cache_transferred(const target_id& target, incarnation run)
{
    auto* state = find_state(target);
    if (state != nullptr && run > state->transferred_run) {
        state->transferred_run = run;
    }
}

void target_directory::expire(time_point now)
{
    while (!back_off_ends_.empty() && back_off_ends_.begin()->first <= now) {
        update_status(back_off_ends_.begin()->second, now);
    }
}

std::optional<time_point> target_directory::next_expiry() const
{
    if (back_off_ends_.empty()) {
        return std::nullopt;
    }
    return back_off_ends_.begin()->first;
}

const target_state* target_directory::find(const target_id& target) const
{
    const auto it = indices_.find(target);
    return it == indices_.end() ? nullptr : &targets_[it->second];
}

std::uint32_t target_directory::serving_targets(const pool_id& pool) const
{
    const auto it = pools_.find(pool);
    return it == pools_.end() ? 0 : static_cast<std::uint32_t>(it->second.ring.size());
}

std::uint64_t target_directory::total_load(const pool_id& pool) const
{
    const auto it = pools_.find(pool);
    return it == pools_.end() ? 0 : it->second.total_in_flight;
}

double target_directory::mean_load(const pool_id& pool) const
{
    const auto n = serving_targets(pool);
    return n == 0 ? 0 : static_cast<double>(total_load(pool)) / n;
}

bool target_directory::may_be_warm(const target_id& target, incarnation run,
                                   std::uint64_t prefix_hash) const
{
    const auto* state = find(target);
    return state != nullptr && state->takes_work() && state->run == run &&
           !state->evicted.contains(prefix_hash);
}

bool target_directory::has_transferred_cache(const target_id& target, incarnation run) const
{
    const auto* state = find(target);
    return state != nullptr && run == state->transferred_run && run != incarnation{};
}

target_state* target_directory::find_state(const target_id& target)
{
    const auto it = indices_.find(target);
    return it == indices_.end() ? nullptr : &targets_[it->second];
}

target_directory::target_index target_directory::add_state(const target_document& document)
{
    if (free_indices_.empty()) {
        free_indices_.push_back(static_cast<target_index>(targets_.size()));
        targets_.emplace_back();
    }
    const auto n = free_indices_.back();
    free_indices_.pop_back();
    indices_[document.id] = n;
    targets_[n].id = document.id;
    targets_[n].pool = document.pool;
    targets_[n].hash = stable_hash(document.id.str());
    return n;
}

void target_directory::set_status(target_index target, target_status status, time_point until)
{
    auto& state = targets_[target];
    auto& pool = pools_[state.pool];
    const bool was_serving = state.takes_work();
    state.status = status;
    if (was_serving && !state.takes_work()) {
        pool.ring.remove(state.hash, target);
        pool.total_in_flight -= state.in_flight;
    }
    if (!was_serving && state.takes_work()) {
        pool.ring.add(state.hash, target);
        pool.total_in_flight += state.in_flight;
    }
    back_off_ends_.erase({state.status_until, target});
    state.status_until = until;
    if (until != time_point::max()) {
        back_off_ends_.emplace(until, target);
    }
}

void target_directory::update_status(target_index target, time_point now)
{
    auto& state = targets_[target];
    if (state.draining) {
        set_status(target, target_status::leaving, time_point::max());
        return;
    }
    const auto back_off_until = back_off_end(state, now);
    if (back_off_until > now) {
        set_status(target, target_status::backing_off, back_off_until);
        return;
    }
    set_status(target, target_status::serving, time_point::max());
}

time_point target_directory::back_off_end(target_state& target, time_point now) const
{
    while (!target.down_times.empty() && target.down_times.front() + settings_.flap_window <= now) {
        target.down_times.pop_front();
    }
    if (target.down_times.size() <= settings_.flaps_allowed) {
        return now;
    }
    constexpr std::size_t max_doublings = 16;
    const auto excess_flaps = target.down_times.size() - settings_.flaps_allowed - 1;
    const auto back_off =
        settings_.initial_back_off * (1U << std::min(excess_flaps, max_doublings));
    return target.down_times.back() + std::min<duration>(back_off, settings_.max_back_off);
}

} // namespace endivelatch
