#pragma once

#include "endivelatch/admission/admission.hpp"
#include "endivelatch/admission/retry_budget.hpp"
#include "endivelatch/base/counters.hpp"
#include "endivelatch/base/hybrid_clock.hpp"
#include "endivelatch/configuration/administration.hpp"
#include "endivelatch/configuration/configuration_store.hpp"
#include "endivelatch/core/booking_runs.hpp"
#include "endivelatch/core/call.hpp"
#include "endivelatch/core/caller_access.hpp"
#include "endivelatch/core/entry_requests.hpp"
#include "endivelatch/core/exchange_responses.hpp"
#include "endivelatch/core/outbox.hpp"
#include "endivelatch/core/router_settings.hpp"
#include "endivelatch/core/target_runs.hpp"
#include "endivelatch/membership/membership.hpp"
#include "endivelatch/routing/ownership.hpp"
#include "endivelatch/routing/route.hpp"
#include "endivelatch/routing/target_directory.hpp"
#include "endivelatch/routing/warm_hint.hpp"
#include "endivelatch/timeline/time_line_ring.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// The reducer of one router: takes every event, keeps all state, returns effects.
/// It does no I/O and has no clock; equal events at equal moments give equal effects.
class router {
public:
    router(router_settings settings, incarnation run);

    /// Starts the router; must be called once, before any event.
    router_effects start(const moment& at);

    /// Takes one event.
    router_effects reduce(const router_event& e, const moment& at);

    /// Returns the counters of this process.
    counters& metrics() { return counters_; }

    /// Returns how many routers are known, this one included.
    std::size_t known_routers() const { return members_.size(); }

    /// Returns whether the router has a configuration and has joined its peers.
    bool ready() const { return joined_ && store_.ready(); }

private:
    /// What the router knows of a target that it owns.
    struct owned_target {
        time_point next_probe;
        std::uint32_t failed_probes = 0;
    };

    /// A new owner that asked what this router still runs on a target.
    struct handover_asker {
        router_id router;
        std::uint64_t adoption = 0;
    };

    // Events.
    void on(const http_received& e, const moment& at, outbox& out);
    void on(const http_closed& e, const moment& at, outbox& out);
    void on(const http_drained& e, const moment& at, outbox& out);
    void on(const peer_received& e, const moment& at, outbox& out);
    void on(const peer_link_lost& e, const moment& at, outbox& out);
    void on(const gossip_received& e, const moment& at, outbox& out);
    void on(const target_answered& e, const moment& at, outbox& out);
    void on(const target_data_received& e, const moment& at, outbox& out);
    void on(const target_closed& e, const moment& at, outbox& out);
    void on(const target_load_reported& e, const moment& at, outbox& out);
    void on(const target_probe_failed& e, const moment& at, outbox& out);
    void on(const target_cache_changed& e, const moment& at, outbox& out);
    void on(const platform_answered& e, const moment& at, outbox& out);
    void on(const peers_listed& e, const moment& at, outbox& out);
    void on(const timer_expired& e, const moment& at, outbox& out);
    void on(const stop_requested& e, const moment& at, outbox& out);

    // Calls of callers and operators.
    void handle(const http_received& http, const chat_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const service_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const entry_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const resume_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const cancel_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const admin_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const probe_call& call, const moment& at, outbox& out);

    /// Returns the organisation of the request's key; refuses the request when there is none.
    const organisation_document* authenticate(const http_received& http, outbox& out);

    /// Starts a request, or refuses it.
    void run_or_refuse(const http_received& http, std::variant<request_spec, refused_call> found,
                       const moment& at, outbox& out);

    /// Returns whether new requests are taken; refuses the request when they are not.
    bool takes_requests(const http_received& http, const moment& at, outbox& out);

    /// Answers the operator's calls that this router handles itself.
    bool handle_own_admin(const http_received& http, const admin_call& call, const moment& at,
                          outbox& out);

    /// Returns the state of this router and its view of the fleet as JSON.
    std::string status_json(const moment& at);

    // Messages of peers.
    void take(const peer_envelope& from, const forward_request& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const answer_begin& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const answer_event& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const answer_end& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const cancel_request& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const answer_credit& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const resume_request& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const status_query& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const status_answer& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const handover_query& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const handover_answer& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const booking_request& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const config_query& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const config_update& m, const moment& at, outbox& out);
    void take(const peer_envelope& from, const heartbeat& m, const moment& at, outbox& out);

    // Effects of the parts.
    void apply(membership_effects all, const moment& at, outbox& out);
    void apply(const admission_effects& all, const moment& at, outbox& out);
    void apply(const configuration_effects& all, const moment& at, outbox& out);
    void apply(const ownership::changes& all, const moment& at, outbox& out);

    /// Takes a change of a router's status or run.
    void take_member(const member& m, const moment& at, outbox& out);

    /// Takes a fact that a peer published.
    void take_summary(const summary_changed& e, const moment& at, outbox& out);

    /// Takes over the configuration in force.
    void configuration_changed_now(const moment& at, outbox& out);

    /// Begins to own a target whose former owner may still run requests on it.
    void adopt(const target_id& target, const std::optional<router_id>& former, const moment& at,
               outbox& out);

    /// Adds this router to the owners once its peers have had time to answer.
    void join_owners(const moment& at, outbox& out);

    /// Takes over the live routers after a change: peers, shards, seats.
    void routers_changed(const moment& at, outbox& out);

    /// Records that a target's cache will hold the prefix of a request that it runs.
    void note_dispatch(const start_run& e);

    /// Probes owned targets that are due.
    void probe_targets(const moment& at, outbox& out);

    /// Publishes the load of owned targets and the organisations' usage.
    void publish_loads(const moment& at);

    /// Tells admission that the published loads of other owners' targets still hold.
    void repeat_loads(const moment& at, outbox& out);

    /// Adopts targets that this router owns by its view but does not serve.
    void repair_ownership(const moment& at, outbox& out);

    /// Ends the process when a planned stop has nothing left to wait for.
    void finish_stop(const moment& at, outbox& out);

    /// Returns a route for a request.
    std::optional<route> find_route(const request_spec& spec, const std::vector<target_id>& tried,
                                    const moment& at);

    /// Returns the route to a router, or nothing when it is not live.
    std::optional<route> route_to(const target_id& target, const std::optional<router_id>& owner);

    /// Returns the hint for a chat that ran on a target.
    std::string hint_for(const forward_request& request, const moment& at) const;

    /// Passes answers to their sinks and finished runs to admission; returns whether any.
    bool pass_on(const moment& at, outbox& out);

    /// Returns all effects: fills in names, stamps and addresses, handles messages to itself.
    router_effects settle(outbox& out, const moment& at);

    /// Returns when the next timer event is needed.
    time_point next_timer(const moment& at) const;

    router_settings settings_;
    incarnation run_;
    counters counters_;
    hybrid_clock clock_;
    time_line_ring ring_;
    platform_call_id_source platform_calls_;
    hint_codec hints_;
    membership membership_;
    ownership ownership_;
    target_directory directory_;
    admission admission_;
    retry_budget retries_;
    configuration_store store_;
    administration administration_;
    caller_access access_;
    entry_requests entries_;
    exchange_responses answers_;
    target_runs runs_;
    booking_runs bookings_;
    std::map<router_id, member> members_;             ///< Known routers, this one included.
    std::map<target_id, owned_target> owned_;         ///< Targets that this router owns.
    std::map<target_id, handover_asker> handover_to_; ///< New owners that asked.
    std::set<target_id> known_targets_;               ///< Of the last configuration.
    std::set<organisation_id> published_organisations_;
    bool joined_ = false;
    bool stopping_ = false;
    bool stopped_ = false; ///< A planned stop has ended; only the process's exit is left.
    time_point started_at_;
    time_point stop_after_; ///< End of the last entry answer that named this router.
    time_point next_publish_;
    time_point next_repair_;
    time_point next_repeat_;
};

} // namespace endivelatch
