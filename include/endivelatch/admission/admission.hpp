#pragma once

#include "endivelatch/admission/bulkhead.hpp"
#include "endivelatch/admission/fair_queue.hpp"
#include "endivelatch/admission/handover.hpp"
#include "endivelatch/admission/hold_lease.hpp"
#include "endivelatch/admission/load_bound.hpp"
#include "endivelatch/admission/organisation_limiter.hpp"
#include "endivelatch/admission/usage_shares.hpp"
#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace endivelatch {

/// One attempt that asks for a place on a target.
struct admission_request {
    attempt_key key;
    target_id target;
    organisation_id organisation;
    caller_id caller;
    std::int32_t priority = 0;     ///< Higher runs first within its organisation.
    std::uint32_t work_tokens = 1; ///< Estimated work.
    time_point start_by{};         ///< Refused when it has not started by then.
};

/// Why a request was refused. In each case nothing of it has been run.
enum class refusal {
    deadline,   ///< No place became free in time.
    queue_full, ///< Too many requests wait for the target.
    cancelled,  ///< Its caller took it back while it waited.
};

/// Returns the reason as written in answers and logs, such as `queue_full`.
std::string_view to_string(refusal r);

/// Send the request to the target now. The place is taken until `finished`.
struct start_run {
    attempt_key key;
    target_id target;
};

/// Tell the caller that the request was not run.
struct refuse {
    attempt_key key;
    refusal reason = refusal::deadline;
    duration retry_after{};
};

/// The request waits for a target that is no longer served here: route it again.
struct move_request {
    attempt_key key;
    target_id target;
};

/// Answer the new owner's hand-over query: this router has stopped admitting to the target.
struct released {
    target_id target;
    std::uint32_t in_flight = 0; ///< May remain; `unknown_in_flight` when it can't be said.
};

/// Another router may have owned the target while this one had no contact: ask those that claim
/// it. Admission goes on when the target's reports show what it holds, or on an answer.
struct ownership_doubtful {
    target_id target;
};

/// What admission asks its host to do.
using admission_effect =
    std::variant<start_run, refuse, move_request, released, ownership_doubtful>;
using admission_effects = std::vector<admission_effect>;

/// The load of one target as its owner gossips it.
struct target_load {
    target_id target;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
};

/// What a router gossips about its admission.
struct admission_summary {
    std::vector<target_load> targets; ///< Owned targets.
    std::vector<organisation_usage> organisations;
};

/// Settings of admission that do not come from the fleet's configuration.
struct admission_settings {
    lease_settings lease;
    handover_settings former;
    duration report_delay = organisation_limiter::default_report_delay;
    duration drain_time = pool_load::default_drain_time;
    double bound_margin = 0; ///< Admission stays this much below the configured load bound.
    double lone_share = 0.5; ///< Share of the cap for a router that has lost its peers.
    /// Share of a target's places that organisations above their weighted share leave free. Where
    /// the load bound limits the target, at most half of what the bound lies above the mean, since
    /// the mean could not rise otherwise.
    double headroom = 0.25;
};

/// Admission to all targets that one router owns: the load bound, hand-over of ownership,
/// self-fencing, fair queues, organisation caps and the bound on calls to plain services.
///
/// A request is answered by exactly one of start_run, refuse and move_request. Time goes into
/// each call; the host calls `tick` at `next_timer`.
class admission {
public:
    explicit admission(admission_settings settings = {});

    /// Takes over a configuration. Requests that wait for targets which have gone move.
    admission_effects configure(const configuration& config, time_point now);

    /// Sets whether the target counts in its pool's mean; false when it does not answer probes or
    /// its owner is out of reach.
    admission_effects set_available(const target_id& target, bool available, time_point now);

    /// Makes this router the owner of a target. Ask the former owner, if the present view has one,
    /// with the number that `adoption` returns then.
    admission_effects adopt(const target_id& target, const former_owner_info& former,
                            time_point now);

    /// Returns the number of the target's last adoption; it tells late answers from current ones.
    std::uint64_t adoption(const target_id& target) const;

    /// Records the former owner's answer to the query of the given adoption; others are ignored.
    admission_effects handover_answered(const target_id& target, std::uint64_t adoption,
                                        std::uint32_t in_flight, time_point now);

    /// Stops admitting to a target that is another router's by the present view.
    admission_effects stop_owning(const target_id& target, time_point now);

    /// Answers a new owner's query with `released`, and stops admitting. The count is given to the
    /// first asker only, and not when this router's own ownership is in doubt.
    admission_effects release(const target_id& target, time_point now);

    /// Records another owner's count for a target, as of `measured_at`. Repeat an unchanged
    /// count at least every 2 s: a report loses its weight over the drain time (see pool_load).
    admission_effects pool_report(const target_id& target, std::uint32_t in_flight,
                                  time_point measured_at, time_point now);

    /// Records the target's own count as of `measured_at` by this router's clock.
    admission_effects target_reported_load(const target_id& target, std::uint32_t in_flight,
                                           time_point measured_at, time_point now);

    /// Stops admitting to a target that is about to stop; waiting requests move.
    admission_effects drain(const target_id& target, time_point now);

    /// Asks for a place. A key that waits or runs already is ignored.
    admission_effects submit(const admission_request& request, time_point now);

    /// Gives the place of a started request back; `tokens` is the work done.
    admission_effects finished(const attempt_key& key, std::uint32_t tokens, time_point now);

    /// Takes a waiting request back. A running one keeps its place until `finished`.
    admission_effects cancel(const attempt_key& key, time_point now);

    /// Records that a majority of routers answered a message that this router sent, with its
    /// view, at `sent_at`. Peers must not answer a router that their view holds for dead.
    admission_effects renew_lease(time_point sent_at, time_point now);

    /// Treats every owned target as possibly adopted by another router. Call it when this router
    /// learns that it was declared dead, before it refutes that.
    admission_effects doubt_ownership(time_point now);

    /// Sets whether peers have to confirm this router; false for a fleet of one.
    admission_effects set_peers_needed(bool needed, time_point now);

    /// Sets the number of live routers, this one included.
    void set_routers(std::uint32_t routers) { limiter_.set_routers(routers); }

    /// Records another router's use by an organisation.
    admission_effects remote_usage(const router_id& router, const organisation_id& organisation,
                                   std::uint32_t in_flight, time_point now);

    /// Drops what was reported by a router that is gone.
    void forget_router(const router_id& router) { limiter_.forget_router(router); }

    /// Handles deadlines and the ends of waits.
    admission_effects tick(time_point now);

    /// Returns when `tick` is due.
    std::optional<time_point> next_timer(time_point now) const;

    /// Returns this router's running requests on the target.
    std::uint32_t in_flight(const target_id& target) const;

    /// Returns the requests that wait for the target.
    std::size_t queued(const target_id& target) const;

    /// Returns whether this router owns the target.
    bool owns(const target_id& target) const;

    /// Returns the greatest count that the target may have now, by this router's estimate.
    std::uint32_t cap(const target_id& target, time_point now);

    /// Returns what to gossip; zero counts of organisations are left out.
    admission_summary summary() const;

private:
    struct pool_state {
        double load_bound = 0;
        pool_load load;
        std::uint64_t last_full_total = 0; ///< Estimate when peers last confirmed this router.
        usage_shares usage;                ///< Of the targets owned here.
        std::uint32_t owned = 0;           ///< Number of targets owned here.
        bulkhead calls;                    ///< Of a plain service.
        std::set<target_id> waiting;       ///< Owned targets with waiting requests.
    };

    struct target_state {
        target_document document;
        pool_state* pool = nullptr;
        bool is_owned = false;
        bool can_hand_over = false; ///< Owned, or stopped and not yet handed over.
        std::uint64_t adoption = 0; ///< Number of the last adoption.
        bool is_draining = false;
        bool is_available = true;
        bool is_removed = false; ///< From the configuration; kept until its requests end.
        std::uint32_t in_flight = 0;
        std::vector<organisation_id> over_share; ///< Waiting, and barred from the headroom.
        handover former;
        fair_queue queue;
        duration start_interval{1'000'000}; ///< Smoothed time between starts.
        time_point last_start{};

        /// Returns whether the target is one of those whose mean load bounds it.
        bool counts_in_mean() const { return is_available && !is_draining && !is_removed; }
    };

    struct running_request {
        target_id target;
        organisation_id organisation;
        caller_id caller;
        std::uint32_t work_tokens = 0;
    };

    /// Returns the state of a configured target, or null.
    target_state* find_target(const target_id& id);
    const target_state* find_target(const target_id& id) const;
    /// Applies one target of the configuration.
    template <class Exceptions>
    void apply(const configuration& config, const Exceptions& exceptions,
               const target_document& document, admission_effects& effects);
    /// Puts the target into its pool's mean or takes it out.
    static void update_mean(target_state& target);
    /// Ends this router's ownership of a target.
    void stop_admitting(target_state& target, admission_effects& effects);
    /// Removes targets that are no longer configured.
    void remove_missing(const configuration& config, admission_effects& effects);
    /// Returns the target's limit under the share, before the reserve.
    std::uint32_t limit(target_state& target, admission_share share, time_point now) const;
    /// Returns the part of a limit that a router without peers may use.
    std::uint32_t lone_limit(std::uint32_t full_limit) const;
    /// The places of a target at one moment.
    struct places {
        std::uint32_t limit = 0;
        std::uint32_t free = 0;
        std::uint32_t headroom = 0;
    };

    /// Returns the target's places now.
    places find_places(target_state& target, time_point now);
    /// Returns whether the organisation must not take one of the places.
    bool is_barred(const target_state& target, const organisation_id& organisation, const places& p,
                   time_point now) const;
    /// Lets the barred organisations try again.
    static void unbar(target_state& target);
    /// Returns the organisation's weight.
    std::uint32_t weight_of(const organisation_id& organisation) const;
    /// Records the change of the target's own count.
    static void count_changed(target_state& target, time_point now);
    /// Starts waiting requests of all targets of the pool while places are free.
    void start_waiting(pool_state& pool, time_point now, admission_effects& effects);
    /// Starts waiting requests of one target; returns whether any was started.
    bool start_waiting(target_state& target, time_point now, admission_effects& effects);
    /// Moves the front of the target's queue to the running requests.
    void start(target_state& target, time_point now, admission_effects& effects);
    /// Refuses requests that waited too long.
    void refuse_late(target_state& target, time_point now, admission_effects& effects);
    /// Moves all waiting requests of a target elsewhere.
    void move_waiting(target_state& target, admission_effects& effects);
    /// Lets an organisation that was at its cap leave the queues again.
    void unblock(const organisation_id& organisation, time_point now, admission_effects& effects);
    /// Starts a hand-over of each owned target, as if another router had owned it.
    void begin_handovers(time_point now, admission_effects& effects);
    /// Notices lapses of the lease and their end.
    void update_share(time_point now, admission_effects& effects);
    /// Returns when a request that finds the queue full should come again.
    static duration retry_after(const target_state& target);

    admission_settings settings_;
    hold_lease lease_;
    admission_share share_ = admission_share::none;
    std::uint64_t last_adoption_ = 0;
    bool has_admitted_ = false; ///< Since this router started.
    organisation_limiter limiter_;
    std::map<pool_id, pool_state> pools_;
    std::unordered_map<target_id, target_state> targets_;
    std::set<target_id> owned_;
    std::unordered_map<attempt_key, target_id> waiting_;
    std::unordered_map<attempt_key, running_request> running_;
    std::unordered_map<organisation_id, std::uint32_t> weights_;
    std::map<organisation_id, std::set<target_id>> blocked_; ///< At their cap, where they wait.
    time_point unblock_at_{};
};

} // namespace endivelatch
