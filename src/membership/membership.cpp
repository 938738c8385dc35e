#include "endivelatch/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {
namespace {

/// Dead members that are probed in one period because others hold them alive.
constexpr std::size_t max_rechecks = 2;

/// Peers that are told at once of a planned stop.
constexpr std::size_t announced_peers = 3;

} // namespace

membership::membership(member self, const membership_settings& settings, std::uint64_t seed)
    : self_{std::move(self)}, settings_{settings}, random_{seed}, summaries_{self_.id, self_.run}
{
    updates_.push(self_.id);
}

membership_effects membership::tick(time_point now)
{
    notice_pause(now);
    check_probes(now);
    if (now >= *next_period_ && !has_stopped_) {
        run_period(now);
    }
    return take_effects();
}

time_point membership::next_timer() const
{
    if (!next_period_) {
        return time_point{};
    }
    auto out = *next_period_;
    for (const auto& [sequence, it] : probes_) {
        out = std::min(out, it.has_asked ? it.ends_at : it.ask_others_at);
    }
    return out;
}

membership_effects membership::leave(time_point now)
{
    announce(member_status::leaving, now);
    return take_effects();
}

membership_effects membership::stop(time_point now)
{
    announce(member_status::dead, now);
    has_stopped_ = true;
    return take_effects();
}

void membership::publish(const summary_key& key, summary_scope scope, std::string_view value)
{
    summaries_.publish(key, scope, value);
}

/// Sets the time of the first period at a random phase; after a pause, forgives all probes and
/// gives the suspected members their time again.
void membership::notice_pause(time_point now)
{
    if (!next_period_) {
        const auto phase = static_cast<double>(settings_.period.count()) * random_.fraction();
        next_period_ = now + duration{static_cast<duration::rep>(phase)};
        page_.whole_at = now;
        return;
    }
    const auto late = now - next_timer();
    if (late <= settings_.period * settings_.pause_periods) {
        return;
    }
    effects_.emplace_back(pause_noticed{late});
    probes_.clear();
    relayed_.clear();
    for (auto& [id, ends] : suspicions_) {
        ends = now + suspicion_time();
    }
    next_period_ = now;
}

void membership::run_period(time_point now)
{
    ++periods_;
    next_period_ = std::max(*next_period_ + settings_.period, now);
    end_suspicions(now);
    std::erase_if(relayed_, [&](const auto& it) { return it.second.ends_at <= now; });
    summaries_.refresh(now, settings_.refresh_interval);
    probe_next(fleet_ring_, now);
    if (domain_ring_.size() < fleet_ring_.size()) {
        probe_next(domain_ring_, now);
    }
    probe_lost(now);
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

/// Probes members held dead that others hold alive; and, now and then, any of them and a seed.
void membership::probe_lost(time_point now)
{
    for (std::size_t n = 0; n < max_rechecks && recheck_.size() > 0; ++n) {
        const auto id = *recheck_.next(random_);
        recheck_.remove(id);
        probe_peer(id, now);
    }
    if (has_peers() && periods_ % settings_.dead_probe_periods != 0) {
        return;
    }
    probe_next(lost_ring_, now);
    probe_seed(now);
}

/// Probes a random seed, unless it is the address of this router or of a running peer.
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

/// Asks others about silent subjects, and suspects those that stayed silent.
void membership::check_probes(time_point now)
{
    std::vector<router_id> silent;
    for (auto it = probes_.begin(); it != probes_.end();) {
        if (it->second.ends_at <= now) {
            silent.push_back(it->second.subject);
            it = probes_.erase(it);
            continue;
        }
        if (!it->second.has_asked && it->second.ask_others_at <= now) {
            it->second.has_asked = true;
            ask_others(it->first, it->second, now);
        }
        ++it;
    }
    for (const auto& id : silent) {
        suspect(id, now);
    }
}

void membership::ask_others(std::uint64_t sequence, const probe& it, time_point /*now*/)
{
    const auto* subject = peers_.find(it.subject);
    if (subject == nullptr || subject->info.status == member_status::dead) {
        return;
    }
    for (std::uint32_t n = 0; n < settings_.indirect_probes; ++n) {
        const auto helper = fleet_ring_.any(random_);
        if (!helper || *helper == it.subject) {
            continue;
        }
        auto packet = new_packet(gossip_kind::ping_request, sequence);
        packet.subject = it.subject;
        packet.subject_address = subject->info.gossip;
        send(std::move(packet), peers_.find(*helper)->info.gossip, *helper);
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

/// Holds members dead whose suspicion was not refuted in time.
void membership::end_suspicions(time_point now)
{
    std::vector<router_id> ended;
    for (const auto& [id, ends] : suspicions_) {
        if (ends <= now) {
            ended.push_back(id);
        }
    }
    for (const auto& id : ended) {
        auto* peer = peers_.find(id);
        const auto former = peer->info.status;
        peer->info.status = member_status::dead;
        member_updated(id, former, true, now);
    }
}

void membership::forget_dead(time_point now)
{
    const auto id = lost_ring_.any(random_);
    if (!id || now - peers_.find(*id)->dead_since < settings_.dead_retention) {
        return;
    }
    lost_ring_.remove(*id);
    updates_.remove(*id);
    summaries_.forget(*id);
    peers_.erase(*id);
}

/// Asks a random peer for the next members of its list: at each period until a list was read to
/// its end, then now and then.
void membership::request_page(time_point now)
{
    const auto peer = fleet_ring_.any(random_);
    if (!peer || now < page_.next_at) {
        return;
    }
    const auto pause = is_synced_ ? settings_.page_periods : 1;
    page_.next_at = now + settings_.period * pause;
    page_.sequence = ++sequence_;
    auto packet = new_packet(gossip_kind::page_request, page_.sequence);
    packet.cursor = page_.cursor;
    send(std::move(packet), peers_.find(*peer)->info.gossip, *peer);
}

void membership::announce(member_status status, time_point now)
{
    self_.status = status;
    refutation_ = refutation_.next();
    updates_.push(self_.id);
    for (std::size_t n = 0; n < announced_peers; ++n) {
        probe_next(fleet_ring_, now);
    }
}

} // namespace endivelatch
