#pragma once

#include "endivelatch/core/router.hpp"
#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/http_server.hpp"
#include "endivelatch/net/peer_transport.hpp"
#include "endivelatch/net/platform_client.hpp"
#include "endivelatch/net/signal_watcher.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/net/udp_socket.hpp"
#include "endivelatch/wire/authenticator.hpp"
#include "router_flags.hpp"
#include "sealed_link_codec.hpp"
#include "target_client.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <spdlog/logger.h>

namespace endivelatch {

/// Runs a router as a process: turns input into events for the reducer and executes the effects
/// that it returns.
class router_process {
public:
    router_process(const router_flags& flags, std::shared_ptr<spdlog::logger> log);

    /// Binds all addresses; returns a finding for each one that could not be bound.
    findings start();

    /// Runs the event loop until the router has stopped.
    void run();

private:
    /// Queues an event and processes the queue unless that is already in progress.
    void dispatch_event(router_event&& event);

    /// Processes all queued events in order.
    void process_events();

    /// Executes effects in order.
    void execute_effects(router_effects&& effects);

    // Execute one effect each.
    void execute(http_respond& effect);
    void execute(http_begin_stream& effect);
    void execute(http_write& effect);
    void execute(http_finish& effect);
    void execute(http_abort& effect);
    void execute(send_peer& effect);
    void execute(send_gossip& effect);
    void execute(call_target& effect);
    void execute(cancel_target_call& effect);
    void execute(pause_target_call& effect);
    void execute(probe_target& effect);
    void execute(call_platform& effect);
    void execute(write_log& effect);
    void execute(set_timer& effect);
    void execute(exit_process& effect);

    // Input handlers; they turn input into events.
    void on_request(http_request&& request);
    void on_frame(const link_peer& peer, std::string_view bytes);
    void on_datagram(const endpoint& from, std::string_view bytes);
    void on_vms(const result<std::vector<platform_vm>>& vms);
    void on_frames_lost(const endpoint& to, const std::string& reason);

    /// Requests the list of VMs from the platform and schedules the next request.
    void list_vms();

    /// Stops the event loop once all responses have been sent, or after a bounded wait.
    void exit_when_idle();

    /// Returns the current time of the monotonic and the wall clock.
    moment now() const;

    /// Returns the codec for a new connection to or from a peer.
    sealed_link_codec make_codec() const;

    router_settings settings_;
    incarnation incarnation_;
    std::shared_ptr<spdlog::logger> log_;
    event_loop loop_;
    router router_;
    authenticator packet_authenticator_;
    http_server server_;
    target_client target_client_;
    peer_transport<sealed_link_codec> peer_transport_;
    udp_socket gossip_socket_;
    platform_client platform_client_;
    timer wake_timer_;
    timer vm_list_timer_;
    timer exit_timer_;
    signal_watcher sigterm_watcher_;
    signal_watcher sigint_watcher_;
    std::deque<router_event> events_;
    std::map<endpoint, router_id> peers_by_link_;
    bool is_processing_ = false;
    int exit_checks_ = 0;
};

} // namespace endivelatch
