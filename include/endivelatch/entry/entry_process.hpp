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

#include <array>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <spdlog/logger.h>

namespace endivelatch {

/// An entry router: performs all I/O of the traffic router, the copies and the view of the fleet.
template <entry_protocol Protocol>
class entry_process {
public:
    entry_process(event_loop& loop, const entry_settings& settings, std::string settings_path,
                  std::shared_ptr<bounded_sink> sink, std::shared_ptr<spdlog::logger> log);

    /// Binds all addresses and starts. Returns a finding for each address that could not be bound.
    findings start();

    /// Size in bytes up to which a body is sent together with its head. Larger ones are not copied.
    static constexpr std::size_t max_copied_body = 16'384;
    /// Bytes of one read from a target.
    static constexpr std::size_t target_read_size = 16'384;
    /// Sizes of requests at the addresses that are not for callers.
    static constexpr request_limits service_sizes{.head = 8'192, .body = 4'096};
    /// Interval between checks of the settings file and updates of the gauges.
    static constexpr duration housekeeping_interval{1'000'000};
    /// Interval between checks whether a stopping process has finished its requests.
    static constexpr duration stop_check_interval{100'000};
    /// Minimum time that a stopping router serves requests, because callers cache lists of entry
    /// addresses that still contain it.
    static constexpr duration min_stop_time{2'500'000};
    /// A stopping router answers all open requests this long before the platform would kill it, and
    /// exits at the latest `exit_margin` before that.
    static constexpr duration stop_margin{500'000};
    static constexpr duration exit_margin{100'000};
    /// Interval at which a router without peers looks them up in the store, first at its start.
    static constexpr duration peer_lookup_interval{5'000'000};
    /// Timeout of calls that register this router or list the others.
    static constexpr duration call_timeout{1'500'000};
    /// Interval between checks for copy queries that have waited for the maximum time.
    static constexpr duration copy_waiters_interval{200'000};

private:
    // Requests and attempts.
    void on_request(exchange_number id, request_head&& head, std::string&& body);
    void deliver(traffic_event&& event);
    void execute(start_attempt& e);
    void execute(cancel_attempt& e);
    void execute(skip_answer& e);
    void execute(begin_answer& e);
    void execute(send_bytes& e);
    void execute(end_answer& e);
    void execute(abort_answer& e);
    void execute(refuse_request& e);
    void execute(const share_load& e) { fleet_.publish_load(e); }
    void execute(const share_failure& e) { fleet_.publish_failure(e.target); }
    void execute(const share_limit& e) { fleet_.publish_limit(e.target, e.limit); }
    void execute(write_log& e) { write(std::move(e.event)); }
    void on_drained(exchange_number id);
    std::optional<exchange_attempt> find_attempt(outgoing_id id) const;
    std::optional<exchange_attempt> remove_attempt(outgoing_id id);

    // Other interfaces.
    void on_readiness_request(exchange_number id, const request_head& head);
    void on_entry_request(exchange_number id, const request_head& head);
    void on_peer_request(exchange_number id, const request_head& head);
    void on_metrics_request(exchange_number id, const request_head& head);
    bool answer_copy(exchange_number id, const copy_query& query, time_point asked_at);
    void answer_without_copy(exchange_number id, const copy_query& query, time_point asked_at);
    void answer_copy_waiters();
    static http_header confirmation_of(const mirror_client<Protocol>& copy, time_point asked_at);
    mirror_client<Protocol>& mirror_of(object_kind kind);

    // Copies and the fleet.
    void configuration_updated();
    void targets_updated();
    void start_reading_evacuations();
    void evacuations_updated();
    std::vector<object_kind> kinds_read() const;
    void learn_era(store_era era);
    void announce();
    void find_peers();
    void on_pause(duration delay);

    // Lifecycle of the process.
    bool is_ready() const { return router_.is_ready() && !is_stopping_; }
    void on_router_timer();
    void publish_ready();
    void housekeep();
    void reload(std::string_view cause);
    void set_log_level(spdlog::level::level_enum level);
    void stop();
    void check_stop();
    void write(log_event&& event);

    // Limits of memory and connections.
    void set_up_limits();
    void share_memory_of_vm(std::size_t body_limit);
    void report_limits();
    void report_refusals(std::string_view address, const request_server& server);
    traffic_settings settings_for_traffic() const;

    template <class Handler>
    request_server_callbacks request_only_callbacks(Handler handler)
    {
        return {[handler](exchange_number id, request_head&& head, std::string&&) {
                    handler(id, head);
                },
                [](exchange_number) {},
                {}};
    }

    /// Refusals of a server that were logged.
    using refusal_counts = std::array<std::uint64_t, connection_refusals>;

    event_loop* loop_;
    entry_settings settings_;
    settings_file file_;
    std::shared_ptr<bounded_sink> sink_;
    std::shared_ptr<spdlog::logger> log_;
    bool is_flush_posted_ = false;

    memory_budget budget_;
    memory_shares shares_;
    traffic_router router_;
    request_server caller_server_;
    request_server readiness_server_;
    request_server entry_server_;
    request_server peer_server_;
    request_server metrics_server_;
    connection_pool target_pool_;
    call_client call_client_;
    mirror_client<Protocol> configuration_mirror_;
    mirror_client<Protocol> target_mirror_;
    mirror_client<Protocol> evacuation_mirror_; ///< Started only if evacuations are read.
    fleet_view fleet_;

    std::map<exchange_attempt, outgoing_id> requests_by_attempt_;
    std::unordered_map<outgoing_id, exchange_attempt> attempts_by_request_;
    std::unordered_map<exchange_number, outgoing_id>
        paused_requests_; ///< Requests whose answer is not read at present.
    /// A copy query of another router that waits for a newer copy.
    struct copy_waiter {
        copy_query query;
        time_point asked_at{};
        time_point until{};
    };
    bool answer_copy_waiter(exchange_number id, const copy_waiter& waiter);
    std::map<exchange_number, copy_waiter> copy_waiters_;
    std::map<std::string, store_revision>
        unreadable_revisions_; ///< Of the invalid registrations, which were logged.
    bool reads_evacuations_ = false;
    store_era era_;                                                ///< Latest known of the store.
    std::map<std::string_view, refusal_counts> reported_refusals_; ///< By address.
    bool was_ready_ = false;
    bool is_stopping_ = false;
    bool has_ended_requests_ = false; ///< The time to stop is over.
    time_point stop_started_at_{};
    timer router_timer_;
    timer housekeeping_;
    timer stop_timer_;
    timer peer_lookup_timer_;
    timer copy_waiters_timer_;
    timer flush_timer_;
    signal_watcher on_terminate_;
    signal_watcher on_interrupt_;
    signal_watcher on_hang_up_;
    signal_watcher on_more_verbose_;
    signal_watcher on_less_verbose_;
};

} // namespace endivelatch

#include "endivelatch/entry/entry_process_life.hpp"
#include "endivelatch/entry/entry_process_limits.hpp"
#include "endivelatch/entry/entry_process_traffic.hpp"
