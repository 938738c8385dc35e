#pragma once

#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/traffic/shared_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace endivelatch {

/// What a pool's configuration states of its targets after their start.
struct cold_start_limit {
    duration time{};   ///< Time for which a target is cold after its start.
    request_rate rate; ///< Requests that a cold target tolerates, from all routers.
};

/// Number of requests that all routers together may send to a cold target.
struct cold_rule {
    duration time{};       ///< Time for which a target is cold after its start.
    std::size_t sends = 0; ///< Requests in any span of `window`.
    duration window{};

    friend bool operator==(const cold_rule&, const cold_rule&) = default;
};

/// Returns the rule that keeps a cold target below `rate * overage + slack` requests in any second,
/// and below `rate * overage` in the mean. Returns nothing if the limit states no rate.
std::optional<cold_rule> make_cold_rule(const cold_start_limit& limit, double overage,
                                        double slack);

/// Returns how many of `sends` a router with the given rank among all routers may use. The shares
/// of all ranks add up to `sends`.
std::size_t cold_share(std::size_t sends, std::size_t rank, std::size_t routers);

/// The routers among which the requests to a cold target are divided.
struct cold_sender_view {
    router_fleet fleet;         ///< This router sends nothing while its own key is not known.
    time_point may_send_from{}; ///< Until then this router does not know all others.
};

/// Tracks the routers that may send to cold targets. Unlike the live routers, they include those
/// that were lost recently: a router that is cut off from the others must not take their shares,
/// since they may still send.
class cold_senders {
public:
    /// Starts the time in which this router gets to know the others. Returns false if it was
    /// started before.
    bool start(time_point now);

    /// Updates the live routers.
    void set_live(const router_fleet& live, time_point now);

    /// Adds routers that are registered in the store. They may be live although this one has no
    /// contact with them.
    void add_registered(const router_fleet& registered, time_point now);

    /// Removes the routers that were lost more than `lost_lifetime` ago; returns whether there were
    /// any.
    bool remove_expired(time_point now);

    /// Returns the current routers.
    cold_sender_view view() const;

    /// Time after its start in which a router sends nothing to cold targets. The routers of a fleet
    /// that start at once know each other after 2.5 s.
    static constexpr duration settling_time{4'000'000};
    /// Time for which a lost router keeps its shares.
    static constexpr duration lost_lifetime{120'000'000};
    /// A router that knows few others counts as one of this many, with the highest rank.
    static constexpr std::size_t min_routers = 8;

private:
    router_key self_;
    std::map<router_key, std::optional<time_point>> others_; ///< Time of the loss, if lost.
    std::optional<time_point> started_at_;
};

/// Tells until when a target is cold, and when this router may send to it while it is.
class cold_start {
public:
    explicit cold_start(std::uint64_t target_hash) : target_hash_{target_hash} {}

    /// Sets the rule of the target's pool. Without one the target is never cold.
    void set_rule(const std::optional<cold_rule>& rule, time_point now);

    /// Sets the routers that may send.
    void set_senders(std::shared_ptr<const cold_sender_view> senders, time_point now);

    /// Records that the target may start, or become cold again, until `at`: it counts as cold for
    /// the time of the rule after that, unless it states otherwise.
    void expect(time_point at, time_point now);

    /// Records the remaining time that the target states; zero if it is warm.
    void record_statement(duration left, time_point now);

    /// Returns whether the target counts as cold.
    bool is_cold(time_point now) const { return now < cold_until(); }

    /// Returns when the target has turned cold, if it counts as cold.
    std::optional<time_point> cold_since(time_point now) const;

    /// Returns the time until the target counts as warm; zero if it does.
    duration left(time_point now) const;

    /// Returns the time until this router may send the next request; zero if it may send now.
    duration wait(time_point now) const;

    /// Returns the requests that this router may send in any span of the rule's window.
    std::size_t share() const { return share_; }

    /// Records that a request was sent.
    void record_send(time_point now);

private:
    time_point cold_until() const;
    void update_share();

    /// Applies a change to the time at which the target is warm.
    template <class Change>
    void change(Change apply, time_point now)
    {
        const bool was_cold = is_cold(now);
        apply();
        if (is_cold(now)) {
            since_ = was_cold ? since_ : now;
            update_share();
        }
    }

    std::uint64_t target_hash_;
    std::optional<cold_rule> rule_;
    std::shared_ptr<const cold_sender_view> senders_;
    std::optional<time_point> expected_until_; ///< The target may turn cold until then.
    time_point stated_until_{};                ///< The target stated to be cold until then.
    time_point since_{};
    std::size_t share_ = 0;
    duration delay_{};             ///< Time from turning cold to this router's first request.
    std::vector<time_point> sent_; ///< Requests within the window, oldest first.
};

} // namespace endivelatch
