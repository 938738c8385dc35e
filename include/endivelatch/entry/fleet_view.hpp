#pragma once

#include "endivelatch/entry/entry_settings.hpp"
#include "endivelatch/entry/protocol.hpp"
#include "endivelatch/entry/watchers.hpp"
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

/// Returns the membership settings of entry routers. Their intervals are shorter than those of the
/// product's own routers, because callers cache entry addresses only for a few seconds.
membership_settings entry_membership_settings();

/// Returns how many load reports, with or without slowdowns, can be added to a gossip packet of the
/// given encoded size.
std::size_t load_report_capacity(std::size_t packet_size, bool has_slowdowns = false);

/// Returns how many failure reports can be added to a gossip packet of the given encoded size.
std::size_t failure_report_capacity(std::size_t packet_size);

/// Returns how many limit reports can be added to a gossip packet of the given encoded size.
std::size_t limit_report_capacity(std::size_t packet_size);

/// Returns whether crash reports can be added to a gossip packet of the given encoded size.
bool has_room_for_crash_news(std::size_t packet_size);

/// Interval between packets that carry only loads and failures, in addition to the packets of the
/// membership protocol, and number of receivers of each. In fleets of some hundred routers a report
/// reaches half of them within half a second.
inline constexpr duration load_packet_interval{200'000};
inline constexpr std::size_t load_packet_receivers = 2;
/// Largest fleet without such packets: the packets of the membership protocol reach all of its
/// routers in time.
inline constexpr std::size_t max_routers_without_load_packets = 8;

/// Callbacks of a fleet view. All must be set.
struct fleet_view_callbacks {
    std::function<void()> on_members_changed;
    /// Another router announced the position of its copy.
    std::function<void(object_kind, const member&, store_position)> on_newer_copy;
    /// Other routers reported loads of targets that are newer than the known ones.
    std::function<void(std::vector<received_load>&&)> on_loads;
    /// Other routers reported failures of targets that are newer than the known ones.
    std::function<void(std::vector<received_failure>&&)> on_failures;
    /// Other routers reported rate limits of targets that are newer than the known ones.
    std::function<void(std::vector<received_limit>&&)> on_limits;
    /// Other routers reported crashes of targets.
    std::function<void(const crash_news&)> on_crash_news;
    /// Returns what to report of crashes with the next packet.
    std::function<crash_news()> crash_news_to_send;
    /// Another router reported the use of a pool by organisations.
    std::function<void(usage_report&&)> on_usage;
    /// Returns what to report of this use with the next packet.
    std::function<usage_report()> usage_to_send;
    std::function<void(duration)> on_pause; ///< The process was not scheduled for this time.
    std::function<void(log_event&&)> on_log;
};

/// A router's task in reading the store and the peer addresses of the routers that it follows.
struct copy_sources {
    reader_role role = reader_role::watcher;
    /// In random order, but with those in the same failure domain last, as they are preferred.
    std::vector<endpoint> followed;
    std::vector<endpoint> fallbacks; ///< In random order.
    bool may_read_alone = true; ///< The fleet is so small that each follower may read the store.
};

/// Tracks the other entry routers: whether they are live and ready, which copies they hold, and the
/// loads, failures and limits of targets that they report. Runs the membership protocol over UDP.
class fleet_view {
public:
    fleet_view(event_loop& loop, const entry_settings& settings, incarnation run,
               fleet_view_callbacks callbacks);

    /// Binds the gossip address and starts the discovery of other routers.
    findings start();

    /// Adds gossip addresses that are tried for the discovery of routers.
    void add_seeds(const std::vector<endpoint>& seeds);

    /// Ends the wait for a lookup of other routers' addresses, after the found ones were added.
    void end_lookup() { is_looking_up_ = false; }

    /// Announces to the other routers whether this one accepts requests.
    void publish_ready(bool is_ready);

    /// Announces the position of this router's copy.
    void publish_copy(object_kind kind, store_position position);

    /// Announces a load that a target has just reported.
    void publish_load(const share_load& load);

    /// Announces that a target has failed to answer this router.
    void publish_failure(target_key target);

    /// Announces a rate limit that a target has just stated or lifted.
    void publish_limit(target_key target, std::optional<request_rate> limit);

    /// Announces that this router stops.
    void leave();

    /// Returns the number of live routers, including this one.
    std::uint32_t live_count() const;

    /// Returns the live routers.
    router_fleet live_fleet() const;

    /// Returns the caller addresses of the other routers that are alive and ready.
    std::vector<endpoint> ready_peers() const;

    /// Returns the peer addresses of the other live routers.
    std::vector<endpoint> live_peers() const;

    /// Returns from which routers this one gets its copies of the store's objects.
    copy_sources sources();

    /// Returns whether the router has started recently and may learn of other routers soon.
    bool is_joining() const;

    /// Returns whether any other router is known.
    bool has_peers() const { return membership_.has_peers(); }

    /// Returns the number of bytes sent so far.
    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// Maximum time that a starting router waits for the list of members. The routers of a fleet
    /// that start all at once discover each other within 2.5 s.
    static constexpr duration max_join_time{3'000'000};

private:
    void receive(const endpoint& from, std::string_view bytes);
    void receive_loads(const std::vector<load_report>& loads);
    void receive_failures(const std::vector<failure_report>& failures);
    void receive_limits(const std::vector<limit_report>& limits);
    void add_target_reports(gossip_packet& packet);
    void send_load_packets();
    void tick();
    void apply(membership_effects&& effects);
    void execute(send_packet& e);
    void execute(member_changed& e);
    void execute(summary_changed& e);
    void execute(config_seen& e);
    void execute(run_superseded& e);
    void execute(pause_noticed& e);
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
    timer load_packet_timer_;
    std::uint64_t last_load_packet_ = 0; ///< Number of the last packet of this kind.
    incarnation run_;
    time_point started_at_{};
    bool is_looking_up_ = true; ///< The addresses of other routers are not known yet.
    std::map<router_id, bool> ready_;
    load_table loads_;
    failure_table failures_;
    limit_table limits_;
    random_source random_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace endivelatch
