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

/// What a variant of the world leaves out, so that the oracle is seen to notice.
enum class missing_protection {
    none,
    stage,     ///< Attempts that were sent are reported as not sent.
    statement, ///< Targets state that they did not run what they ran.
    signature, ///< Unsigned answers are taken as signed.
    identity,  ///< Answers to other requests are taken as the right ones.
    ending,    ///< Answers that broke off are taken as whole.
    events,    ///< The first event after a resumption is lost.
    drain,     ///< Leaving targets are not told to the router.
};

/// Callers, targets and time around one traffic router, with an oracle of what must hold.
/// Everything follows from the seed.
class traffic_world {
public:
    explicit traffic_world(std::uint64_t seed,
                           missing_protection missing = missing_protection::none);

    /// Takes random steps, then lets all requests end.
    void run(int steps);

    /// Returns what the oracle found wrong.
    const std::vector<std::string>& faults() const { return faults_; }

    /// Returns how many requests have ended.
    int ended() const { return ended_; }

private:
    /// A request as the oracle sees it.
    struct seen_request {
        std::string host;
        bool is_idempotent = false;
        std::uint32_t max_attempts = 1;
        int runs = 0;         ///< Targets that ran it.
        int arrivals = 0;     ///< Targets that it reached.
        int length = 0;       ///< Events of the whole answer.
        std::string received; ///< Body as the caller got it.
        bool has_begun = false;
        bool has_ended = false;
        bool said_not_run = false;
        time_point must_end_by{};
    };

    /// An attempt under way at a target.
    struct open_attempt {
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
    void give(traffic_event&& event);
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
    void on(write_log&) {}

    void end(exchange_number number, seen_request& it);
    void fault(const std::string& rule, const std::string& detail);
    static std::string event_text(int n);
    std::string whole_body(const seen_request& it) const;

    random_source random_;
    missing_protection missing_;
    manual_clock clock_;
    traffic_router router_{traffic_settings{}};
    std::map<exchange_number, seen_request> requests_;
    std::vector<open_attempt> attempts_;
    std::vector<registered_target> targets_;
    std::set<target_id> leaving_;
    std::deque<time_point> request_times_;
    std::deque<time_point> retry_times_;
    std::vector<std::string> faults_;
    std::uint64_t last_request_ = 0;
    int ended_ = 0;
};

} // namespace endivelatch
