#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/traffic_router.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endivelatch {

/// Defect injected into a simulation to verify that the oracle detects it.
enum class injected_defect {
    none,
    stage,     ///< Failed attempts that were sent are reported as not sent.
    statement, ///< Targets report requests as not run that they did run.
    signature, ///< Unsigned answers are accepted as signed.
    identity,  ///< Answers to other requests are accepted.
    ending,    ///< Incomplete answers are reported as complete.
    events,    ///< The first event after a resumption is lost.
    drain,     ///< The router is not informed that targets are leaving.
    evacuate,  ///< The router is not informed of evacuations.
};

/// Simulates callers, targets and time for one traffic router, with an oracle that checks its
/// invariants. Fully determined by the seed.
class traffic_simulation {
public:
    explicit traffic_simulation(std::uint64_t seed, injected_defect defect = injected_defect::none);

    /// Performs random steps, then advances the clock until all requests must have ended.
    void run(int steps);

    /// Returns the violations found by the oracle, as `<rule>: <detail>`.
    const std::vector<std::string>& violations() const { return violations_; }

    /// Returns the number of requests that have ended.
    int ended() const { return ended_; }

private:
    /// State of a request as tracked by the oracle.
    struct observed_request {
        std::string host;
        bool is_idempotent = false;
        std::uint32_t max_attempts = 1;
        int runs = 0;         ///< Targets that ran the request.
        int arrivals = 0;     ///< Targets that the request reached.
        int length = 0;       ///< Number of events in the complete answer.
        std::string received; ///< Body received by the caller.
        bool has_begun = false;
        bool has_ended = false;
        bool reported_not_run = false;
        time_point deadline{};
    };

    /// An attempt in progress at a target.
    struct active_attempt {
        exchange_attempt key;
        target_id target;
        std::string request_id;
        int next_event = 1;
        int last_event = 0;
        bool runs = false;
        bool has_head = false;
    };

    void step();
    void arrive();
    void advance_attempt(std::size_t index);
    void end_attempt(std::size_t index);
    void change_targets();
    void change_evacuations();
    void dispatch(traffic_event&& event);
    void check_time();

    void on(start_attempt& e);
    void on(cancel_attempt& e);
    void on(skip_answer& e);
    void on(begin_answer& e);
    void on(send_bytes& e);
    void on(end_answer& e);
    void on(abort_answer& e);
    void on(refuse_request& e);
    void on(share_load&) {}
    void on(share_failure&) {}
    void on(share_limit&) {}
    void on(write_log&) {}

    void end(exchange_number number, observed_request& it);
    void report_violation(const std::string& rule, const std::string& detail);
    static std::string event_text(int n);
    std::string complete_body(const observed_request& it) const;

    random_source random_;
    random_source evacuation_random_; ///< Apart, so that other changes keep their schedules.
    injected_defect defect_;
    manual_clock clock_;
    traffic_router router_{traffic_settings{}};
    std::map<exchange_number, observed_request> requests_;
    std::vector<active_attempt> attempts_;
    std::vector<registered_target> targets_;
    std::set<target_id> leaving_;
    std::set<domain_id> evacuated_;
    std::deque<time_point> request_times_;
    std::deque<time_point> retry_times_;
    std::vector<std::string> violations_;
    std::uint64_t last_request_ = 0;
    int ended_ = 0;
};

} // namespace endivelatch
