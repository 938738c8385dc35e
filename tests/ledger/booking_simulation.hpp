#pragma once

#include "endivelatch/ledger/ledger.hpp"
#include "ledger/event_queue.hpp"
#include "ledger/fake_platform.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivelatch {

/// One step of a random schedule. The meaning of `a` and `b` depends on the kind.
struct simulation_step {
    enum class kinds {
        book,
        advance,
        pause,
        restart,
        disown,
        outage,
        losses,
        refusals,
        clear_faults
    };
    kinds kind = kinds::advance;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

/// Counts of events and violations in a schedule.
struct booking_report {
    std::uint64_t bookings = 0;
    std::uint64_t runs = 0;
    std::uint64_t faults = 0;
    std::uint64_t complete = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t deleted = 0;       ///< Expired objects deleted.
    std::uint64_t doubled = 0;       ///< Runs of a key after its first one.
    std::uint64_t false_not_run = 0; ///< not_run for a request or key that ran.
    std::uint64_t wrong_answers = 0; ///< Repeated, or complete without the result of the key's run.
    std::uint64_t unanswered = 0;    ///< Requests to a router that still runs.
    std::uint64_t overdue = 0;       ///< Routers with a timer that stays in the past.
    std::uint64_t stuck = 0;         ///< Keys without a run that do not run after the faults end.

    std::uint64_t violations() const
    {
        return doubled + false_not_run + wrong_answers + unanswered + overdue + stuck;
    }
};

/// Settings that tests change, e.g. to check that violations are detected.
struct simulation_settings {
    ledger_settings ledger;
    bool ignore_versions = false;
    duration max_clock_error{}; ///< Maximum error of a router's wall clock.
};

/// Simulates the ledgers of several routers over one fake platform, with a booking service that
/// counts its runs.
class booking_simulation {
public:
    static constexpr std::size_t router_count = 3;
    static constexpr std::size_t key_count = 8;

    booking_simulation(std::uint64_t seed, const simulation_settings& settings);

    /// Applies one step of a schedule.
    void apply(const simulation_step& step);

    /// Ends all faults, waits, retries each key once and returns the counts.
    booking_report finish();

private:
    struct router {
        std::unique_ptr<platform_call_id_source> calls;
        std::unique_ptr<ledger> reducer;
        std::uint64_t run = 0;
        time_point paused_until{};
        time_point next_tick = time_point::max();
        std::uint32_t refusals = 0; ///< Number of runs still to refuse.
    };
    struct request_state {
        std::string key;
        std::size_t router = 0;
        std::uint64_t router_run = 0;
        std::optional<outcome> answer;
        bool ran = false;
        bool key_had_run = false; ///< At the time of the request.
    };
    struct key_state {
        std::uint32_t runs = 0;
        std::string result;
        bool may_be_started = false; ///< After a restart or an unknown answer.
        bool expired = false;
    };

    using handler = std::function<ledger_effects(ledger&, time_point)>;

    void start(std::size_t n);
    void deliver(std::size_t n, std::uint64_t run, time_point when, const handler& action);
    void carry_out(std::size_t n, const ledger_effects& effects, time_point now);
    void dispatch(std::size_t n, const start_booking& run, time_point now);
    void handle_answer(const booking_answer& answer);
    void check_complete(const booking_answer& answer, const std::string& key);
    void book(std::size_t n, const std::string& key);
    void schedule_tick(std::size_t n);
    void recover();

    random_source random_;
    simulation_settings settings_;
    event_queue events_;
    fake_platform platform_;
    std::array<router, router_count> routers_;
    std::map<request_id, request_state> requests_;
    std::map<std::string, key_state> keys_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_run_ = 0;
    booking_report report_;
};

/// Returns a random schedule of the given length.
std::vector<simulation_step> random_schedule(std::uint64_t seed, std::size_t steps);

/// Runs a schedule and returns the counts.
booking_report run_schedule(std::uint64_t seed, const simulation_settings& settings,
                            const std::vector<simulation_step>& steps);

} // namespace endivelatch
