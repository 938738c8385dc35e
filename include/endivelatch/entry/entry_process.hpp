#pragma once

#include "endivelatch/base/counters.hpp"
#include "endivelatch/entry/bounded_sink.hpp"
#include "endivelatch/entry/call_client.hpp"
#include "endivelatch/entry/fleet_view.hpp"
#include "endivelatch/entry/log_level.hpp"
#include "endivelatch/entry/mirror_client.hpp"
#include "endivelatch/entry/request_server.hpp"
#include "endivelatch/entry/settings_file.hpp"
#include "endivelatch/net/signal_watcher.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <spdlog/logger.h>

namespace endivelatch {

/// One entry router: does all I/O for the traffic router, the copies and the view of the fleet.
template <entry_protocol Protocol>
class entry_process {
public:
    entry_process(event_loop& loop, const entry_settings& settings, std::string settings_path,
                  std::shared_ptr<bounded_sink> sink, std::shared_ptr<spdlog::logger> log);

    /// Binds all addresses; returns a finding for each that failed.
    findings start();

    /// Unsent bytes of an answer above which its target is read no further.
    static constexpr std::size_t most_unsent_bytes = 262'144;
    /// Time between two looks at the settings file and two updates of the gauges.
    static constexpr duration housekeeping_interval{1'000'000};
    /// Time between two looks whether a stopping process has finished its requests.
    static constexpr duration stop_interval{100'000};
    /// A stopping router serves at least this long: callers keep lists of entry addresses for a
    /// while after it has left them.
    static constexpr duration shortest_stop{2'500'000};
    /// A stopping router exits this long before the platform would kill it.
    static constexpr duration stop_reserve{500'000};
    /// Time after its start when a router without peers looks for them in the store.
    static constexpr duration lonely_delay{1'000'000};
    /// Longest wait for calls that announce this router or find others.
    static constexpr duration call_timeout{1'500'000};
    /// Time between two looks for routers that have waited long enough for a newer copy.
    static constexpr duration waiters_interval{200'000};

private:
    // Requests and attempts.
    void on_request(exchange_number id, request_head&& head, std::string&& body);
    void deliver(traffic_event&& event);
    void act(start_attempt& e);
    void act(cancel_attempt& e);
    void act(skip_answer& e);
    void act(begin_answer& e);
    void act(send_bytes& e);
    void act(end_answer& e);
    void act(abort_answer& e);
    void act(refuse_request& e);
    void act(const share_load& e) { fleet_.share(e.target, e.in_flight); }
    void act(write_log& e) { write(std::move(e.event)); }
    void on_drained(exchange_number id);
    std::optional<exchange_attempt> key_of(outgoing_id id) const;
    std::optional<exchange_attempt> forget(outgoing_id id);

    // Other interfaces.
    void on_readiness_request(exchange_number id, const request_head& head);
    void on_entry_request(exchange_number id, const request_head& head);
    void on_peer_request(exchange_number id, const request_head& head);
    void on_metrics_request(exchange_number id, const request_head& head);
    bool answer_copy(exchange_number id, const copy_query& query);
    void answer_copy_waiters();
    mirror_client<Protocol>& copy_of(object_kind kind);

    // Copies and the fleet.
    void configuration_updated();
    void targets_updated();
    void announce();
    void find_peers();
    void on_pause(duration late);

    // Life of the process.
    bool is_ready() const { return router_.is_ready() && !is_stopping_; }
    void publish_ready();
    void housekeep();
    void reload(std::string_view cause);
    void set_log_level(spdlog::level::level_enum level);
    void stop();
    void check_stop();
    void write(log_event&& event);
    traffic_settings settings_for_traffic() const;

    template <class Handler>
    request_server_callbacks simple_callbacks(Handler handler)
    {
        return {[handler](exchange_number id, request_head&& head, std::string&&) {
                    handler(id, head);
                },
                [](exchange_number) {},
                {}};
    }

    event_loop* loop_;
    entry_settings settings_;
    settings_file file_;
    std::shared_ptr<bounded_sink> sink_;
    std::shared_ptr<spdlog::logger> log_;
    bool is_flush_posted_ = false;

    traffic_router router_;
    request_server requests_;
    request_server readiness_;
    request_server entries_;
    request_server peers_;
    request_server metrics_;
    connection_pool targets_;
    call_client calls_;
    mirror_client<Protocol> configuration_;
    mirror_client<Protocol> registrations_;
    fleet_view fleet_;

    std::map<exchange_attempt, outgoing_id> outgoing_;
    std::unordered_map<outgoing_id, exchange_attempt> attempts_;
    std::unordered_map<exchange_number, outgoing_id> paused_; ///< Attempts not read any further.
    /// Another router that waits for a newer copy.
    struct copy_waiter {
        copy_query query;
        time_point until{};
    };
    std::map<exchange_number, copy_waiter> copy_waiters_;
    std::map<std::string, store_revision> unreadable_; ///< Registrations already reported.
    bool was_ready_ = false;
    bool is_stopping_ = false;
    time_point stop_began_{};
    timer wake_;
    timer housekeeping_;
    timer stop_timer_;
    timer lonely_timer_;
    timer waiters_timer_;
    timer flush_timer_;
    signal_watcher on_terminate_;
    signal_watcher on_interrupt_;
    signal_watcher on_hang_up_;
    signal_watcher on_log_more_;
    signal_watcher on_log_less_;
};

} // namespace endivelatch

#include "endivelatch/entry/entry_process_life.hpp"
#include "endivelatch/entry/entry_process_traffic.hpp"
