#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/base/token_bucket.hpp"
#include "endivelatch/net/http_client.hpp"
#include "endivelatch/platform/object.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

/// The client of the platform's object API; see docs/PROTOCOL-PLATFORM.md.
namespace endivelatch {

/// A VM in the platform's list, which may lag behind the actual state.
struct platform_vm {
    std::string name;
    std::string address;
    bool is_leaving = false;

    friend bool operator==(const platform_vm&, const platform_vm&) = default;
};

/// Addresses, rate limits and timeouts of a client.
struct platform_client_settings {
    std::vector<std::string> base_urls;    ///< Rotated after each failure.
    double read_rate = 20;                 ///< Reads per second, including watches.
    double write_rate = 10;                ///< Writes per second.
    double burst = 20;                     ///< Burst size of each of the two rate limits.
    std::size_t max_queued = 1'024;        ///< Calls queued per rate limit; further calls fail.
    std::size_t max_response = 33'554'432; ///< Maximum response size in bytes.
    duration call_timeout{2'000'000};    ///< Connect and idle timeout; also maximum queueing time.
    duration watch_timeout{20'000'000};  ///< Time after which the platform completes a watch.
    duration watch_grace{3'000'000};     ///< Additional time before a watch counts as silent.
    duration min_retry_delay{100'000};   ///< Backoff after the first failure.
    duration max_retry_delay{5'000'000}; ///< Upper bound of the backoff.
    /// Period without connection reuse after an idle timeout.
    duration fresh_connection_period{60'000'000};
    std::uint64_t seed = 1; ///< Seeds the backoff jitter.
};

/// Callbacks of a client. Any of them may be empty.
struct platform_client_callbacks {
    /// A call completed or failed.
    std::function<void(platform_answer&&)> on_answer;
    /// The list of VMs was read, or reading it failed.
    std::function<void(result<std::vector<platform_vm>>&&)> on_vms;
};

/// Counters of a client since its start.
struct platform_client_counts {
    std::uint64_t reads = 0;          ///< Reads sent, including watches.
    std::uint64_t writes = 0;         ///< Writes sent.
    std::uint64_t failed = 0;         ///< Calls sent that got no usable response.
    std::uint64_t silent_watches = 0; ///< Watches renewed after an idle timeout.
    std::uint64_t refused = 0;        ///< Calls not sent: backoff, full queue or no budget in time.
};

/// Rate-limited HTTP client of the platform's object API. After a failure it backs off: calls fail
/// immediately without being sent, except watches, which are queued. A watch completes when an
/// object has changed and is renewed until then. Other calls are never retried here; the caller
/// decides.
class platform_client {
public:
    platform_client(event_loop& loop, platform_client_settings settings,
                    platform_client_callbacks callbacks);

    /// Starts a call. Its answer is reported exactly once, and not before this returns.
    void submit(platform_call call);

    /// Requests the list of VMs.
    void list_vms();

    /// Cancels a watch; no answer is reported for it.
    void cancel(platform_call_id id);

    /// Returns whether the client is backing off after a failure.
    bool is_backing_off() const { return loop_->now() < backoff_until_; }

    /// Returns the counters.
    const platform_client_counts& counts() const { return counts_; }

private:
    /// The request for the list of VMs.
    struct read_vms {};

    /// Any request to the platform.
    using request = std::variant<read_object, list_objects, write_object, delete_object,
                                 watch_objects, read_vms>;

    /// A request in flight, with the part of the response received so far.
    struct pending_request {
        request req;
        int status = 0;
        std::string body;
    };

    /// A request waiting for its rate limit.
    struct queued_request {
        request req;
        time_point deadline; ///< Ignored for watches.
    };

    static bool is_write(const request& req);
    static bool is_watch(const request& req);

    void enqueue(request req);
    /// Sends queued requests as the rate limits and the backoff allow; fails overdue ones.
    void send_queued();
    void send(request req);
    http_call make_call(const request& req);
    void finish(pending_request it, call_end&& end);
    /// Parses a complete response, normally with status 200, and reports its result.
    void handle_response(const request& req, const std::string& body);
    void handle_objects(const request& req, const std::string& body);
    void handle_vms(const std::string& body);
    /// Starts a backoff; reports the request as failed, or queues it again if it is a watch.
    void fail(request req, bool may_have_taken_effect, std::string reason);
    /// Starts an exponential backoff and switches to the next base URL.
    void start_backoff();
    void report(platform_call_id id, decltype(platform_answer::body) body);
    void report_later(request req, std::string reason);

    event_loop* loop_;
    platform_client_settings settings_;
    platform_client_callbacks callbacks_;
    random_source random_;
    token_bucket read_budget_;
    token_bucket write_budget_;
    std::deque<queued_request> reads_;
    std::deque<queued_request> writes_;
    std::unordered_map<call_id, pending_request> pending_;
    platform_client_counts counts_;
    std::size_t base_url_index_ = 0; ///< Index into `base_urls`.
    unsigned consecutive_failures_ = 0;
    time_point backoff_until_;
    time_point fresh_connections_until_;
    timer queue_timer_;
    http_client client_;
};

} // namespace endivelatch
