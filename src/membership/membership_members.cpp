#include "endivelatch/membership/membership.hpp"

#include <algorithm>
#include <bit>

namespace endivelatch {
namespace {

/// Minimum transmissions of an update, unless there are few receivers.
constexpr std::uint32_t min_transmissions = 8;

/// Maximum transmissions of an update per receiver.
constexpr std::uint32_t transmissions_per_receiver = 3;

bool is_live(const member& it)
{
    return it.status == member_status::alive || it.status == member_status::suspect;
}

} // namespace

std::vector<member> membership::members() const
{
    std::vector<member> out{self_};
    for (const auto& [id, it] : peers_.all()) {
        out.push_back(it.info);
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<member> membership::live() const
{
    auto out = members();
    std::erase_if(out, [](const member& it) { return !is_live(it); });
    return out;
}

const member* membership::find(const router_id& id) const
{
    if (id == self_.id) {
        return &self_;
    }
    const auto* peer = peers_.find(id);
    return peer == nullptr ? nullptr : &peer->info;
}

/// Updates rings, suspicions and queues after a status change of a member, and reports the change.
void membership::member_updated(const router_id& id, std::optional<member_status> former,
                                bool forward, time_point now)
{
    auto* peer = peers_.find(id);
    const auto status = peer->info.status;
    const bool is_dead = status == member_status::dead;
    if (is_dead) {
        peer->dead_since = now;
        fleet_ring_.remove(id);
        domain_ring_.remove(id);
        dead_ring_.add(id, random_);
    }
    else {
        dead_ring_.remove(id);
        recheck_ring_.remove(id);
        fleet_ring_.add(id, random_);
        if (in_own_domain(id)) {
            domain_ring_.add(id, random_);
        }
    }
    summaries_.set_limits(transmission_limit(fleet_ring_.size()),
                          transmission_limit(domain_ring_.size()));
    if (status == member_status::suspect) {
        suspicions_.try_emplace(id, now + suspicion_time());
    }
    else {
        suspicions_.erase(id);
    }
    if (forward) {
        updates_.push(id);
    }
    effects_.emplace_back(member_changed{peer->info, former});
    const bool was_dead = former == member_status::dead;
    if (is_dead != was_dead) {
        set_summaries_visible(id, !is_dead);
    }
}

/// Removes the summaries of the member's previous run, and reports each removal.
void membership::drop_summaries(const router_id& id)
{
    for (const auto& it : summaries_.entries_of(id)) {
        effects_.emplace_back(summary_changed{id, it.key, {}});
    }
    summaries_.forget(id);
}

/// Hides or shows the member's summaries, and reports each change.
void membership::set_summaries_visible(const router_id& id, bool is_visible)
{
    summaries_.set_hidden(id, !is_visible);
    for (const auto& it : summaries_.entries_of(id)) {
        effects_.emplace_back(summary_changed{id, it.key, is_visible ? it.value : std::string{}});
    }
}

duration membership::suspicion_time() const
{
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(fleet_ring_.size() + 1));
    const auto periods =
        settings_.suspicion_base_periods + settings_.suspicion_doubling_periods * doublings;
    return settings_.period * periods;
}

std::uint32_t membership::transmission_limit(std::size_t receivers) const
{
    const auto count = static_cast<std::uint32_t>(receivers);
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(receivers));
    const auto desired =
        std::max(min_transmissions, settings_.transmissions_per_doubling * doublings);
    return std::min(desired, transmissions_per_receiver * std::max(count, 1U));
}

bool membership::in_own_domain(const router_id& id) const
{
    const auto* peer = peers_.find(id);
    return peer != nullptr && peer->info.domain == self_.domain;
}

} // namespace endivelatch
