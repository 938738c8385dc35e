#include "endivelatch/membership/membership.hpp"
#include "endivelatch/membership/packet_size.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {
namespace {

/// Maximum concurrent probes on behalf of other routers.
constexpr std::size_t max_relayed_probes = 256;

/// Complete reads after which the member list counts as synchronised. One is not enough: pages come
/// from different peers, whose lists may differ while members join and leave.
constexpr int required_reads = 2;

/// Maximum dead members queued for a probe because other routers report them as live.
constexpr std::size_t max_waiting_rechecks = 4'096;

} // namespace

membership_effects membership::handle(const gossip_packet& packet, const endpoint& from,
                                      time_point now)
{
    detect_pause(now);
    if (packet.from == self_.id || has_stopped_) {
        return release_effects();
    }
    auto* sender = peers_.find(packet.from);
    if (sender != nullptr && !sender->received.accept(packet.from_run, packet.number)) {
        return release_effects();
    }
    const bool is_page = packet.kind == gossip_kind::page;
    for (const auto& it : packet.members) {
        handle_update(it, !is_page, now);
    }
    for (const auto& it : packet.summaries) {
        handle_summary(it, packet.from, !is_page);
    }
    process_sender(packet, from, now);
    dispatch(packet, from, now);
    return release_effects();
}

/// Reports a differing configuration of the sender, and sends it this router's details if it lacks
/// them.
void membership::process_sender(const gossip_packet& packet, const endpoint& from, time_point now)
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

void membership::dispatch(const gossip_packet& packet, const endpoint& from, time_point now)
{
    switch (packet.kind) {
    case gossip_kind::ping:
        send_ack(packet, from);
        return;
    case gossip_kind::ack:
        handle_ack(packet, now);
        return;
    case gossip_kind::ping_request:
        relay_probe(packet, from, now);
        return;
    case gossip_kind::indirect_ack:
        handle_indirect_ack(packet);
        return;
    case gossip_kind::page_request:
        send_page(packet, from);
        return;
    case gossip_kind::page:
        handle_page(packet, now);
        return;
    case gossip_kind::loads: // Processed by the caller of `handle`.
        return;
    }
}

void membership::send_ack(const gossip_packet& packet, const endpoint& from)
{
    auto out = new_packet(gossip_kind::ack, packet.sequence);
    const auto* sender = peers_.find(packet.from);
    out.sender_unknown = sender == nullptr || sender->info.run < packet.from_run;
    if (packet.sender_unknown || out.sender_unknown) {
        out.members.push_back(own_update());
    }
    send(std::move(out), from, packet.from);
}

void membership::relay_probe(const gossip_packet& packet, const endpoint& from, time_point now)
{
    if (packet.subject == self_.id || relayed_probes_.size() >= max_relayed_probes) {
        return;
    }
    const auto sequence = ++sequence_;
    relayed_probes_[sequence] = {packet.from, from, packet.sequence, packet.subject,
                                 now + settings_.probe_timeout};
    send(new_packet(gossip_kind::ping, sequence), packet.subject_address, packet.subject);
}

void membership::handle_ack(const gossip_packet& packet, time_point /*now*/)
{
    if (const auto relayed = relayed_probes_.extract(packet.sequence)) {
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

void membership::handle_indirect_ack(const gossip_packet& packet)
{
    const auto it = probes_.find(packet.sequence);
    if (it == probes_.end() || it->second.subject != packet.subject) {
        return;
    }
    last_acked_probe_at_ =
        std::max(last_acked_probe_at_.value_or(it->second.sent), it->second.sent);
    probes_.erase(it);
}

/// Responds with the members after the cursor and their summaries, as far as they fit.
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
        auto entries = summaries_.entries_of(it->first);
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

/// Advances the read to the next page. Pages of routers that are not synchronised themselves have
/// gaps. They are used only after `partial_page_periods` without a page of a synchronised router,
/// since all routers may have just started.
void membership::handle_page(const gossip_packet& packet, time_point now)
{
    if (packet.sequence != page_read_.sequence) {
        return;
    }
    if (packet.has_whole_list) {
        page_read_.last_complete_page_at = now;
    }
    if (now - page_read_.last_complete_page_at >
        settings_.period * settings_.partial_page_periods) {
        page_read_.accepts_partial = true;
    }
    if (!packet.has_whole_list && !page_read_.accepts_partial) {
        return;
    }
    page_read_.cursor = packet.cursor;
    if (packet.cursor.empty()) {
        ++page_read_.complete_reads;
        is_synced_ = page_read_.complete_reads >= required_reads;
        return;
    }
    if (!is_synced_) {
        page_read_.next_at = now;
        request_page(now);
    }
}

void membership::handle_update(const member_update& update, bool forward, time_point now)
{
    const auto& id = update.subject.id;
    if (id == self_.id) {
        handle_own_update(update);
        return;
    }
    const auto* known = peers_.find(id);
    const auto former = known == nullptr ? std::nullopt : std::optional{known->info.status};
    const auto former_run = known == nullptr ? incarnation{} : known->info.run;
    const auto result = peers_.apply(update);
    if (result == update_result::ignored) {
        if (forward && known != nullptr && member_table::is_duplicate(update, *known)) {
            updates_.count_duplicate(id, transmission_limit(fleet_ring_.size()));
        }
        const bool is_alive_elsewhere = former == member_status::dead &&
                                        update.subject.run == former_run &&
                                        update.subject.status != member_status::dead;
        if (is_alive_elsewhere && recheck_ring_.size() < max_waiting_rechecks) {
            recheck_ring_.add(id, random_);
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
    member_updated(id, former, forward, now);
}

/// Refutes a status of this router that it did not announce itself, and queues its own update again
/// for routers that have not received the last refutation.
void membership::handle_own_update(const member_update& update)
{
    if (update.subject.run > self_.run) {
        effects_.emplace_back(run_superseded{update.subject.run});
        return;
    }
    if (update.subject.run < self_.run) {
        updates_.push(self_.id);
        return;
    }
    if (!refutation_enabled_ || update.subject.status <= self_.status) {
        return;
    }
    if (update.refutation >= refutation_) {
        refutation_ = update.refutation.next();
    }
    updates_.push(self_.id);
}

void membership::handle_summary(const summary_entry& entry, const router_id& from, bool forward)
{
    const auto* owner = peers_.find(entry.owner);
    if (owner == nullptr || owner->info.run != entry.owner_run) {
        return;
    }
    const auto result = summaries_.merge(entry, from, forward);
    const bool is_dead = owner->info.status == member_status::dead;
    summaries_.set_hidden(entry.owner, is_dead);
    if (result == merge_result::changed && !is_dead) {
        effects_.emplace_back(summary_changed{entry.owner, entry.key, entry.value});
    }
}

} // namespace endivelatch
