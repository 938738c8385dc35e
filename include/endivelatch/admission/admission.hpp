#pragma once

#include "endivelatch/admission/bulkhead.hpp"
#include "endivelatch/admission/fair_queue.hpp"
#include "endivelatch/admission/handover.hpp"
#include "endivelatch/admission/load_bound.hpp"
#include "endivelatch/admission/organisation_limiter.hpp"
#include "endivelatch/admission/ownership_lease.hpp"
#include "endivelatch/admission/surge_detector.hpp"
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

/// One attempt that asks for a slot on a target.
struct admission_request {
    attempt_key key;
    target_id target;
    organisation_id organisation;
    caller_id caller;
    std::int32_t priority = 0;     ///< Higher runs first within its organisation.
    std::uint32_t work_tokens = 1; ///< Estimated work.
    time_point start_by{};         ///< Refused unless it starts by then.
};

/// Reasons for a refusal. A refused request has not been run, not even in part.
enum class refusal {
    deadline,   ///< No slot became free before the deadline.
    queue_full, ///< The target's queue is full.
    cancelled,  ///< The caller cancelled it while it was queued.
};

/// Returns the reason's name in answers and logs, such as `queue_full`.
std::string_view to_string(refusal r);

/// Send the request to the target now. It occupies a slot until `finished` is called.
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

/// This router does not own the target, or no longer does: route the request again.
struct move_request {
    attempt_key key;
    target_id target;
};

/// Answer the new owner's hand-over query: this router no longer admits requests to the target.
struct released {
    target_id target;
    std::uint32_t in_flight = 0; ///< Upper bound; `unknown_in_flight` if unknown.
};

/// Another router may have owned the target while this one had no contact with its peers: query
/// the routers that claim it. Admission resumes on an answer, or once the target's load reports
/// show how many requests it holds.
struct ownership_doubtful {
    target_id target;
};

/// An action that the caller of `admission` has to carry out.
using admission_effect =
    std::variant<start_run, refuse, move_request, released, ownership_doubtful>;
using admission_effects = std::vector<admission_effect>;

/// The load of one target as gossiped by its owner.
struct target_load {
    target_id target;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
};

/// The admission state that a router gossips.
struct admission_summary {
    std::vector<target_load> targets; ///< Owned targets.
    std::vector<organisation_usage> organisations;
};

/// Settings of admission that are not part of the fleet's configuration.
struct admission_settings {
    lease_settings lease;
    handover_settings handover;
    duration report_delay = organisation_limiter::default_report_delay;
    duration report_decay_time = pool_load::default_decay_time;
    double bound_margin = 0;     ///< Subtracted from the configured load bound.
    double isolated_share = 0.5; ///< Share of the cap that a router without contact to peers uses.
    /// Share of a target's slots that surging organisations must leave free. Where the load bound
    /// limits the target, the headroom is at most half of the gap between the bound and the mean
    /// load; with a larger one the mean could not rise.
    double headroom = 0.25;
};

/// Admission control for all targets that one router owns: load bound, hand-over of ownership,
/// self-fencing, fair queues, organisation caps and the limit on calls to plain services.
///
/// Each request is answered by exactly one of start_run, refuse and move_request. The class reads
/// no clock: every call takes the current time, and the caller calls `tick` at `next_timer`.
class admission {
public:
    explicit admission(admission_settings settings = {});

    /// Applies a configuration. Requests queued for removed targets get a move_request.
    admission_effects configure(const configuration& config, time_point now);

    /// Sets whether the target counts towards its pool's mean load; false when it does not answer
    /// probes or its owner is unreachable.
    admission_effects set_available(const target_id& target, bool available, time_point now);

    /// Makes this router the owner of a target. If the current view has a former owner, query it
    /// with the number that `adoption` returns after this call.
    admission_effects adopt(const target_id& target, const former_owner_info& former,
                            time_point now);

    /// Returns the number of the target's last adoption; answers to earlier ones are stale.
    std::uint64_t adoption(const target_id& target) const;

    /// Records the former owner's answer to a hand-over query; ignored if the adoption is stale.
    admission_effects handover_answered(const target_id& target, std::uint64_t adoption,
                                        std::uint32_t in_flight, time_point now);

    /// Stops admitting to a target that another router owns in the current view.
    admission_effects stop_owning(const target_id& target, time_point now);

    /// Stops admitting and answers a new owner's query with `released`. Only the first query gets
    /// the count, and none does while this router's own ownership is uncertain.
    admission_effects release(const target_id& target, time_point now);

    /// Records another owner's count for a target, as of `measured_at`. Repeat an unchanged
    /// count at least every 2 s, since a report's weight decays (see pool_load).
    admission_effects pool_report(const target_id& target, std::uint32_t in_flight,
                                  time_point measured_at, time_point now);

    /// Records the count reported by the target itself, as of `measured_at` on this router's clock.
    admission_effects target_reported_load(const target_id& target, std::uint32_t in_flight,
                                           time_point measured_at, time_point now);

    /// Stops admitting to a target that shuts down; its queued requests get a move_request.
    admission_effects drain(const target_id& target, time_point now);

    /// Requests a slot. Ignored if the key is already queued or running.
    admission_effects submit(const admission_request& request, time_point now);

    /// Releases the slot of a started request; `tokens` is the work it took.
    admission_effects finished(const attempt_key& key, std::uint32_t tokens, time_point now);

    /// Cancels a queued request. A running one keeps its slot until `finished`.
    admission_effects cancel(const attempt_key& key, time_point now);

    /// Renews the lease: a majority of routers confirmed a message with this router's view, sent
    /// at `sent_at`. Peers must not confirm a router that is dead in their view.
    admission_effects renew_lease(time_point sent_at, time_point now);

    /// Treats every owned target as possibly adopted by another router. Call this when the router
    /// learns that it was declared dead, before it refutes the declaration.
    admission_effects doubt_ownership(time_point now);

    /// Sets whether the lease needs confirmation by peers; false in a fleet of one router.
    admission_effects set_peers_needed(bool needed, time_point now);

    /// Sets the number of live routers, this one included.
    void set_routers(std::uint32_t routers) { limiter_.set_routers(routers); }

    /// Records an organisation's requests in flight on another router.
    admission_effects remote_usage(const router_id& router, const organisation_id& organisation,
                                   std::uint32_t in_flight, time_point now);

    /// Drops the counts reported by a router that has left.
    void forget_router(const router_id& router) { limiter_.forget_router(router); }

    /// Handles expired deadlines and starts queued requests that may start by now.
    admission_effects tick(time_point now);

    /// Returns when `tick` is due.
    std::optional<time_point> next_timer(time_point now) const;

    /// Returns the number of requests that this router runs on the target.
    std::uint32_t in_flight(const target_id& target) const;

    /// Returns the number of requests queued for the target.
    std::size_t queued(const target_id& target) const;

    /// Returns whether this router owns the target.
    bool owns(const target_id& target) const;

    /// Returns this router's estimate of the most requests that the target may hold now.
    std::uint32_t cap(const target_id& target, time_point now);

    /// Returns the state to gossip; organisations without requests are omitted.
    admission_summary summary() const;

private:
    struct pool_state {
        double load_bound = 0;
        pool_load load;
        std::uint64_t last_confirmed_total = 0; ///< Estimate at the last full share.
        surge_detector surges;                  ///< On the targets owned here.
        std::uint32_t owned = 0;                ///< Number of targets owned here.
        bulkhead calls;                         ///< Limits calls to a plain service.
        std::set<target_id> waiting;            ///< Owned targets with queued requests.
    };

    struct target_state {
        target_document document;
        pool_state* pool = nullptr;
        bool is_owned = false;
        bool can_hand_over = false; ///< Owned, or given up but not yet handed over.
        std::uint64_t adoption = 0; ///< Number of the last adoption.
        bool is_draining = false;
        bool is_available = true;
        bool is_removed = false; ///< From the configuration; kept until its requests end.
        std::uint32_t in_flight = 0;
        std::vector<organisation_id> throttled; ///< Queued, but barred from the headroom.
        handover incoming_handover;
        fair_queue queue;
        duration start_interval{1'000'000}; ///< Moving average of the time between starts.
        time_point last_start{};

        /// Returns whether the target counts towards its pool's mean load.
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
    /// Adds the target to its pool's mean load or removes it, by its state.
    static void update_mean(target_state& target);
    /// Ends this router's ownership of a target and moves its queued requests.
    void stop_admitting(target_state& target, admission_effects& effects);
    /// Removes targets that are no longer configured.
    void remove_missing(const configuration& config, admission_effects& effects);
    /// Returns the target's limit, before the isolated share and the reserve are applied.
    std::uint32_t limit(target_state& target, admission_share share, time_point now) const;
    /// Returns the part of a limit that an isolated router may use.
    std::uint32_t isolated_limit(std::uint32_t full_limit) const;
    /// The slots of a target at one point in time.
    struct slot_counts {
        std::uint32_t limit = 0;
        std::uint32_t free = 0;
        std::uint32_t headroom = 0;
    };

    /// Returns the target's slots now; all zero if this router may not admit to it.
    slot_counts count_slots(target_state& target, time_point now);
    /// Returns whether the organisation is surging and only the headroom is free.
    bool is_throttled(const target_state& target, const organisation_id& organisation,
                      const slot_counts& slots, time_point now) const;
    /// Lifts the throttling of all organisations on the target.
    static void unthrottle(target_state& target);
    /// Returns the organisation's weight.
    std::uint32_t weight_of(const organisation_id& organisation) const;
    /// Propagates a change of the number of requests that this router runs on the target.
    static void count_changed(target_state& target, time_point now);
    /// Starts queued requests of all targets of the pool while slots are free.
    void start_waiting(pool_state& pool, time_point now, admission_effects& effects);
    /// Starts queued requests of one target; returns whether any was started.
    bool start_waiting(target_state& target, time_point now, admission_effects& effects);
    /// Moves the front of the target's queue to the running requests.
    void start(target_state& target, time_point now, admission_effects& effects);
    /// Refuses queued requests whose deadline has passed.
    void refuse_expired(target_state& target, time_point now, admission_effects& effects);
    /// Emits a move_request for each request queued for the target.
    void move_waiting(target_state& target, admission_effects& effects);
    /// Unblocks an organisation that was at its cap and starts its requests.
    void unblock(const organisation_id& organisation, time_point now, admission_effects& effects);
    /// Starts a hand-over for each owned target, as if another router had owned it meanwhile.
    void begin_handovers(time_point now, admission_effects& effects);
    /// Updates the share from the lease, and the hand-overs of owned targets when it changes.
    void update_share(time_point now, admission_effects& effects);
    /// Returns the delay after which a refused request should be retried.
    static duration retry_after(const target_state& target);

    admission_settings settings_;
    ownership_lease lease_;
    admission_share share_ = admission_share::none;
    std::uint64_t last_adoption_ = 0;
    bool has_admitted_ = false; ///< At least once since this router started.
    organisation_limiter limiter_;
    std::map<pool_id, pool_state> pools_;
    std::unordered_map<target_id, target_state> targets_;
    std::set<target_id> owned_;
    std::unordered_map<attempt_key, target_id> waiting_;
    std::unordered_map<attempt_key, running_request> running_;
    std::unordered_map<organisation_id, std::uint32_t> weights_;
    /// Organisations at their cap, with the targets at which they are queued.
    std::map<organisation_id, std::set<target_id>> blocked_;
    time_point unblock_at_{};
};

} // namespace endivelatch
