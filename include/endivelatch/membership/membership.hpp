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

/// Knows the routers of the fleet and spreads small facts among them (SWIM).
///
/// Each period it probes one peer, and one more of its own failure domain; a silent peer is
/// probed through others, then suspected, then held dead. A router that hears of its own
/// suspicion refutes it. Updates and summaries ride on probes and their answers, so the cost of
/// a router does not grow with the fleet. Packets must be authenticated before `handle`.
class membership {
public:
    /// Takes this router with its addresses, and a seed for its random choices.
    membership(member self, const membership_settings& settings, std::uint64_t seed);

    /// Sets where routers may be found; asked while no peer is known, and now and then later.
    void set_seeds(std::vector<endpoint> found) { seeds_ = std::move(found); }

    /// Handles a packet received from `from`.
    membership_effects handle(const gossip_packet& packet, const endpoint& from, time_point now);

    /// Handles all timers that are due.
    membership_effects tick(time_point now);

    /// Returns when `tick` must be called next.
    time_point next_timer() const;

    /// Announces a planned stop of this router.
    membership_effects leave(time_point now);

    /// Announces that this router has stopped; the last call.
    membership_effects stop(time_point now);

    /// Sets the configuration that this router knows.
    void set_config(const config_summary& config) { config_ = config; }

    /// Returns the configuration set so far.
    const config_summary& config() const { return config_; }

    /// Sets a summary of this router; an empty value withdraws it.
    void publish(const summary_key& key, summary_scope scope, std::string_view value);

    /// Returns all known members by id, this router and dead ones included.
    std::vector<member> members() const;

    /// Returns the members that are alive or suspect by id, this router included.
    std::vector<member> live() const;

    /// Returns the member, or null.
    const member* find(const router_id& id) const;

    /// Returns whether any other member is believed to run.
    bool has_peers() const { return fleet_ring_.size() > 0; }

    /// Returns when the last own probe that a peer answered was sent.
    std::optional<time_point> last_acked_probe_at() const { return last_acked_probe_at_; }

    /// Returns whether the list of members has been read from a peer.
    bool is_synced() const { return is_synced_; }

    /// Returns how often this router refuted its suspicion.
    refutation_number refutation() const { return refutation_; }

    /// All known summaries.
    const summary_table& summaries() const { return summaries_; }
    summary_table& summaries() { return summaries_; }

    /// Stops refuting; only for tests of the checks.
    void disable_refutation() { refutes_ = false; }

private:
    /// A probe that waits for its answer.
    struct probe {
        router_id subject; ///< Empty for a seed.
        time_point sent;
        time_point ask_others_at;
        time_point ends_at;
        bool has_asked = false;
    };

    /// A probe on behalf of another router.
    struct relayed_probe {
        router_id requester;
        endpoint requester_address;
        std::uint64_t sequence = 0;
        router_id subject;
        time_point ends_at;
    };

    /// Where the reading of a peer's member list stands.
    struct page_read {
        router_id cursor;
        time_point next_at{};
        std::uint64_t sequence = 0;   ///< Of the last request; answers to others are late.
        int whole_reads = 0;          ///< Lists read to their end.
        time_point whole_at{};        ///< When a page without gaps came last.
        bool accepts_partial = false; ///< Pages with gaps count, too.
    };

    // Timers, in membership.cpp.
    void notice_pause(time_point now);
    void run_period(time_point now);
    void probe_next(peer_ring& ring, time_point now);
    void probe_peer(const router_id& id, time_point now);
    void probe_endpoint(const endpoint& to, const router_id& subject, time_point now);
    void probe_lost(time_point now);
    void probe_seed(time_point now);
    void check_probes(time_point now);
    void ask_others(std::uint64_t sequence, const probe& it, time_point now);
    void suspect(const router_id& id, time_point now);
    void end_suspicions(time_point now);
    void forget_dead(time_point now);
    void request_page(time_point now);
    void announce(member_status status, time_point now);

    // Received packets, in membership_receive.cpp.
    void note_sender(const gossip_packet& packet, const endpoint& from, time_point now);
    void answer(const gossip_packet& packet, const endpoint& from, time_point now);
    void answer_ping(const gossip_packet& packet, const endpoint& from);
    void relay_ping(const gossip_packet& packet, const endpoint& from, time_point now);
    void take_ack(const gossip_packet& packet, time_point now);
    void take_indirect_ack(const gossip_packet& packet);
    void send_page(const gossip_packet& packet, const endpoint& from);
    void take_page(const gossip_packet& packet, time_point now);
    void take_update(const member_update& update, bool pass_on, time_point now);
    void take_own_update(const member_update& update);
    void take_summary(const summary_entry& entry, const router_id& from, bool pass_on);

    // Members, in membership_members.cpp.
    void member_updated(const router_id& id, std::optional<member_status> former, bool pass_on,
                        time_point now);
    void drop_summaries(const router_id& id);
    void show_summaries(const router_id& id, bool is_shown);
    duration suspicion_time() const;
    std::uint32_t transmission_limit(std::size_t receivers) const;
    bool in_own_domain(const router_id& id) const;

    // Packets, in membership_send.cpp.
    gossip_packet new_packet(gossip_kind kind, std::uint64_t sequence);
    void send(gossip_packet packet, const endpoint& to, const router_id& receiver);
    void fill(gossip_packet& packet, const router_id& receiver);
    member_update own_update() const;
    membership_effects take_effects();

    member self_;
    membership_settings settings_;
    random_source random_;
    refutation_number refutation_;
    config_summary config_;
    std::vector<endpoint> seeds_;

    member_table peers_;
    peer_ring fleet_ring_;  ///< All others that are not dead.
    peer_ring domain_ring_; ///< Those of the own failure domain.
    peer_ring lost_ring_;   ///< Dead members.
    peer_ring recheck_;     ///< Dead here, alive for others.
    std::map<router_id, time_point> suspicions_;
    gossip_queue<router_id> updates_;
    summary_table summaries_;

    std::map<std::uint64_t, probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    page_read page_;
    std::uint64_t sequence_ = 0;
    std::uint64_t number_ = 0;
    std::uint64_t periods_ = 0;
    std::optional<time_point> next_period_; ///< Nothing before the first tick.
    std::optional<time_point> last_acked_probe_at_;
    bool is_synced_ = false;
    bool has_stopped_ = false;
    bool refutes_ = true;
    membership_effects effects_;
};

} // namespace endivelatch
