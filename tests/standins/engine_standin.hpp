#pragma once

#include "json_server.hpp"
#include "prefix_cache.hpp"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

/// Simulates an inference engine; see docs/PROTOCOL-TARGET.md.
namespace endivelatch::standins {

/// Streams deterministic text that depends on the prompt only.
class engine_standin {
public:
    struct settings {
        endpoint listen;
        duration token_interval{5'000}; ///< Time between tokens.
        duration cold_delay{50'000};    ///< Time to the first token if the prefix is not cached.
        duration warm_delay{5'000};     ///< Time to the first token if the prefix is cached.
        duration load_lag{500'000};     ///< Age of the load that `/load` reports.
        std::uint64_t refuse_above = 0; ///< Maximum requests in flight; 429 beyond; 0 is unlimited.
        bool checks_fencing_numbers = true; ///< Rejects orders with an old fencing number.
        std::uint64_t run = 1;              ///< Incarnation.
        prefix_cache::settings cache;
    };

    engine_standin(event_loop& loop, const settings& given);

    /// Binds the address.
    findings start() { return http_.server.start(); }

    /// Returns the listening address.
    endpoint listening() const { return http_.server.listening().front(); }

    /// Returns the counters and received orders, as `GET /record` does.
    json record() const;

private:
    /// A chat request in progress.
    struct stream {
        std::string prompt;
        std::string full_text;    ///< Text so far, for responses that are not streamed.
        time_point next_token_at; ///< When the next token is sent.
        std::uint64_t next = 1;
        std::uint64_t last = 0;
        bool is_streamed = true;
        bool has_cached_prefix = false;
    };

    void handle(const http_request& request);
    void handle_chat(const http_request& request);
    void handle_order(const http_request& request);
    void handle_kv(const http_request& request);
    /// Sends the next token, or finishes the response after the last one.
    void send_next_token(exchange_id id);
    void finish(exchange_id id, stream& it);
    void control(const json& change);
    /// Records the current number of requests in flight.
    void record_load();
    json load() const;

    event_loop* loop_;
    settings settings_;
    json_server http_;
    prefix_cache cache_;
    std::unordered_map<exchange_id, stream> streams_;
    std::deque<std::pair<time_point, std::size_t>> load_history_;
    std::map<std::string, std::uint64_t> attempts_by_request_; ///< Keyed by `x-request-id`.
    std::map<std::string, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> priorities_;
    json orders_ = json::array();
    std::uint64_t highest_fencing_number_ = 0;
    std::size_t max_in_flight_ = 0;
    bool is_draining_ = false;
    bool is_hanging_ = false;
    bool is_refusing_ = false;
    time_point drained_at_;
    std::int64_t latest_request_after_drain_ms_ = 0;
};

} // namespace endivelatch::standins
