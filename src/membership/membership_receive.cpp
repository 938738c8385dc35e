#include "endivelatch/membership/membership.hpp"
#include "endivelatch/membership/packet_size.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {
namespace {

/// Most probes that run on behalf of others.
constexpr std::size_t max_relayed = 256;

/// Reads of the whole list after which it counts as known; pages come from different peers, whose
/// lists may differ while members come and go.
constexpr int needed_reads = 2;

/// Most dead members that wait for a probe because others hold them alive.
constexpr std::size_t max_waiting_rechecks = 4'096;

} // namespace

membership_effects membership::handle(const gossip_packet& packet, const endpoint& from,
                                      time_point now)
{
    notice_pause(now);
    if (packet.from == self_.id || has_stopped_) {
        return take_effects();
    }
    auto* sender = peers_.find(packet.from);
    if (sender != nullptr && !sender->received.accept(packet.from_run, packet.number)) {
        return take_effects();
    }
    const bool is_page = packet.kind == gossip_kind::page;
    for (const auto& it : packet.members) {
        take_update(it, !is_page, now);
    }
    for (const auto& it : packet.summaries) {
        take_summary(it, packet.from, !is_page);
    }
    note_sender(packet, from, now);
    answer(packet, from, now);
    return take_effects();
}

/// Reports the sender's configuration, and sends it this router's details if it lacks them.
void membership::note_sender(const gossip_packet& packet, const endpoint& from, time_point now)
{
    const bool is_ahead = packet.config.version > config_.version;
    const bool differs =
        packet.config.version == config_.version && packet.config.digest != config_.digest;
    if (is_ahead || differs) {
        effects_.emplace_back(config_seen{packet.from, packet.config});
    }
    if (packet.sender_unknown && packet.kind == gossip_kind::ack) {
        updates_.push(self_.id);
        probe_endpoint(from, packet.from, now);
    }
}

void membership::answer(const gossip_packet& packet, const endpoint& from, time_point now)
{
    switch (packet.kind) {
    case gossip_kind::ping:
        answer_ping(packet, from);
        return;
    case gossip_kind::ack:
        take_ack(packet, now);
        return;
    case gossip_kind::ping_request:
        relay_ping(packet, from, now);
        return;
    case gossip_kind::indirect_ack:
        take_indirect_ack(packet);
        return;
    case gossip_kind::page_request:
        send_page(packet, from);
        return;
    case gossip_kind::page:
        take_page(packet, now);
        return;
    case gossip_kind::loads: // Read by the caller of `handle`.
        return;
    }
}

void membership::answer_ping(const gossip_packet& packet, const endpoint& from)
{
    auto out = new_packet(gossip_kind::ack, packet.sequence);
    const auto* sender = peers_.find(packet.from);
    out.sender_unknown = sender == nullptr || sender->info.run < packet.from_run;
    if (packet.sender_unknown || out.sender_unknown) {
        out.members.push_back(own_update());
    }
    send(std::move(out), from, packet.from);
}

void membership::relay_ping(const gossip_packet& packet, const endpoint& from, time_point now)
{
    if (packet.subject == self_.id || relayed_.size() >= max_relayed) {
        return;
    }
    const auto sequence = ++sequence_;
    relayed_[sequence] = {packet.from, from, packet.sequence, packet.subject,
                          now + settings_.probe_timeout};
    send(new_packet(gossip_kind::ping, sequence), packet.subject_address, packet.subject);
}

void membership::take_ack(const gossip_packet& packet, time_point /*now*/)
{
    if (const auto relayed = relayed_.extract(packet.sequence)) {
        const auto& it = relayed.mapped();
        if (it.subject != packet.from) {
            return;
        }
        auto out = new_packet(gossip_kind::indirect_ack, it.sequence);
        out.subject = it.subject;
        send(std::move(out), it.requester_address, it.requester);
        return;
    }
    const auto it = probes_.find(packet.sequence);
    if (it == probes_.end()) {
        return;
    }
    if (!it->second.subject.empty() && it->second.subject != packet.from) {
        return;
    }
    last_acked_probe_at_ =
        std::max(last_acked_probe_at_.value_or(it->second.sent), it->second.sent);
    const auto* sender = peers_.find(packet.from);
    if (sender != nullptr && sender->info.status == member_status::leaving) {
        suspicions_.erase(packet.from);
    }
    probes_.erase(it);
}

void membership::take_indirect_ack(const gossip_packet& packet)
{
    const auto it = probes_.find(packet.sequence);
    if (it == probes_.end() || it->second.subject != packet.subject) {
        return;
    }
    last_acked_probe_at_ =
        std::max(last_acked_probe_at_.value_or(it->second.sent), it->second.sent);
    probes_.erase(it);
}

/// Answers with the members after the cursor and their summaries, as far as they fit.
void membership::send_page(const gossip_packet& packet, const endpoint& from)
{
    auto out = new_packet(gossip_kind::page, packet.sequence);
    out.has_whole_list = is_synced_;
    auto size = packet_base_size(out) + encoded_size(own_update());
    out.members.push_back(own_update());
    const bool same_domain = in_own_domain(packet.from);
    const auto& all = peers_.all();
    for (auto it = all.upper_bound(packet.cursor); it != all.end(); ++it) {
        if (it->second.info.status == member_status::dead || it->first == packet.from) {
            continue;
        }
        const auto update = member_table::to_update(it->second, true);
        auto entries = summaries_.of(it->first);
        if (!same_domain) {
            std::erase_if(entries, [](const auto& e) { return e.scope == summary_scope::domain; });
        }
        auto added = encoded_size(update) + it->first.str().size();
        for (const auto& entry : entries) {
            added += encoded_size(entry) + group_header_size(entry);
        }
        const bool is_first = out.members.size() == 1;
        if (size + added > settings_.packet_size && !is_first) {
            break;
        }
        if (size + added > settings_.packet_size) {
            entries.clear();
        }
        size += added;
        out.members.push_back(update);
        out.summaries.insert(out.summaries.end(), entries.begin(), entries.end());
        out.cursor = it->first;
    }
    const bool is_last = all.upper_bound(out.cursor) == all.end() || out.members.size() == 1;
    if (is_last) {
        out.cursor = router_id{};
    }
    effects_.emplace_back(send_packet{from, std::move(out)});
}

/// Goes on with the next page. Pages of routers that still read a list themselves have gaps; they
/// count only after some time without any other, since all routers may have just started.
void membership::take_page(const gossip_packet& packet, time_point now)
{
    if (packet.sequence != page_.sequence) {
        return;
    }
    if (packet.has_whole_list) {
        page_.whole_at = now;
    }
    if (now - page_.whole_at > settings_.period * settings_.partial_page_periods) {
        page_.accepts_partial = true;
    }
    if (!packet.has_whole_list && !page_.accepts_partial) {
        return;
    }
    page_.cursor = packet.cursor;
    if (packet.cursor.empty()) {
        ++page_.whole_reads;
        is_synced_ = page_.whole_reads >= needed_reads;
        return;
    }
    if (!is_synced_) {
        page_.next_at = now;
        request_page(now);
    }
}

void membership::take_update(const member_update& update, bool pass_on, time_point now)
{
    const auto& id = update.subject.id;
    if (id == self_.id) {
        take_own_update(update);
        return;
    }
    const auto* known = peers_.find(id);
    const auto former = known == nullptr ? std::nullopt : std::optional{known->info.status};
    const auto former_run = known == nullptr ? incarnation{} : known->info.run;
    const auto result = peers_.apply(update);
    if (result == update_result::ignored) {
        if (pass_on && known != nullptr && member_table::is_same(update, *known)) {
            updates_.count_duplicate(id, transmission_limit(fleet_ring_.size()));
        }
        const bool is_missed = former == member_status::dead && update.subject.run == former_run &&
                               update.subject.status != member_status::dead;
        if (is_missed && recheck_.size() < max_waiting_rechecks) {
            recheck_.add(id, random_);
        }
        return;
    }
    if (result == update_result::confirmed) {
        updates_.push(id);
        suspicions_.erase(id);
        return;
    }
    if (known != nullptr && former_run != update.subject.run) {
        drop_summaries(id);
    }
    member_updated(id, former, pass_on, now);
}

/// Refutes what others say about this router, unless it is what this router said. Says it again
/// to those who have not heard of the last refutation.
void membership::take_own_update(const member_update& update)
{
    if (update.subject.run > self_.run) {
        effects_.emplace_back(run_superseded{update.subject.run});
        return;
    }
    if (update.subject.run < self_.run) {
        updates_.push(self_.id);
        return;
    }
    if (!refutes_ || update.subject.status <= self_.status) {
        return;
    }
    if (update.refutation >= refutation_) {
        refutation_ = update.refutation.next();
    }
    updates_.push(self_.id);
}

void membership::take_summary(const summary_entry& entry, const router_id& from, bool pass_on)
{
    const auto* owner = peers_.find(entry.owner);
    if (owner == nullptr || owner->info.run != entry.owner_run) {
        return;
    }
    const auto result = summaries_.merge(entry, from, pass_on);
    const bool is_dead = owner->info.status == member_status::dead;
    summaries_.set_hidden(entry.owner, is_dead);
    if (result == merge_result::changed && !is_dead) {
        effects_.emplace_back(summary_changed{entry.owner, entry.key, entry.value});
    }
}

} // namespace endivelatch
