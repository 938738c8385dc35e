#include "endivelatch/traffic/target_state.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

target_state::target_state(registered_target facts, time_point now)
    : facts_{std::move(facts)}, hash_{stable_hash(facts_.id.str())}, key_{key_of(facts_.id)},
      known_since_{now}
{
}

void target_state::update(const registered_target& facts, time_point now)
{
    if (facts.started != facts_.started || facts.address != facts_.address) {
        *this = target_state{facts, now};
        return;
    }
    facts_ = facts;
}

void target_state::sent(const sent_request& request)
{
    ++own_in_flight_;
    unread_tokens_ += request.unread_tokens;
    waiting_.push_back(request);
}

bool target_state::stop_waiting(const sent_request& request)
{
    // Attempts at an earlier start of the target may end after its counts were reset.
    const auto it = std::find(waiting_.begin(), waiting_.end(), request);
    if (it == waiting_.end()) {
        return false;
    }
    waiting_.erase(it);
    unread_tokens_ -= std::min<std::uint64_t>(unread_tokens_, request.unread_tokens);
    return true;
}

void target_state::answered(const sent_request& request, time_point now)
{
    if (!stop_waiting(request)) {
        return;
    }
    const auto reading = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{request.unread_tokens / prompt_tokens_per_ms});
    const auto priority = std::min<std::size_t>(request.priority, priority_count - 1);
    waits_.at(priority) = {now, std::max(now - request.at - reading, duration{})};
}

void target_state::unanswered(const sent_request& request)
{
    stop_waiting(request);
}

duration target_state::expected_wait(std::uint32_t priority, time_point now) const
{
    duration longest{};
    for (const auto& it : waiting_) {
        if (it.priority <= priority) {
            longest = std::max(longest, now - it.at);
            break; // The oldest comes first.
        }
    }
    for (std::size_t i = 0; i <= std::min<std::size_t>(priority, priority_count - 1); ++i) {
        const auto& it = waits_.at(i);
        const auto weight = 1.0 - std::chrono::duration<double>{now - it.at} /
                                      std::chrono::duration<double>{wait_lifetime};
        if (weight > 0) {
            longest = std::max(longest, std::chrono::duration_cast<duration>(it.wait * weight));
        }
    }
    return longest;
}

void target_state::ended()
{
    own_in_flight_ -= std::min(own_in_flight_, 1U);
}

void target_state::report(std::uint32_t in_flight, time_point reported_at)
{
    if (reported_ && reported_at <= reported_at_) {
        return;
    }
    // Own requests that have got no bytes yet may have been sent after the report was made.
    const auto sent_since = std::count_if(waiting_.begin(), waiting_.end(),
                                          [&](const auto& it) { return it.at > reported_at; });
    const auto later = static_cast<std::uint32_t>(sent_since);
    reported_ = in_flight;
    own_at_report_ = own_in_flight_ - std::min(own_in_flight_, later);
    reported_at_ = reported_at;
}

void target_state::note(attempt_outcome outcome, time_point now)
{
    if (outcome == attempt_outcome::refused) {
        full_until_ = now + full_time;
        return;
    }
    const bool is_unreachable = outcome == attempt_outcome::unreachable;
    const bool has_failed = outcome == attempt_outcome::failed || is_unreachable;
    outcomes_.at(outcome_index_) = {now, has_failed};
    outcome_index_ = (outcome_index_ + 1) % outcome_count;
    const auto failures = std::count_if(outcomes_.begin(), outcomes_.end(), [&](const auto& it) {
        return it.has_failed && now - it.at < failure_lifetime;
    });
    if (is_unreachable || (has_failed && failures >= ejecting_failures)) {
        eject(now);
    }
    if (failures == 0) {
        next_ejection_ = shortest_ejection;
    }
}

void target_state::eject(time_point now)
{
    if (is_ejected(now)) {
        return; // By an attempt that began before.
    }
    ejected_until_ = now + next_ejection_;
    next_ejection_ = std::min(next_ejection_ * 2, longest_ejection);
}

double target_state::others_in_flight(double expected, time_point now) const
{
    if (!reported_) {
        return expected;
    }
    const auto reported = std::max(0.0, static_cast<double>(*reported_) - own_at_report_);
    const auto age = std::chrono::duration<double>{now - reported_at_};
    const auto weight =
        std::clamp(1.0 - age / std::chrono::duration<double>{report_lifetime}, 0.0, 1.0);
    return reported * weight + expected * (1.0 - weight);
}

std::optional<duration> target_state::report_age(time_point now) const
{
    if (!reported_) {
        return std::nullopt;
    }
    return now - reported_at_;
}

void target_state::remember(std::span<const prompt_part> parts, time_point now)
{
    for (const auto& it : parts) {
        parts_[it.id] = now;
    }
    if (parts_.size() > most_parts) {
        std::erase_if(parts_, [&](const auto& it) { return now - it.second > part_lifetime / 2; });
    }
    if (parts_.size() > most_parts) {
        parts_.clear();
    }
}

std::uint32_t target_state::cached_tokens(std::span<const prompt_part> parts, time_point now) const
{
    std::uint32_t tokens = 0;
    for (const auto& it : parts) {
        const auto found = parts_.find(it.id);
        if (found == parts_.end() || now - found->second > part_lifetime) {
            break;
        }
        tokens += it.tokens;
    }
    return tokens;
}

} // namespace endivelatch
