#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace endivelatch {

/// In a hand-over answer: the router cannot say what runs on the target, for instance since it
/// has restarted.
inline constexpr std::uint32_t unknown_in_flight = std::numeric_limits<std::uint32_t>::max();

/// What a new owner knows about the owner before it.
struct former_owner_info {
    bool had_owner = false; ///< False only when the target is known to have had no owner.
    std::optional<std::uint32_t> last_in_flight; ///< Last gossiped count of the former owner.
};

/// Periods of a hand-over.
struct handover_settings {
    duration former_lease{3'000'000};      ///< A silent router has stopped admitting by then.
    duration clock_margin{500'000};        ///< Added for clocks that run at different rates.
    duration report_patience{10'000'000};  ///< Wait for the target's load report before guessing.
    duration longest_request{300'000'000}; ///< No request runs for longer.
    duration history{30'000'000};          ///< Greatest lag of a target's load report.
    duration transit{500'000}; ///< A start has reached the target, or an end its owner, by then.
};

/// Tracks how many requests a target may still hold that its owner did not start.
///
/// After an answer of the former owner that is its count, then what the target's load reports
/// leave of it. Without an answer nothing may start until peers have confirmed this router with
/// its present view and the former owner's lease has run out since, as those peers no longer
/// confirm it. From then on the reserve is what the target reports beyond the own count, at least
/// the share that the former owner may use while it is alone; that share is given up once the
/// target has held nothing of others for a while, and kept again as soon as it does.
class handover {
public:
    explicit handover(handover_settings settings = {}) : settings_{settings} {}

    /// Starts a hand-over to this router, which runs `own` requests on the target already.
    void begin(const former_owner_info& former, std::uint32_t own, time_point now);

    /// Records the former owner's answer: it has stopped, `in_flight` requests may remain. An
    /// answer of `unknown_in_flight` changes nothing.
    void answered(std::uint32_t in_flight, time_point now);

    /// Records that peers confirmed this router in answer to a message sent at `sent_at`.
    void peers_confirmed(time_point sent_at, time_point now);

    /// Starts the wait for the end of the former owner's lease, unless it runs already. For a
    /// router without peers, which no confirmation reaches.
    void start_wait(time_point now);

    /// Leaves room from now on for what the target reports beyond the own count. For a settled
    /// target whose owner has lost its peers and may have been replaced; else like `start_wait`.
    void watch(std::uint32_t own, time_point now);

    /// Records a change of the own count; call it after each change.
    void own_changed(std::uint32_t own, time_point now);

    /// Records the target's own count as of `measured_at`; it takes effect after the transit time.
    void target_reported(std::uint32_t in_flight, time_point measured_at);

    /// Returns how many places to leave free, or `unknown_in_flight` when none may be used.
    /// `lone_share` is what a former owner may use while it is alone.
    std::uint32_t reserve(std::uint32_t lone_share, time_point now);

    /// Returns whether no other router's work is expected on the target any more.
    bool is_settled() const { return phase_ == phase::settled; }

    /// Returns whether the former owner's answer is still missing.
    bool awaits_answer() const { return phase_ == phase::silent; }

    /// Returns the next time at which the reserve may shrink by itself.
    std::optional<time_point> next_change(time_point now) const;

private:
    enum class phase {
        settled,  ///< Nothing is reserved.
        answered, ///< The former owner has stopped; its requests drain.
        silent,   ///< The former owner has not answered.
    };

    /// Returns the least own count from `from` on.
    std::uint32_t least_own_since(time_point from) const;
    /// Returns whether nothing of others can be left.
    bool has_ended(time_point now) const;
    /// Takes over what one load report shows.
    void apply_report(std::uint32_t in_flight, time_point measured_at);
    /// Applies the reports whose transit time has passed.
    void apply_due_reports(time_point now);
    /// Ends the hand-over.
    void settle();

    struct load_report {
        time_point measured_at{};
        std::uint32_t in_flight = 0;
    };

    handover_settings settings_;
    phase phase_ = phase::settled;
    time_point begun_at_{};
    std::optional<time_point> stopped_at_; ///< The former owner admits its lone share at most.
    std::uint32_t others_ = 0;             ///< Bound on other routers' requests.
    bool is_proven_ = false;               ///< `others_` comes from a report after `stopped_at_`.
    bool is_quiet_ = false;                ///< The target has held nothing of others for a while.
    std::optional<std::uint32_t> guess_;   ///< Last gossiped count.
    std::deque<std::pair<time_point, std::uint32_t>> own_history_; ///< While not settled.
    std::deque<load_report> pending_; ///< Reports whose transit time has not passed.
};

} // namespace endivelatch
