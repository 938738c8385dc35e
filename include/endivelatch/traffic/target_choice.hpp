#pragma once

#include "endivelatch/traffic/target_table.hpp"
#include "endivelatch/traffic/work_estimate.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

/// Selects a target for one attempt. Performs no I/O and reads no clock.
namespace endivelatch {

/// Input of the target selection besides the target table.
struct choice_query {
    pool_id pool;
    const prompt_info* prompt = nullptr; ///< Null for requests to plain services.
    std::uint32_t priority = 0;          ///< 0 is the most urgent.
    duration objective{};                ///< Target time to the first event of the answer.
    std::uint64_t request_hash = 0; ///< Rendezvous key of requests without shared prompt parts.
    domain_id domain;               ///< Failure domain of this router.
    std::uint32_t routers = 1;      ///< Live routers, including this one.
    double load_bound = 2;          ///< Maximum load of a target, relative to the mean.
    const std::set<target_id>* tried = nullptr; ///< Targets that were already tried.
    /// The request can wait in the router. Then a plain target gets no more than it can answer
    /// within the objective.
    bool may_wait = false;
    /// Share of what a plain target may hold that is left to more urgent requests.
    double reserved_share = 0;
    work_estimate work;  ///< Of the pool's targets.
    machine_speed speed; ///< Of the pool's targets.
};

/// The selected target and the estimates behind the selection.
struct chosen_target {
    target_state* target = nullptr;
    double in_flight = 0;      ///< Estimated requests in flight, over all routers.
    double mean_in_flight = 0; ///< Mean over the targets of the pool.
    /// Expected time to the first token, or to a free slot; that of a plain target which is faster
    /// than the mean of its pool is less by its advantage, and may be negative.
    double cost_ms = 0;
    std::uint32_t prefill_tokens = 0; ///< Prompt tokens that are probably not cached at the target.
    duration wait{};                  ///< Expected queueing time before the prefill starts.
    double slowdown = 1;              ///< Expected time of work, relative to the usual time.
    bool is_home = false;             ///< Highest rendezvous weight for the prompt.
    /// Target that probably caches shared parts that the selected target does not.
    std::optional<endpoint> fetch_from;
};

/// Reason why no target was selected.
enum class no_target_reason {
    none_registered, ///< The pool has no target that accepts new requests.
    all_evacuated,   ///< As before, and some are in evacuated failure domains.
    all_tried,       ///< Every target of the pool was already tried.
    all_full,        ///< Every untried target refused a request recently.
    all_decline,     ///< As before, or it stated that it wants no request of this router now.
    all_late,        ///< The expected wait is too long at the best target.
    all_busy,        ///< Every untried target holds what it can answer in time.
};

/// Returns the name used in logs, such as `all_full`.
std::string_view to_string(no_target_reason reason);

using target_choice = std::variant<chosen_target, no_target_reason>;

/// Delay of the first token, in ms, per request that runs on the engine.
inline constexpr double engine_ms_per_request = 1.5;
/// Weight of a slot that other routers occupy at a plain service, relative to one of the router's
/// own.
inline constexpr double others_slot_weight = 0.5;
/// Weight of the router's own count in the estimate of the mean load, in load reports.
inline constexpr double own_count_weight = 1;
/// Cost of a target in another failure domain, in ms: round trip and transfer of the body.
inline constexpr double cross_domain_ms = 4;
/// Number of targets of a plain service among which a request chooses if their speeds change. With
/// two, a target that many routers consider fast still gets at most about twice its part.
inline constexpr std::size_t spread_choices = 2;
/// Requests that may queue at a plain target, as a share of its slots.
inline constexpr double service_queue_share = 1.0;
/// Largest random error of a load report, relative to the requests that the target holds.
inline constexpr double max_report_error = 1.5;
/// Age from which a load report does not hold requests back. If all routers held back for long, no
/// answer would tell that there is room.
inline constexpr duration max_held_report_age{500'000};
/// Requests that each target may hold above the load bound, so that small pools remain usable.
inline constexpr double load_allowance = 2;
/// Share of the load bound that is used while the target's load report is at most
/// `fresh_report_age` old, and from `stale_report_age` on or without a report. The share decreases
/// because many routers with the same old report would overload the target together.
inline constexpr double fresh_bound_share = 0.9;
inline constexpr double stale_bound_share = 0.7;
/// Median age of load reports in a fleet of eight routers.
inline constexpr duration fresh_report_age{400'000};
/// Requests last about a second, so older reports no longer reflect the load.
inline constexpr duration stale_report_age{1'400'000};

/// Largest share of a pool's targets that may be left out because other routers suspect them.
inline constexpr double max_suspected_share = 0.5;

/// Minimum number of shared tokens missing from a target's cache for which a fetch from another
/// target is worthwhile.
inline constexpr std::uint32_t min_fetch_tokens = 500;
/// Time after which a target that has joined has received most of the prompts whose home it is.
inline constexpr duration warm_up_time{3'000'000};

/// A target counts as on time if its first event is expected within this share of the objective.
/// Half leaves a margin for the error of the estimate.
inline constexpr double on_time_share = 0.5;
/// Share of the objective up to which an answer is probably still in time.
inline constexpr double tight_share = 0.8;
/// A request is refused if its expected wait exceeds a share of its objective. The maximum applies
/// to priority 0; each less urgent priority reduces it by one step down to the minimum, so that
/// under overload the less urgent requests are refused first.
inline constexpr double max_wait_share = 1.2;
inline constexpr double wait_share_step = 0.2;
inline constexpr double min_wait_share = 0.6;

/// Returns the expected wait above which a request is refused.
duration max_expected_wait(duration objective, std::uint32_t priority);

/// Returns how many requests a plain target may hold so that one more is answered within the
/// objective.
double timely_requests(std::uint32_t slots, duration objective, double service_time_ms);

/// Selects a target below its load bound: among targets that are on time the one with the fewest
/// tokens to prefill, otherwise the one with the lowest cost.
target_choice choose_target(const choice_query& query, const target_table& table, time_point now);

} // namespace endivelatch
