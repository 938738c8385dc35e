#include "endivelatch/admission/handover.hpp"

#include <algorithm>

namespace endivelatch {

void handover::begin(const former_owner_info& former, std::uint32_t own, time_point now)
{
    settle();
    if (!former.had_owner) {
        return;
    }
    phase_ = phase::silent;
    begun_at_ = now;
    guess_ = former.last_in_flight;
    own_history_.emplace_back(now, own);
}

void handover::answered(std::uint32_t in_flight, time_point now)
{
    if (phase_ != phase::silent || in_flight == unknown_in_flight) {
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
    is_proven_ = true;
}

void handover::peers_confirmed(time_point sent_at, time_point now)
{
    if (sent_at >= begun_at_) {
        start_wait(now);
    }
}

void handover::own_changed(std::uint32_t own, time_point now)
{
    if (phase_ == phase::settled) {
        return;
    }
    own_history_.emplace_back(now, own);
    while (own_history_.size() > 1 && own_history_[1].first + settings_.history < now) {
        own_history_.pop_front();
    }
}

void handover::start_wait(time_point now)
{
    if (phase_ == phase::silent && !stopped_at_) {
        stopped_at_ = now + settings_.former_lease + settings_.clock_margin;
    }
}

void handover::watch(std::uint32_t own, time_point now)
{
    if (phase_ != phase::settled) {
        start_wait(now);
        return;
    }
    begin({true, std::nullopt}, own, now);
    stopped_at_ = now;
    is_quiet_ = true;
}

std::uint32_t handover::least_own_since(time_point from) const
{
    std::uint32_t least = 0;
    bool is_covered = false;
    for (auto it = own_history_.rbegin(); it != own_history_.rend(); ++it) {
        least = it == own_history_.rbegin() ? it->second : std::min(least, it->second);
        if (it->first < from) {
            is_covered = true;
            break;
        }
    }
    return is_covered ? least : 0;
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
    while (!pending_.empty() && pending_.front().measured_at + settings_.transit <= now) {
        const auto report = pending_.front();
        pending_.pop_front();
        apply_report(report.in_flight, report.measured_at);
    }
}

void handover::apply_report(std::uint32_t in_flight, time_point measured_at)
{
    const auto own = least_own_since(measured_at - settings_.transit);
    const auto others = in_flight - std::min(in_flight, own);
    is_proven_ = true;
    others_ = phase_ == phase::answered ? std::min(others_, others) : others;
    if (phase_ == phase::answered) {
        if (others_ == 0) {
            settle();
        }
        return;
    }
    const auto was_long = measured_at >= *stopped_at_ + settings_.former_lease;
    is_quiet_ = others_ == 0 && (was_long || is_quiet_);
}

bool handover::has_ended(time_point now) const
{
    if (phase_ == phase::settled || !stopped_at_ ||
        now < *stopped_at_ + settings_.longest_request) {
        return phase_ == phase::settled;
    }
    return phase_ == phase::answered || is_quiet_ || !is_proven_;
}

std::uint32_t handover::reserve(std::uint32_t lone_share, time_point now)
{
    apply_due_reports(now);
    if (has_ended(now)) {
        settle();
        return 0;
    }
    if (!stopped_at_ || now < *stopped_at_) {
        return unknown_in_flight;
    }
    if (is_proven_) {
        const auto is_lone_possible = phase_ == phase::silent && !is_quiet_;
        return is_lone_possible ? std::max(others_, lone_share) : others_;
    }
    if (now < *stopped_at_ + settings_.report_patience) {
        return unknown_in_flight;
    }
    return std::max(guess_.value_or(0), is_quiet_ ? 0 : lone_share);
}

std::optional<time_point> handover::next_change(time_point now) const
{
    if (phase_ == phase::settled || !stopped_at_) {
        return std::nullopt;
    }
    if (!pending_.empty()) {
        return pending_.front().measured_at + settings_.transit;
    }
    for (const auto after : {duration{0}, settings_.report_patience, settings_.longest_request}) {
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
    is_proven_ = false;
    is_quiet_ = false;
    stopped_at_.reset();
    guess_.reset();
    own_history_.clear();
    pending_.clear();
}

} // namespace endivelatch
