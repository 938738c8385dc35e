#pragma once

#include "endivelatch/entry/entry_settings.hpp"
#include "endivelatch/entry/protocol.hpp"
#include "endivelatch/membership/membership.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/net/udp_socket.hpp"
#include "endivelatch/traffic/traffic_event.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivelatch {

/// Returns the times of the membership among entry routers: shorter than those of the product's own
/// routers, since callers keep entry addresses for a few seconds only.
membership_settings entry_membership_settings();

/// Returns how many load reports a packet takes beside what it holds, given its encoded size.
std::size_t load_report_capacity(std::size_t packet_size);

/// Time between two packets of loads beside those of the membership, and how many routers get each.
/// In fleets of some hundred routers reports reach half of them within half a second.
inline constexpr duration load_packet_interval{200'000};
inline constexpr std::size_t load_packet_receivers = 2;
/// Fleets up to this size need no packets of loads: the membership's reach every router in time.
inline constexpr std::size_t max_routers_without_load_packets = 8;

/// What a fleet view reports. All must be set.
struct fleet_view_callbacks {
    std::function<void()> on_members_changed;
    /// A router holds a newer copy of the objects than this one has said to hold.
    std::function<void(object_kind, const member&, store_revision)> on_newer_copy;
    /// Other routers passed on loads of targets that are newer than those known.
    std::function<void(std::vector<received_load>&&)> on_loads;
    std::function<void(duration)> on_pause; ///< The process was not scheduled for this long.
    std::function<void(log_event&&)> on_log;
};

/// The other entry routers: who is live and ready, which copies they hold, and what they heard of
/// the loads of targets. Runs the membership protocol over UDP.
class fleet_view {
public:
    fleet_view(event_loop& loop, const entry_settings& settings, incarnation run,
               fleet_view_callbacks callbacks);

    /// Binds the address and starts to look for other routers.
    findings start();

    /// Adds addresses where routers may be found.
    void add_seeds(const std::vector<endpoint>& seeds);

    /// Tells the others whether this router takes requests.
    void publish_ready(bool is_ready);

    /// Tells the others which copy this router holds.
    void publish_copy(object_kind kind, store_revision revision);

    /// Tells the others what a target said about its load just now.
    void share(target_key target, std::uint32_t in_flight);

    /// Tells the others that this router stops.
    void leave();

    /// Returns the number of live routers, this one included.
    std::uint32_t live_count() const;

    /// Returns the addresses for callers of the other routers that are alive and ready.
    std::vector<endpoint> ready_peers() const;

    /// Returns the addresses for peers of the other live routers.
    std::vector<endpoint> live_peers() const;

    /// Returns the addresses for peers of the routers that watch the store, in random order but
    /// with those of the own failure domain last; none when this router has to watch it itself.
    std::vector<endpoint> watchers_to_follow();

    /// Returns whether the members are still being read, shortly after the start.
    bool is_joining() const;

    /// Returns whether any other router is known.
    bool has_peers() const { return membership_.has_peers(); }

    /// Bytes sent so far.
    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// Longest time in which a starting router waits for the list of members: those of a fleet
    /// that starts as a whole find each other in 2.5 s.
    static constexpr duration longest_join{3'000'000};

private:
    void receive(const endpoint& from, std::string_view bytes);
    void take_loads(const std::vector<load_report>& loads);
    void send_loads();
    void tick();
    void apply(membership_effects&& effects);
    void act(send_packet& e);
    void act(member_changed& e);
    void act(summary_changed& e);
    void act(config_seen& e);
    void act(run_superseded& e);
    void act(pause_noticed& e);
    void schedule();

    event_loop* loop_;
    fleet_view_callbacks callbacks_;
    router_id self_;
    domain_id domain_;
    membership membership_;
    udp_socket socket_;
    endpoint address_;
    std::vector<endpoint> seeds_;
    timer timer_;
    timer loads_timer_;
    std::uint64_t loads_number_ = 0; ///< Of the packets of loads sent so far.
    incarnation run_;
    time_point started_at_{};
    std::map<router_id, bool> ready_;
    load_table loads_;
    random_source random_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace endivelatch
