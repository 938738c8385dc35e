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

/// One step of a fuzzed schedule; `a` and `b` mean what the kind says.
struct simulation_step {
    enum class kinds { book, advance, pause, restart, disown, outage, losses, refusals, calm };
    kinds kind = kinds::advance;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

/// What the checker saw over a schedule.
struct booking_report {
    std::uint64_t bookings = 0;
    std::uint64_t runs = 0;
    std::uint64_t faults = 0;
    std::uint64_t complete = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t deleted = 0; ///< Expired objects.
    std::uint64_t doubled = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t wrong_answers = 0; ///< Complete without a run, or with another run's answer.
    std::uint64_t unanswered = 0;    ///< By a router that still runs.
    std::uint64_t overdue = 0;       ///< Routers whose timer stays in the past.
    std::uint64_t stuck = 0;         ///< Keys that never ran and can't be run in calm.

    std::uint64_t violations() const
    {
        return doubled + false_not_run + wrong_answers + unanswered + overdue + stuck;
    }
};

/// What a test changes to show that the checker sees it.
struct simulation_settings {
    ledger_settings ledger;
    bool ignore_versions = false;
    duration caller_clock_error{}; ///< Highest error of a router's wall clock.
};

/// Several routers' ledgers over one fake platform and a booking service that counts its runs.
class booking_simulation {
public:
    static constexpr std::size_t router_count = 3;
    static constexpr std::size_t key_count = 8;

    booking_simulation(std::uint64_t seed, const simulation_settings& settings);

    /// Carries out one step.
    void apply(const simulation_step& step);

    /// Ends all faults, waits, retries each key once and returns what the checker saw.
    booking_report finish();

private:
    struct router {
        std::unique_ptr<platform_call_id_source> calls;
        std::unique_ptr<ledger> reducer;
        std::uint64_t run = 0;
        time_point paused_until{};
        time_point next_tick = time_point::max();
        std::uint32_t refusals = 0; ///< Runs to refuse.
    };
    struct request_state {
        std::string key;
        std::size_t router = 0;
        std::uint64_t router_run = 0;
        std::optional<outcome> answer;
        bool ran = false;
        bool key_had_run = false; ///< When the request was sent.
    };
    struct key_state {
        std::uint32_t runs = 0;
        std::string result;
        bool may_be_started = false; ///< A restart or an unknown answer touched the key.
        bool expired = false;
    };

    using handler = std::function<ledger_effects(ledger&, time_point)>;

    void start(std::size_t n);
    void deliver(std::size_t n, std::uint64_t run, time_point when, const handler& what);
    void carry_out(std::size_t n, const ledger_effects& effects, time_point now);
    void dispatch(std::size_t n, const start_booking& run, time_point now);
    void take_answer(const booking_answer& answer);
    void check_complete(const booking_answer& answer, const std::string& key);
    void book(std::size_t n, const std::string& key);
    void schedule_tick(std::size_t n);
    void calm();

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

/// Runs a schedule and returns what the checker saw.
booking_report run_schedule(std::uint64_t seed, const simulation_settings& settings,
                            const std::vector<simulation_step>& steps);

} // namespace endivelatch
