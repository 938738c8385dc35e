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

/// One router as a process: turns input into events and carries out the reducer's effects.
class router_process {
public:
    router_process(const router_flags& flags, std::shared_ptr<spdlog::logger> log);

    /// Binds all addresses; returns what could not be bound.
    findings start();

    /// Runs until the router has stopped.
    void run();

private:
    /// Queues an event; events are handled one after the other.
    void deliver(router_event&& e);

    /// Handles all queued events.
    void handle_events();

    /// Carries out effects in their order.
    void carry_out(router_effects&& all);

    // Effects.
    void act(http_respond& e);
    void act(http_begin_stream& e);
    void act(http_write& e);
    void act(http_finish& e);
    void act(http_abort& e);
    void act(send_peer& e);
    void act(send_gossip& e);
    void act(call_target& e);
    void act(cancel_target_call& e);
    void act(pause_target_call& e);
    void act(probe_target& e);
    void act(call_platform& e);
    void act(write_log& e);
    void act(set_timer& e);
    void act(exit_process& e);

    /// Turns input into events.
    void on_request(http_request&& request);
    void on_frame(const link_peer& peer, std::string_view bytes);
    void on_datagram(const endpoint& from, std::string_view bytes);
    void on_vms(const result<std::vector<platform_vm>>& vms);
    void on_frames_lost(const endpoint& to, const std::string& reason);

    /// Asks the platform for the list of VMs, now and then.
    void list_vms();

    /// Ends the loop once all answers have left, or after a bounded wait.
    void exit_when_idle();

    /// Returns the clocks.
    moment now() const;

    /// Returns the codec of a new connection to or from a peer.
    sealed_link_codec make_codec() const;

    router_settings settings_;
    incarnation run_;
    std::shared_ptr<spdlog::logger> log_;
    event_loop loop_;
    router router_;
    authenticator packet_key_;
    http_server server_;
    target_client targets_;
    peer_transport<sealed_link_codec> links_;
    udp_socket gossip_;
    platform_client platform_;
    timer wake_;
    timer vms_timer_;
    timer exit_timer_;
    signal_watcher on_terminate_;
    signal_watcher on_interrupt_;
    std::deque<router_event> events_;
    std::map<endpoint, router_id> peers_by_link_;
    bool handling_ = false;
    int exit_checks_ = 0;
};

} // namespace endivelatch
