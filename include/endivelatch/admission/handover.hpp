#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace endivelatch {

/// In a hand-over answer: the router does not know how many requests run on the target, for
/// instance because it has restarted.
inline constexpr std::uint32_t unknown_in_flight = std::numeric_limits<std::uint32_t>::max();

/// What a new owner knows about the target's former owner.
struct former_owner_info {
    bool had_owner = false; ///< False only if the target is known to have had no owner.
    std::optional<std::uint32_t> last_in_flight; ///< Last gossiped count of the former owner.
};

/// Time limits of a hand-over.
struct handover_settings {
    /// Time until a router that does not answer has stopped admitting.
    duration former_owner_lease{3'000'000};
    /// Added to the lease, as clocks may run at different rates.
    duration clock_drift_margin{500'000};
    /// Wait for a load report of the target; without one, the last gossiped count is used.
    duration report_timeout{10'000'000};
    /// Upper limit of a request's run time.
    duration max_request_duration{300'000'000};
    /// Greatest lag of a target's load report.
    duration max_report_lag{30'000'000};
    /// Time within which a start reaches the target, or an end its owner.
    duration max_transit{500'000};
};

/// Computes the reserve of a target: how many requests it may still hold that its present owner
/// did not start.
///
/// If the former owner answers, the reserve is its count, lowered by the target's load reports.
/// Without an answer, nothing may start until peers have confirmed this router with its current
/// view and the former owner's lease has run out since then; those peers no longer confirm the
/// former owner. From then on the reserve is the reported load beyond the own count, but at least
/// the share that the former owner may use while isolated. This minimum is dropped once a
/// report from at least one lease later shows no requests of other routers, and applies again as
/// soon as a report shows some.
class handover {
public:
    explicit handover(handover_settings settings = {}) : settings_{settings} {}

    /// Starts a hand-over to this router, which already runs `own` requests on the target.
    void begin(const former_owner_info& former, std::uint32_t own, time_point now);

    /// Records the former owner's answer: it has stopped admitting, and at most `in_flight` of its
    /// requests remain. `unknown_in_flight` is ignored.
    void answered(std::uint32_t in_flight, time_point now);

    /// Records that peers confirmed this router in reply to a message sent at `sent_at`.
    void peers_confirmed(time_point sent_at, time_point now);

    /// Starts the wait for the end of the former owner's lease, unless it is running. Call this on
    /// an isolated router, which gets no confirmation.
    void start_lease_wait(time_point now);

    /// Records that this router is isolated and may have been replaced as the owner. A settled
    /// target gets a reserve for the reported load beyond the own count; for any other target this
    /// equals `start_lease_wait`.
    void peers_lost(std::uint32_t own, time_point now);

    /// Records the own count; call this after each change.
    void own_changed(std::uint32_t own, time_point now);

    /// Records the count that the target reported as of `measured_at`; applied after the
    /// transit time, when this router knows of all its requests that had ended by then.
    void target_reported(std::uint32_t in_flight, time_point measured_at);

    /// Returns how many slots to leave free, or `unknown_in_flight` if none may be used.
    /// `isolated_share` is the number of slots that a former owner may use while isolated.
    std::uint32_t reserve(std::uint32_t isolated_share, time_point now);

    /// Returns whether no requests of other routers are expected on the target.
    bool is_settled() const { return phase_ == phase::settled; }

    /// Returns whether the former owner has not answered yet.
    bool awaits_answer() const { return phase_ == phase::unanswered; }

    /// Returns the next time at which the reserve may shrink without further input.
    std::optional<time_point> next_change(time_point now) const;

private:
    enum class phase {
        settled,    ///< No reserve.
        answered,   ///< The former owner has stopped; its requests drain.
        unanswered, ///< The former owner has not answered.
    };

    /// Returns the lowest own count since `from`; zero if the history does not reach back to it.
    std::uint32_t min_own_since(time_point from) const;
    /// Returns whether no requests of other routers can remain.
    bool has_ended(time_point now) const;
    /// Updates the bound on other routers' requests from a load report.
    void apply_report(std::uint32_t in_flight, time_point measured_at);
    /// Applies the reports whose transit time has passed.
    void apply_due_reports(time_point now);
    /// Ends the hand-over and clears its state.
    void settle();

    struct load_report {
        time_point measured_at{};
        std::uint32_t in_flight = 0;
    };

    handover_settings settings_;
    phase phase_ = phase::settled;
    time_point started_at_{};
    /// From then on the former owner uses its isolated share at most.
    std::optional<time_point> stopped_at_;
    std::uint32_t others_ = 0; ///< Upper bound on other routers' requests.
    bool has_count_ = false;   ///< `others_` comes from an answer or a report after `stopped_at_`.
    bool has_drained_ = false; ///< The target holds no requests of others, as of the reports.
    std::optional<std::uint32_t> last_gossiped_; ///< Last gossiped count of the former owner.
    std::deque<std::pair<time_point, std::uint32_t>> own_history_; ///< While not settled.
    std::deque<load_report> pending_; ///< Reports whose transit time has not passed.
};

} // namespace endivelatch
