#include "endivelatch/traffic/cold_start.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endivelatch {

namespace {

/// Share of the bound that is used. The rest is for routers that learn of a change of the fleet at
/// different times.
constexpr double bound_use = 0.9;
/// A request may reach the target this much later than another one that was sent at the same time.
constexpr duration transit_time_error{100'000};
constexpr duration one_second{1'000'000};
/// More sends than any pool needs; larger rates are no limit.
constexpr double max_sends_per_window = 100'000;

/// Returns a delay below `window` that differs between routers.
duration first_delay(std::uint64_t target_hash, router_key self, duration window)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const auto position = static_cast<double>(mix_bits(target_hash ^ self.value())) / range;
    return std::chrono::duration_cast<duration>(window * position);
}

} // namespace

std::optional<cold_rule> make_cold_rule(const cold_start_limit& limit, double overage, double slack)
{
    if (limit.rate.per_second <= 0 || limit.time <= duration{}) {
        return std::nullopt;
    }
    const auto rate = limit.rate.per_second * std::max(overage, 1.0);
    const auto bound = std::min((rate + slack) * bound_use, max_sends_per_window);
    const auto sends = std::max(std::floor(bound), 1.0);
    const std::chrono::duration<double> window{sends / rate};
    cold_rule rule;
    rule.time = limit.time;
    rule.sends = static_cast<std::size_t>(sends);
    rule.window =
        std::max(std::chrono::duration_cast<duration>(window), one_second + transit_time_error);
    return rule;
}

std::size_t cold_share(std::size_t sends, std::size_t rank, std::size_t routers)
{
    return sends / routers + (rank < sends % routers ? 1 : 0);
}

bool cold_senders::start(time_point now)
{
    if (started_at_) {
        return false;
    }
    started_at_ = now;
    return true;
}

void cold_senders::set_live(const router_fleet& live, time_point now)
{
    self_ = live.self;
    for (auto& [router, lost_at] : others_) {
        lost_at = lost_at.value_or(now);
    }
    for (const auto router : live.others) {
        others_[router].reset();
    }
    remove_expired(now);
}

void cold_senders::add_registered(const router_fleet& registered, time_point now)
{
    self_ = registered.self;
    for (const auto router : registered.others) {
        others_.try_emplace(router, now);
    }
}

bool cold_senders::remove_expired(time_point now)
{
    const auto removed = std::erase_if(
        others_, [&](const auto& it) { return it.second && now - *it.second > lost_lifetime; });
    return removed > 0;
}

cold_sender_view cold_senders::view() const
{
    cold_sender_view view;
    view.fleet.self = self_;
    view.fleet.others.reserve(others_.size());
    for (const auto& [router, lost_at] : others_) {
        if (router != self_) {
            view.fleet.others.push_back(router);
        }
    }
    view.may_send_from = started_at_ ? *started_at_ + settling_time : time_point::max();
    return view;
}

void cold_start::set_rule(const std::optional<cold_rule>& rule, time_point now)
{
    if (rule != rule_) {
        change([&] { rule_ = rule; }, now);
    }
}

void cold_start::set_senders(std::shared_ptr<const cold_sender_view> senders, time_point now)
{
    change([&] { senders_ = std::move(senders); }, now);
}

void cold_start::expect(time_point at, time_point now)
{
    change([&] { expected_until_ = std::max(expected_until_.value_or(at), at); }, now);
}

void cold_start::record_statement(duration left, time_point now)
{
    const auto apply = [&] {
        expected_until_.reset();
        stated_until_ = now + left;
    };
    change(apply, now);
}

time_point cold_start::cold_until() const
{
    if (!rule_) {
        return {};
    }
    return expected_until_ ? std::max(*expected_until_ + rule_->time, stated_until_)
                           : stated_until_;
}

std::optional<time_point> cold_start::cold_since(time_point now) const
{
    return is_cold(now) ? std::optional{since_} : std::nullopt;
}

duration cold_start::left(time_point now) const
{
    return std::max(cold_until() - now, duration{});
}

void cold_start::update_share()
{
    if (!rule_ || !senders_ || senders_->fleet.self == router_key{}) {
        share_ = 0;
        return;
    }
    const auto known = senders_->fleet.others.size() + 1;
    const auto routers = std::max(known, cold_senders::min_routers);
    const auto rank = sender_rank(target_hash_, senders_->fleet) + (routers - known);
    share_ = cold_share(rule_->sends, rank, routers);
    delay_ = first_delay(target_hash_, senders_->fleet.self, rule_->window);
}

duration cold_start::wait(time_point now) const
{
    const auto time_left = left(now);
    if (time_left == duration{} || share_ == 0) {
        return time_left;
    }
    auto free_at = std::max(since_ + delay_, senders_->may_send_from);
    if (sent_.size() >= share_) {
        free_at = std::max(free_at, sent_[sent_.size() - share_] + rule_->window);
    }
    return std::clamp(free_at - now, duration{}, time_left);
}

void cold_start::record_send(time_point now)
{
    if (!is_cold(now)) {
        return;
    }
    std::erase_if(sent_, [&](time_point at) { return now - at > rule_->window; });
    sent_.push_back(now);
}

} // namespace endivelatch
