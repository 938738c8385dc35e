#include "endivelatch/membership/membership.hpp"
#include "endivelatch/membership/packet_size.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endivelatch {
namespace {

/// Returns whether other routers may lack the member's details; otherwise a brief update is enough.
bool is_new(const peer_record& peer)
{
    return peer.refutation == refutation_number{} && peer.info.status == member_status::alive;
}

} // namespace

gossip_packet membership::new_packet(gossip_kind kind, std::uint64_t sequence)
{
    gossip_packet out;
    out.kind = kind;
    out.from = self_.id;
    out.from_run = self_.run;
    out.number = ++packet_number_;
    out.sequence = sequence;
    out.config = config_;
    return out;
}

void membership::send(gossip_packet packet, const endpoint& to, const router_id& receiver)
{
    piggyback(packet, receiver);
    effects_.emplace_back(send_packet{to, std::move(packet)});
}

/// Piggybacks the receiver's status if it is not alive, so that it can refute, then queued updates
/// and queued summaries, as far as they fit. Half of the packet is reserved for queued summaries.
void membership::piggyback(gossip_packet& packet, const router_id& receiver)
{
    auto size = packet_base_size(packet);
    for (const auto& it : packet.members) {
        size += encoded_size(it);
    }
    const bool same_domain = in_own_domain(receiver);
    auto limit = settings_.packet_size;
    const auto fits = [&](std::size_t added) {
        if (size + added > limit) {
            return false;
        }
        size += added;
        return true;
    };
    const auto add = [&](const member_update& update) {
        if (!fits(encoded_size(update))) {
            return false;
        }
        packet.members.push_back(update);
        return true;
    };
    const auto* peer = peers_.find(receiver);
    if (peer != nullptr && peer->info.status != member_status::alive) {
        add(member_table::to_update(*peer, false));
    }
    if (summaries_.has_queued(same_domain)) {
        limit /= 2;
    }
    updates_.select(transmission_limit(fleet_ring_.size()), [&](const router_id& id) {
        const auto* known = peers_.find(id);
        if (id == receiver || (known == nullptr && id != self_.id)) {
            return offer_result::skipped;
        }
        const auto update =
            id == self_.id ? own_update() : member_table::to_update(*known, is_new(*known));
        return add(update) ? offer_result::accepted : offer_result::no_space;
    });
    limit = settings_.packet_size;
    std::set<router_id> owners;
    for (const auto& it : packet.summaries) {
        size += encoded_size(it) + (owners.insert(it.owner).second ? group_header_size(it) : 0);
    }
    summaries_.select(receiver, same_domain, [&](const auto& entry) {
        const auto header = owners.contains(entry.owner) ? 0 : group_header_size(entry);
        if (!fits(encoded_size(entry) + header)) {
            return false;
        }
        owners.insert(entry.owner);
        packet.summaries.push_back(entry);
        return true;
    });
    std::stable_sort(packet.summaries.begin(), packet.summaries.end(),
                     [](const auto& a, const auto& b) { return a.owner < b.owner; });
}

member_update membership::own_update() const
{
    return {self_, refutation_, true};
}

membership_effects membership::release_effects()
{
    return std::exchange(effects_, {});
}

} // namespace endivelatch
