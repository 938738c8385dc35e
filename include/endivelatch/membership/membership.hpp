#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/membership/gossip_queue.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/membership/member_table.hpp"
#include "endivelatch/membership/membership_effect.hpp"
#include "endivelatch/membership/membership_settings.hpp"
#include "endivelatch/membership/peer_ring.hpp"
#include "endivelatch/membership/summary_table.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace endivelatch {

/// Maintains the fleet's member list and disseminates summaries among routers (SWIM protocol).
///
/// In each period a router probes one peer of the fleet and one of its own failure domain. A peer
/// that does not respond is probed indirectly through other peers, then suspected, then declared
/// dead. A router refutes suspicions of itself. Updates and summaries are piggybacked on probes
/// and their responses, so the cost per router does not grow with the fleet. Packets must be
/// authenticated before they are passed to `handle`.
class membership {
public:
    /// `self` describes this router; `seed` initialises the random generator.
    membership(member self, const membership_settings& settings, std::uint64_t seed);

    /// Sets the seed addresses. One of them is probed in each period while no peer is known, and
    /// every `dead_probe_periods` afterwards.
    void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }

    /// Processes a packet received from `from`.
    membership_effects handle(const gossip_packet& packet, const endpoint& from, time_point now);

    /// Runs all timers that are due.
    membership_effects tick(time_point now);

    /// Returns when `tick` must be called next.
    time_point next_timer() const;

    /// Announces a planned stop of this router.
    membership_effects leave(time_point now);

    /// Announces that this router has stopped; must be the last call.
    membership_effects stop(time_point now);

    /// Sets the configuration advertised to peers.
    void set_config(const config_summary& config) { config_ = config; }

    /// Returns the advertised configuration.
    const config_summary& config() const { return config_; }

    /// Publishes a summary of this router; an empty value withdraws it.
    void publish(const summary_key& key, summary_scope scope, std::string_view value);

    /// Returns all known members ordered by id, including this router and dead members.
    std::vector<member> members() const;

    /// Returns the alive and suspect members ordered by id, including this router.
    std::vector<member> live() const;

    /// Returns the member, or null if it is unknown.
    const member* find(const router_id& id) const;

    /// Returns whether any other member is not dead.
    bool has_peers() const { return fleet_ring_.size() > 0; }

    /// Returns the send time of the latest probe that was acknowledged, directly or indirectly.
    std::optional<time_point> last_acked_probe_at() const { return last_acked_probe_at_; }

    /// Returns whether the member list has been synchronised from peers.
    bool is_synced() const { return is_synced_; }

    /// Returns the refutation number of this router.
    refutation_number refutation() const { return refutation_; }

    /// Returns all known summaries.
    const summary_table& summaries() const { return summaries_; }
    summary_table& summaries() { return summaries_; }

    /// Disables refutation; only for mutation tests.
    void disable_refutation() { refutation_enabled_ = false; }

private:
    /// A probe that awaits its response.
    struct probe {
        router_id subject; ///< Empty when a seed address is probed.
        time_point sent;
        time_point indirect_probe_at;
        time_point ends_at;
        bool has_requested_indirect = false;
    };

    /// A probe sent on behalf of another router.
    struct relayed_probe {
        router_id requester;
        endpoint requester_address;
        std::uint64_t sequence = 0;
        router_id subject;
        time_point ends_at;
    };

    /// Progress of reading the member list page by page.
    struct page_read {
        router_id cursor;
        time_point next_at{};
        std::uint64_t sequence = 0;         ///< Of the last request; other responses are late.
        int complete_reads = 0;             ///< Lists read completely.
        time_point last_complete_page_at{}; ///< Receive time of the last page without gaps.
        bool accepts_partial = false; ///< Also uses pages of routers that are not synchronised.
    };

    // Timers, in membership.cpp.
    void detect_pause(time_point now);
    void run_period(time_point now);
    void probe_next(peer_ring& ring, time_point now);
    void probe_peer(const router_id& id, time_point now);
    void probe_endpoint(const endpoint& to, const router_id& subject, time_point now);
    void probe_dead(time_point now);
    void probe_seed(time_point now);
    void check_probes(time_point now);
    void request_indirect_probes(std::uint64_t sequence, const probe& it, time_point now);
    void suspect(const router_id& id, time_point now);
    void expire_suspicions(time_point now);
    void forget_dead(time_point now);
    void request_page(time_point now);
    void announce(member_status status, time_point now);

    // Packet handling, in membership_receive.cpp.
    void process_sender(const gossip_packet& packet, const endpoint& from, time_point now);
    void dispatch(const gossip_packet& packet, const endpoint& from, time_point now);
    void send_ack(const gossip_packet& packet, const endpoint& from);
    void relay_probe(const gossip_packet& packet, const endpoint& from, time_point now);
    void handle_ack(const gossip_packet& packet, time_point now);
    void handle_indirect_ack(const gossip_packet& packet);
    void send_page(const gossip_packet& packet, const endpoint& from);
    void handle_page(const gossip_packet& packet, time_point now);
    void handle_update(const member_update& update, bool forward, time_point now);
    void handle_own_update(const member_update& update);
    void handle_summary(const summary_entry& entry, const router_id& from, bool forward);

    // Member state, in membership_members.cpp.
    void member_updated(const router_id& id, std::optional<member_status> former, bool forward,
                        time_point now);
    void drop_summaries(const router_id& id);
    void set_summaries_visible(const router_id& id, bool is_visible);
    duration suspicion_time() const;
    std::uint32_t transmission_limit(std::size_t receivers) const;
    bool in_own_domain(const router_id& id) const;

    // Packet construction, in membership_send.cpp.
    gossip_packet new_packet(gossip_kind kind, std::uint64_t sequence);
    void send(gossip_packet packet, const endpoint& to, const router_id& receiver);
    void piggyback(gossip_packet& packet, const router_id& receiver);
    member_update own_update() const;
    membership_effects release_effects();

    member self_;
    membership_settings settings_;
    random_source random_;
    refutation_number refutation_;
    config_summary config_;
    std::vector<endpoint> seeds_;

    member_table peers_;
    peer_ring fleet_ring_;   ///< All peers that are not dead.
    peer_ring domain_ring_;  ///< Peers of the own failure domain that are not dead.
    peer_ring dead_ring_;    ///< Dead members.
    peer_ring recheck_ring_; ///< Dead members that other routers report as live.
    std::map<router_id, time_point> suspicions_;
    gossip_queue<router_id> updates_;
    summary_table summaries_;

    std::map<std::uint64_t, probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    page_read page_read_;
    std::uint64_t sequence_ = 0;
    std::uint64_t packet_number_ = 0;
    std::uint64_t period_count_ = 0;
    std::optional<time_point> next_period_; ///< Empty until the first call of `handle` or `tick`.
    std::optional<time_point> last_acked_probe_at_;
    bool is_synced_ = false;
    bool has_stopped_ = false;
    bool refutation_enabled_ = true;
    membership_effects effects_;
};

} // namespace endivelatch
