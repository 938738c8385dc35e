#include "endivelatch/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {
namespace {

/// Maximum dead members probed per period because other routers report them as live.
constexpr std::size_t max_rechecks = 2;

/// Peers that are notified immediately of a planned stop.
constexpr std::size_t announcement_peers = 3;

} // namespace

membership::membership(member self, const membership_settings& settings, std::uint64_t seed)
    : self_{std::move(self)}, settings_{settings}, random_{seed}, summaries_{self_.id, self_.run}
{
    updates_.push(self_.id);
}

membership_effects membership::tick(time_point now)
{
    detect_pause(now);
    check_probes(now);
    if (now >= *next_period_ && !has_stopped_) {
        run_period(now);
    }
    return release_effects();
}

time_point membership::next_timer() const
{
    if (!next_period_) {
        return time_point{};
    }
    auto out = *next_period_;
    for (const auto& [sequence, it] : probes_) {
        out = std::min(out, it.has_requested_indirect ? it.ends_at : it.indirect_probe_at);
    }
    return out;
}

membership_effects membership::leave(time_point now)
{
    announce(member_status::leaving, now);
    return release_effects();
}

membership_effects membership::stop(time_point now)
{
    announce(member_status::dead, now);
    has_stopped_ = true;
    return release_effects();
}

void membership::publish(const summary_key& key, summary_scope scope, std::string_view value)
{
    summaries_.publish(key, scope, value);
}

/// Schedules the first period at a random phase. After a pause of this process, discards pending
/// probes and restarts suspicion timeouts, because missing responses prove nothing about peers.
void membership::detect_pause(time_point now)
{
    if (!next_period_) {
        const auto phase = static_cast<double>(settings_.period.count()) * random_.fraction();
        next_period_ = now + duration{static_cast<duration::rep>(phase)};
        page_read_.last_complete_page_at = now;
        return;
    }
    const auto delay = now - next_timer();
    if (delay <= settings_.period * settings_.pause_periods) {
        return;
    }
    effects_.emplace_back(pause_noticed{delay});
    probes_.clear();
    relayed_probes_.clear();
    for (auto& [id, deadline] : suspicions_) {
        deadline = now + suspicion_time();
    }
    next_period_ = now;
}

void membership::run_period(time_point now)
{
    ++period_count_;
    next_period_ = std::max(*next_period_ + settings_.period, now);
    expire_suspicions(now);
    std::erase_if(relayed_probes_, [&](const auto& it) { return it.second.ends_at <= now; });
    summaries_.refresh(now, settings_.refresh_interval);
    probe_next(fleet_ring_, now);
    if (domain_ring_.size() < fleet_ring_.size()) {
        probe_next(domain_ring_, now);
    }
    probe_dead(now);
    request_page(now);
    forget_dead(now);
}

void membership::probe_next(peer_ring& ring, time_point now)
{
    if (const auto id = ring.next(random_)) {
        probe_peer(*id, now);
    }
}

void membership::probe_peer(const router_id& id, time_point now)
{
    if (const auto* peer = peers_.find(id)) {
        probe_endpoint(peer->info.gossip, id, now);
    }
}

void membership::probe_endpoint(const endpoint& to, const router_id& subject, time_point now)
{
    const auto sequence = ++sequence_;
    probes_[sequence] = {subject, now, now + settings_.direct_timeout,
                         now + settings_.probe_timeout};
    send(new_packet(gossip_kind::ping, sequence), to, subject);
}

/// Probes dead members that other routers report as live. Every `dead_probe_periods`, or in each
/// period without peers, also probes the next dead member and a seed.
void membership::probe_dead(time_point now)
{
    for (std::size_t n = 0; n < max_rechecks && recheck_ring_.size() > 0; ++n) {
        const auto id = *recheck_ring_.next(random_);
        recheck_ring_.remove(id);
        probe_peer(id, now);
    }
    if (has_peers() && period_count_ % settings_.dead_probe_periods != 0) {
        return;
    }
    probe_next(dead_ring_, now);
    probe_seed(now);
}

/// Probes a random seed, unless it is the address of this router or of a peer that is not dead.
void membership::probe_seed(time_point now)
{
    if (seeds_.empty()) {
        return;
    }
    const auto& to = seeds_[random_.below(seeds_.size())];
    const auto is_known = [&](const auto& it) {
        return it.second.info.gossip == to && it.second.info.status != member_status::dead;
    };
    if (to == self_.gossip || std::any_of(peers_.all().begin(), peers_.all().end(), is_known)) {
        return;
    }
    probe_endpoint(to, router_id{}, now);
}

/// Requests indirect probes of subjects that did not respond in time, and suspects subjects whose
/// probe timed out.
void membership::check_probes(time_point now)
{
    std::vector<router_id> timed_out;
    for (auto it = probes_.begin(); it != probes_.end();) {
        if (it->second.ends_at <= now) {
            timed_out.push_back(it->second.subject);
            it = probes_.erase(it);
            continue;
        }
        if (!it->second.has_requested_indirect && it->second.indirect_probe_at <= now) {
            it->second.has_requested_indirect = true;
            request_indirect_probes(it->first, it->second, now);
        }
        ++it;
    }
    for (const auto& id : timed_out) {
        suspect(id, now);
    }
}

void membership::request_indirect_probes(std::uint64_t sequence, const probe& it,
                                         time_point /*now*/)
{
    const auto* subject = peers_.find(it.subject);
    if (subject == nullptr || subject->info.status == member_status::dead) {
        return;
    }
    for (std::uint32_t n = 0; n < settings_.indirect_probes; ++n) {
        const auto relay = fleet_ring_.pick_random(random_);
        if (!relay || *relay == it.subject) {
            continue;
        }
        auto packet = new_packet(gossip_kind::ping_request, sequence);
        packet.subject = it.subject;
        packet.subject_address = subject->info.gossip;
        send(std::move(packet), peers_.find(*relay)->info.gossip, *relay);
    }
}

void membership::suspect(const router_id& id, time_point now)
{
    auto* peer = peers_.find(id);
    if (peer == nullptr || peer->info.status == member_status::dead) {
        return;
    }
    suspicions_.try_emplace(id, now + suspicion_time());
    if (peer->info.status != member_status::alive) {
        return;
    }
    peer->info.status = member_status::suspect;
    member_updated(id, member_status::alive, true, now);
}

/// Declares members dead whose suspicion was not refuted in time.
void membership::expire_suspicions(time_point now)
{
    std::vector<router_id> expired;
    for (const auto& [id, deadline] : suspicions_) {
        if (deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        auto* peer = peers_.find(id);
        const auto former = peer->info.status;
        peer->info.status = member_status::dead;
        member_updated(id, former, true, now);
    }
}

void membership::forget_dead(time_point now)
{
    const auto id = dead_ring_.pick_random(random_);
    if (!id || now - peers_.find(*id)->dead_since < settings_.dead_retention) {
        return;
    }
    dead_ring_.remove(*id);
    updates_.remove(*id);
    summaries_.forget(*id);
    peers_.erase(*id);
}

/// Requests the next page of the member list from a random peer: in each period until the list is
/// synchronised, then every `page_periods`.
void membership::request_page(time_point now)
{
    const auto peer = fleet_ring_.pick_random(random_);
    if (!peer || now < page_read_.next_at) {
        return;
    }
    const auto interval_periods = is_synced_ ? settings_.page_periods : 1;
    page_read_.next_at = now + settings_.period * interval_periods;
    page_read_.sequence = ++sequence_;
    auto packet = new_packet(gossip_kind::page_request, page_read_.sequence);
    packet.cursor = page_read_.cursor;
    send(std::move(packet), peers_.find(*peer)->info.gossip, *peer);
}

void membership::announce(member_status status, time_point now)
{
    self_.status = status;
    refutation_ = refutation_.next();
    updates_.push(self_.id);
    for (std::size_t n = 0; n < announcement_peers; ++n) {
        probe_next(fleet_ring_, now);
    }
}

} // namespace endivelatch
