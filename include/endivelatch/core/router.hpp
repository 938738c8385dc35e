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
#include "endivelatch/timeline/timeline_buffer.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// The state machine of a router: handles events and returns the effects to perform. It does no
/// I/O and reads no clock, so the same events at the same moments produce the same effects.
class router {
public:
    router(router_settings settings, incarnation run);

    /// Starts the router. Must be called once, before any event is handled.
    router_effects start(const moment& at);

    /// Handles one event.
    router_effects reduce(const router_event& e, const moment& at);

    /// Returns the counters of this process.
    counters& metrics() { return counters_; }

    /// Returns the number of known routers, including this one.
    std::size_t known_routers() const { return members_.size(); }

    /// Returns whether the router has a configuration and has joined the fleet.
    bool ready() const { return joined_ && store_.ready(); }

private:
    /// Probe state of a target that this router owns.
    struct owned_target {
        time_point next_probe;
        std::uint32_t failed_probes = 0;
    };

    /// A new owner that is waiting for the number of runs left on a target.
    struct pending_handover {
        router_id router;
        std::uint64_t adoption = 0;
    };

    // Input events.
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

    // Requests from callers and operators.
    void handle(const http_received& http, const chat_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const service_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const entry_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const resume_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const cancel_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const admin_call& call, const moment& at, outbox& out);
    void handle(const http_received& http, const probe_call& call, const moment& at, outbox& out);

    /// Returns the organisation that the request's key belongs to. If there is none, rejects the
    /// request and returns null.
    const organisation_document* authenticate(const http_received& http, outbox& out);

    /// Starts the request, or sends its rejection.
    void start_or_refuse(const http_received& http, std::variant<request_spec, refused_call> result,
                         const moment& at, outbox& out);

    /// Returns whether the router accepts new requests. If not, rejects the given request.
    bool accepts_requests(const http_received& http, const moment& at, outbox& out);

    /// Handles administration calls that concern this router only. Returns false for other calls.
    bool handle_local_admin(const http_received& http, const admin_call& call, const moment& at,
                            outbox& out);

    /// Returns the state of this router and its view of the fleet, as JSON.
    std::string status_json(const moment& at);

    // Messages from peers.
    void receive(const peer_envelope& from, const forward_request& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const answer_begin& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const answer_event& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const answer_end& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const cancel_request& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const answer_credit& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const resume_request& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const status_query& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const status_answer& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const handover_query& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const handover_answer& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const booking_request& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const config_query& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const config_update& message, const moment& at,
                 outbox& out);
    void receive(const peer_envelope& from, const heartbeat& message, const moment& at,
                 outbox& out);

    // Effects returned by the components.
    void apply(membership_effects effects, const moment& at, outbox& out);
    void apply(const admission_effects& effects, const moment& at, outbox& out);
    void apply(const configuration_effects& effects, const moment& at, outbox& out);
    void apply(const ownership::changes& ownership_changes, const moment& at, outbox& out);

    /// Handles a change of a router's status or incarnation.
    void on_member_changed(const member& state, const moment& at, outbox& out);

    /// Handles a summary value published by a peer.
    void on_summary_changed(const summary_changed& e, const moment& at, outbox& out);

    /// Passes the active configuration to all components.
    void apply_configuration(const moment& at, outbox& out);

    /// Takes ownership of a target on which its former owner may still be running requests.
    void take_ownership(const target_id& target, const std::optional<router_id>& former,
                        const moment& at, outbox& out);

    /// Adds this router to the target owners once its peers have had time to respond.
    void join_owners(const moment& at, outbox& out);

    /// Updates everything that depends on the set of live routers: peers, ledger shards, watchers.
    void routers_changed(const moment& at, outbox& out);

    /// Records that the target's cache will contain the prefix of a dispatched request.
    void record_dispatch(const start_run& e);

    /// Sends the load probes that are due.
    void probe_targets(const moment& at, outbox& out);

    /// Publishes the load of owned targets and the usage of organisations.
    void publish_loads(const moment& at);

    /// Repeats the last published loads of other owners' targets to admission, which discounts
    /// older reports.
    void refresh_remote_loads(const moment& at, outbox& out);

    /// Takes ownership of targets that are assigned to this router but unknown to admission.
    void reconcile_ownership(const moment& at, outbox& out);

    /// Exits the process once a planned stop has nothing left to wait for.
    void finish_stop(const moment& at, outbox& out);

    /// Returns a route for a request that avoids the targets already tried, if there is one.
    std::optional<route> find_route(const request_spec& spec, const std::vector<target_id>& tried,
                                    const moment& at);

    /// Returns the route to an owner, or nothing if it is unknown or dead.
    std::optional<route> route_to(const target_id& target, const std::optional<router_id>& owner);

    /// Returns the warm hint for a chat that runs on a target, or an empty string.
    std::string hint_for(const forward_request& request, const moment& at) const;

    /// Delivers outputs to their sinks and finished runs to admission; returns whether any existed.
    bool deliver_outputs(const moment& at, outbox& out);

    /// Processes the outbox until it is empty and returns the effects for the process. Fills in
    /// names, stamps and addresses, and handles messages that the router sends to itself.
    router_effects process_outbox(outbox& out, const moment& at);

    /// Returns the time of the next timer event.
    time_point next_timer(const moment& at) const;

    router_settings settings_;
    incarnation run_;
    counters counters_;
    hybrid_clock clock_;
    timeline_buffer time_line_;
    platform_call_id_source platform_calls_;
    hint_codec hints_;
    membership membership_;
    ownership ownership_;
    target_directory directory_;
    admission admission_;
    retry_budget retry_budget_;
    configuration_store store_;
    administration administration_;
    caller_access access_;
    entry_requests entry_requests_;
    exchange_responses responses_;
    target_runs runs_;
    booking_runs bookings_;
    std::map<router_id, member> members_;     ///< Known routers, including this one.
    std::map<target_id, owned_target> owned_; ///< Targets that this router owns.
    std::map<target_id, pending_handover> pending_handovers_;
    std::set<target_id> known_targets_; ///< Targets of the active configuration.
    std::set<organisation_id> published_organisations_;
    bool joined_ = false;
    bool stopping_ = false;
    bool stopped_ = false; ///< A planned stop has finished; the process is about to exit.
    time_point started_at_;
    /// Earliest exit of a planned stop: every entry response that lists this router has expired.
    time_point stop_after_;
    time_point next_publish_;
    time_point next_reconcile_;
    time_point next_load_refresh_;
};

} // namespace endivelatch
