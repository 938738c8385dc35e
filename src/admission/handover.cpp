#include "endivelatch/admission/handover.hpp"

#include <algorithm>

namespace endivelatch {

void handover::begin(const former_owner_info& former, std::uint32_t own, time_point now)
{
    settle();
    if (!former.had_owner) {
        return;
    }
    phase_ = phase::unanswered;
    started_at_ = now;
    last_gossiped_ = former.last_in_flight;
    own_history_.emplace_back(now, own);
}

void handover::answered(std::uint32_t in_flight, time_point now)
{
    if (phase_ != phase::unanswered || in_flight == unknown_in_flight) {
        return;
    }
    if (in_flight == 0) {
        settle();
        return;
    }
    phase_ = phase::answered;
    stopped_at_ = now;
    pending_.clear();
    others_ = in_flight;
    has_count_ = true;
}

void handover::peers_confirmed(time_point sent_at, time_point now)
{
    if (sent_at >= started_at_) {
        start_lease_wait(now);
    }
}

void handover::own_changed(std::uint32_t own, time_point now)
{
    if (phase_ == phase::settled) {
        return;
    }
    own_history_.emplace_back(now, own);
    while (own_history_.size() > 1 && own_history_[1].first + settings_.max_report_lag < now) {
        own_history_.pop_front();
    }
}

void handover::start_lease_wait(time_point now)
{
    if (phase_ == phase::unanswered && !stopped_at_) {
        stopped_at_ = now + settings_.former_owner_lease + settings_.clock_drift_margin;
    }
}

void handover::peers_lost(std::uint32_t own, time_point now)
{
    if (phase_ != phase::settled) {
        start_lease_wait(now);
        return;
    }
    begin({true, std::nullopt}, own, now);
    stopped_at_ = now;
    has_drained_ = true;
}

std::uint32_t handover::min_own_since(time_point from) const
{
    std::uint32_t min_own = 0;
    bool is_covered = false;
    for (auto it = own_history_.rbegin(); it != own_history_.rend(); ++it) {
        min_own = it == own_history_.rbegin() ? it->second : std::min(min_own, it->second);
        if (it->first < from) {
            is_covered = true;
            break;
        }
    }
    return is_covered ? min_own : 0;
}

void handover::target_reported(std::uint32_t in_flight, time_point measured_at)
{
    if (phase_ == phase::settled || !stopped_at_ || measured_at < *stopped_at_) {
        return;
    }
    const auto is_newest = pending_.empty() || pending_.back().measured_at < measured_at;
    if (is_newest) {
        pending_.push_back({measured_at, in_flight});
    }
}

void handover::apply_due_reports(time_point now)
{
    while (!pending_.empty() && pending_.front().measured_at + settings_.max_transit <= now) {
        const auto report = pending_.front();
        pending_.pop_front();
        apply_report(report.in_flight, report.measured_at);
    }
}

void handover::apply_report(std::uint32_t in_flight, time_point measured_at)
{
    const auto own = min_own_since(measured_at - settings_.max_transit);
    const auto others = in_flight - std::min(in_flight, own);
    has_count_ = true;
    others_ = phase_ == phase::answered ? std::min(others_, others) : others;
    if (phase_ == phase::answered) {
        if (others_ == 0) {
            settle();
        }
        return;
    }
    const auto is_past_lease = measured_at >= *stopped_at_ + settings_.former_owner_lease;
    has_drained_ = others_ == 0 && (is_past_lease || has_drained_);
}

bool handover::has_ended(time_point now) const
{
    if (phase_ == phase::settled || !stopped_at_ ||
        now < *stopped_at_ + settings_.max_request_duration) {
        return phase_ == phase::settled;
    }
    return phase_ == phase::answered || has_drained_ || !has_count_;
}

std::uint32_t handover::reserve(std::uint32_t isolated_share, time_point now)
{
    apply_due_reports(now);
    if (has_ended(now)) {
        settle();
        return 0;
    }
    if (!stopped_at_ || now < *stopped_at_) {
        return unknown_in_flight;
    }
    if (has_count_) {
        const auto may_be_isolated = phase_ == phase::unanswered && !has_drained_;
        return may_be_isolated ? std::max(others_, isolated_share) : others_;
    }
    if (now < *stopped_at_ + settings_.report_timeout) {
        return unknown_in_flight;
    }
    return std::max(last_gossiped_.value_or(0), has_drained_ ? 0 : isolated_share);
}

std::optional<time_point> handover::next_change(time_point now) const
{
    if (phase_ == phase::settled || !stopped_at_) {
        return std::nullopt;
    }
    if (!pending_.empty()) {
        return pending_.front().measured_at + settings_.max_transit;
    }
    for (const auto after :
         {duration{0}, settings_.report_timeout, settings_.max_request_duration}) {
        if (*stopped_at_ + after > now) {
            return *stopped_at_ + after;
        }
    }
    return std::nullopt;
}

void handover::settle()
{
    phase_ = phase::settled;
    others_ = 0;
    has_count_ = false;
    has_drained_ = false;
    stopped_at_.reset();
    last_gossiped_.reset();
    own_history_.clear();
    pending_.clear();
}

} // namespace endivelatch
