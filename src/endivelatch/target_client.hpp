#pragma once

#include "endivelatch/core/effect.hpp"
#include "endivelatch/net/http_client.hpp"
#include "endivelatch/net/sse_reader.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace endivelatch {

/// HTTP client for targets: executes the router's effects that call or probe a target and reports
/// the responses as events.
class target_client {
public:
    target_client(event_loop& loop, std::function<void(router_event&&)> on_event);

    /// Starts a call to a target.
    void start(const call_target& effect);

    /// Cancels a call; reports no further events for it.
    void cancel(const attempt_key& key);

    /// Pauses or resumes reading the response of a call.
    void pause(const attempt_key& key, bool paused);

    /// Requests the load of a target and, if it has a cache, its cache events.
    void probe(const probe_target& effect);

private:
    enum class probe_kind { load, cache };

    struct attempt_call {
        attempt_key key;
        std::optional<sse_reader> events; ///< Set while the response is split into events.
        std::string content_type;
    };

    struct probe_call {
        probe_kind kind = probe_kind::load;
        target_id target;
        std::string body;
        int status = 0;
    };

    struct probe_state {
        bool load_pending = false;  ///< A load probe waits for its response.
        bool cache_pending = false; ///< A cache probe waits for its response.
        std::uint64_t last_cache_event = 0;
        incarnation cache_incarnation; ///< Incarnation of the target that numbered the events.
    };

    void on_head(call_id id, int status, const http_headers& headers);
    void on_data(call_id id, std::string_view data);
    void on_done(call_id id, call_end&& end);

    /// Reports the events that were received completely.
    void report_stream_events(attempt_call& call);

    /// Records the end of a probe and reports its result.
    void finish_probe(const probe_call& call, bool failed);
    void report_load(const probe_call& call);
    void report_cache_changes(const probe_call& call);

    std::function<void(router_event&&)> on_event_;
    http_client client_;
    std::unordered_map<call_id, attempt_call> attempt_calls_;
    std::map<attempt_key, call_id> call_ids_;
    std::unordered_map<call_id, probe_call> probes_;
    std::unordered_map<target_id, probe_state> probe_states_;
};

} // namespace endivelatch
