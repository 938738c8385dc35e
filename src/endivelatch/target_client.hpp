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

/// Carries out the router's effects towards targets and reports what they answer as events.
class target_client {
public:
    target_client(event_loop& loop, std::function<void(router_event&&)> on_event);

    /// Starts a call.
    void start(const call_target& effect);

    /// Ends a call; nothing more is reported for it.
    void cancel(const attempt_key& key);

    /// Stops or continues reading the answer of a call.
    void pause(const attempt_key& key, bool paused);

    /// Asks a target for its load, and an engine for its cache events.
    void probe(const probe_target& effect);

private:
    enum class probe_kind { load, cache };

    struct run_call {
        attempt_key key;
        std::optional<sse_reader> events; ///< Set for answers that are split into events.
        std::string content_type;
    };

    struct probe_call {
        probe_kind kind = probe_kind::load;
        target_id target;
        std::string body;
        int status = 0;
    };

    struct probe_state {
        bool load_waits = false;  ///< A load probe has not been answered.
        bool cache_waits = false; ///< A read of cache events has not been answered.
        std::uint64_t last_cache_event = 0;
        incarnation cache_run; ///< Run of the target that numbered the events.
    };

    void on_head(call_id id, int status, const http_headers& headers);
    void on_data(call_id id, std::string_view data);
    void on_done(call_id id, call_end&& end);

    /// Reports the whole events received so far.
    void report_events(run_call& call);

    /// Reports the result of a probe.
    void end_probe(const probe_call& call, bool failed);
    void report_load(const probe_call& call);
    void report_cache(const probe_call& call);

    std::function<void(router_event&&)> on_event_;
    http_client client_;
    std::unordered_map<call_id, run_call> runs_;
    std::map<attempt_key, call_id> run_ids_;
    std::unordered_map<call_id, probe_call> probes_;
    std::unordered_map<target_id, probe_state> probe_states_;
};

} // namespace endivelatch
