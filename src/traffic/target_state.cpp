#include "endivelatch/traffic/target_state.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

target_state::target_state(registered_target registration, time_point now)
    : registration_{std::move(registration)}, hash_{stable_hash(registration_.id.str())},
      key_{key_of(registration_.id)}, known_since_{now}, cold_{hash_}
{
    if (registration_.cold_left) {
        cold_.record_statement(*registration_.cold_left, now);
    }
}

void target_state::update(const registered_target& registration, time_point now)
{
    if (registration.started != registration_.started ||
        registration.address != registration_.address) {
        auto cold = std::move(cold_);
        *this = target_state{registration, now};
        cold_ = std::move(cold);
        record_start(now);
        return;
    }
    if (registration.cold_left && registration.revision != registration_.revision) {
        cold_.record_statement(*registration.cold_left, now);
    }
    registration_ = registration;
}

void target_state::record_start(time_point now)
{
    const auto left = registration_.cold_left.value_or(duration{});
    cold_.record_statement(left, now);
    if (left == duration{}) {
        cold_.expect(now, now);
    }
}

void target_state::add_request(const sent_request& request)
{
    cold_.record_send(request.at);
    ++own_in_flight_;
    prefill_tokens_ += request.prefill_tokens;
    waiting_.push_back(request);
    if (limit_) {
        limit_->record_send(request.at);
    }
}

bool target_state::remove_waiting(const sent_request& request)
{
    // An attempt at an earlier incarnation may end after the state was reset.
    const auto it = std::find(waiting_.begin(), waiting_.end(), request);
    if (it == waiting_.end()) {
        return false;
    }
    waiting_.erase(it);
    prefill_tokens_ -= std::min<std::uint64_t>(prefill_tokens_, request.prefill_tokens);
    return true;
}

void target_state::record_first_byte(const sent_request& request, double prefill_tokens_per_ms,
                                     time_point now)
{
    if (!remove_waiting(request)) {
        return;
    }
    const auto prefill_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{request.prefill_tokens / prefill_tokens_per_ms});
    const auto priority = std::min<std::size_t>(request.priority, priority_count - 1);
    last_waits_.at(priority) = {now, std::max(now - request.at - prefill_time, duration{})};
}

void target_state::record_no_answer(const sent_request& request)
{
    remove_waiting(request);
}

duration target_state::expected_wait(std::uint32_t priority, time_point now) const
{
    duration longest{};
    for (const auto& it : waiting_) {
        if (it.priority <= priority) {
            longest = std::max(longest, now - it.at);
            break; // Requests are in order of sending, so the first is the oldest.
        }
    }
    for (std::size_t i = 0; i <= std::min<std::size_t>(priority, priority_count - 1); ++i) {
        const auto& it = last_waits_.at(i);
        const auto weight = 1.0 - std::chrono::duration<double>{now - it.at} /
                                      std::chrono::duration<double>{wait_lifetime};
        if (weight > 0) {
            longest = std::max(longest, std::chrono::duration_cast<duration>(it.wait * weight));
        }
    }
    return longest;
}

void target_state::remove_request()
{
    own_in_flight_ -= std::min(own_in_flight_, 1U);
}

void target_state::update_load(std::uint32_t in_flight, time_point reported_at,
                               std::optional<double> slowdown)
{
    if (reported_ && reported_at <= reported_at_) {
        return;
    }
    // Requests sent after the report was made are not included in its count.
    const auto sent_since = std::count_if(waiting_.begin(), waiting_.end(),
                                          [&](const auto& it) { return it.at > reported_at; });
    const auto sent_later = static_cast<std::uint32_t>(sent_since);
    reported_ = in_flight;
    own_in_flight_at_report_ = own_in_flight_ - std::min(own_in_flight_, sent_later);
    reported_at_ = reported_at;
    if (slowdown) {
        slowdown_ = {*slowdown, reported_at};
    }
}

void target_state::record_outcome(attempt_outcome outcome, time_point now)
{
    if (outcome == attempt_outcome::refused) {
        full_until_ = now + full_duration;
        return;
    }
    const bool is_unreachable = outcome == attempt_outcome::unreachable;
    const bool has_failed = outcome == attempt_outcome::failed || is_unreachable;
    outcomes_.at(outcome_index_) = {now, has_failed};
    outcome_index_ = (outcome_index_ + 1) % outcome_history_size;
    const auto failures = std::count_if(outcomes_.begin(), outcomes_.end(), [&](const auto& it) {
        return it.has_failed && now - it.at < failure_lifetime;
    });
    if (is_unreachable || (has_failed && failures >= ejection_threshold)) {
        eject(now);
    }
    if (failures == 0) {
        next_ejection_time_ = base_ejection_time;
    }
}

void target_state::record_remote_failure(router_key reporter, time_point failed_at)
{
    if (failed_at < known_since_) {
        return; // Of an earlier incarnation with the same id.
    }
    std::erase_if(remote_failures_, [&](const auto& it) {
        return it.reporter == reporter || failed_at - it.failed_at > suspicion_time + trial_time;
    });
    if (remote_failures_.size() >= failure_table::max_reporters) {
        remote_failures_.erase(std::min_element(
            remote_failures_.begin(), remote_failures_.end(),
            [](const auto& a, const auto& b) { return a.failed_at < b.failed_at; }));
    }
    remote_failures_.push_back({reporter, failed_at});
}

double target_state::suspicion(time_point now) const
{
    std::size_t reporters = 0;
    time_point last_failure{};
    for (const auto& it : remote_failures_) {
        const bool is_outdated = reported_ && reported_at_ > it.failed_at + report_time_error;
        if (!is_outdated && now - it.failed_at < suspicion_time + trial_time) {
            ++reporters;
            last_failure = std::max(last_failure, it.failed_at);
        }
    }
    if (reporters < min_remote_reporters) {
        return 0;
    }
    const auto trials_since = std::max(now - last_failure - suspicion_time, duration{});
    const auto share =
        std::chrono::duration<double>{trials_since} / std::chrono::duration<double>{trial_time};
    return 1 - share * share; // The square keeps the first trials few.
}

bool target_state::set_limit(std::optional<request_rate> limit, time_point stated_at,
                             request_rate demand, const router_fleet& fleet, time_point now)
{
    if (stated_at < known_since_ || stated_at < limit_stated_at_) {
        return false;
    }
    limit_stated_at_ = stated_at;
    const auto former = limit_ ? std::optional{limit_->limit()} : std::nullopt;
    if (!limit) {
        limit_.reset();
    }
    else if (limit_) {
        limit_->set_limit(*limit, stated_at, demand, now);
    }
    else {
        limit_.emplace(*limit, stated_at, demand, hash_, fleet, now);
    }
    return limit != former;
}

void target_state::update_limit_share(const router_fleet& fleet, time_point now)
{
    if (limit_) {
        limit_->set_fleet(fleet, now);
    }
}

bool target_state::set_leaving()
{
    return !std::exchange(has_stated_leaving_, true);
}

void target_state::pause(duration length, time_point now)
{
    paused_until_ = std::max(paused_until_, now + std::min(length, max_pause));
}

void target_state::set_cold_rule(const std::optional<cold_rule>& rule, time_point now)
{
    cold_.set_rule(rule, now);
}

void target_state::set_cold_senders(std::shared_ptr<const cold_sender_view> senders, time_point now)
{
    cold_.set_senders(std::move(senders), now);
}

void target_state::expect_cold(time_point now)
{
    cold_.expect(now, now);
}

void target_state::state_cold(duration left, time_point now)
{
    cold_.record_statement(left, now);
}

void target_state::set_evacuated(bool is_evacuated, time_point now)
{
    if (is_evacuated == evacuated_since_.has_value()) {
        return;
    }
    if (is_evacuated) {
        evacuated_since_ = now;
        return;
    }
    evacuated_since_.reset();
    known_since_ = now; // Its prompts have moved, so it has cached as little as one that joins.
    expect_cold(now);
}

bool target_state::serves_fetches(time_point now) const
{
    if (evacuated_since_) {
        const bool was_in_use = known_since_ < *evacuated_since_;
        if (!was_in_use || now - *evacuated_since_ >= evacuated_fetch_time) {
            return false;
        }
    }
    return !is_ejected(now) && suspicion(now) == 0;
}

std::optional<target_obstacle> target_state::obstacle(time_point now) const
{
    if (is_evacuated()) {
        return target_obstacle::evacuated;
    }
    if (has_stated_leaving_) {
        return target_obstacle::leaving;
    }
    if (now < paused_until_) {
        return target_obstacle::paused;
    }
    if (limit_ && limit_->wait(now) > duration{}) {
        return target_obstacle::limited;
    }
    if (cold_.wait(now) > duration{}) {
        return target_obstacle::cold;
    }
    if (now < full_until_) {
        return target_obstacle::full;
    }
    return std::nullopt;
}

duration target_state::obstacle_left(time_point now) const
{
    if (is_evacuated() || has_stated_leaving_) {
        return shared_limit::max_wait;
    }
    const auto left = std::max(std::max(full_until_, paused_until_) - now, cold_.wait(now));
    return limit_ ? std::max(left, limit_->wait(now)) : left;
}

void target_state::eject(time_point now)
{
    if (is_ejected(now)) {
        return; // Caused by an attempt that started before the ejection.
    }
    ejected_until_ = now + next_ejection_time_;
    cold_.expect(ejected_until_, now); // It may have restarted when it is tried again.
    next_ejection_time_ = std::min(next_ejection_time_ * 2, max_ejection_time);
}

double target_state::others_in_flight(double expected, time_point now) const
{
    const auto weight = report_weight(now);
    return reported_others() * weight + expected * (1.0 - weight);
}

double target_state::report_weight(time_point now) const
{
    if (!reported_) {
        return 0;
    }
    const auto age = std::chrono::duration<double>{now - reported_at_};
    return std::clamp(1.0 - age / std::chrono::duration<double>{report_lifetime}, 0.0, 1.0);
}

double target_state::reported_others() const
{
    return std::max(0.0, static_cast<double>(reported_.value_or(0)) - own_in_flight_at_report_);
}

std::optional<duration> target_state::report_age(time_point now) const
{
    if (!reported_) {
        return std::nullopt;
    }
    return now - reported_at_;
}

void target_state::record_prompt(std::span<const prompt_part> parts, time_point now)
{
    for (const auto& it : parts) {
        parts_last_used_[it.id] = now;
    }
    if (parts_last_used_.size() > max_parts) {
        std::erase_if(parts_last_used_,
                      [&](const auto& it) { return now - it.second > part_lifetime / 2; });
    }
    if (parts_last_used_.size() > max_parts) {
        parts_last_used_.clear();
    }
}

std::uint32_t target_state::cached_tokens(std::span<const prompt_part> parts, time_point now) const
{
    std::uint32_t tokens = 0;
    for (const auto& it : parts) {
        const auto found = parts_last_used_.find(it.id);
        if (found == parts_last_used_.end() || now - found->second > part_lifetime) {
            break;
        }
        tokens += it.tokens;
    }
    return tokens;
}

} // namespace endivelatch
