#pragma once

#include "endivelatch/traffic/target_table.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

/// The choice of a target for one attempt. A pure decision: no I/O, no clock of its own.
namespace endivelatch {

/// What a choice depends on besides the targets.
struct choice_query {
    pool_id pool;
    const prompt_info* prompt = nullptr;        ///< Null for plain services.
    std::uint32_t priority = 0;                 ///< 0 is the most urgent.
    duration objective{};                       ///< For the first event of the answer.
    std::uint64_t request_hash = 0;             ///< Breaks ties.
    domain_id domain;                           ///< Of this router.
    std::uint32_t routers = 1;                  ///< Live routers, this one included.
    double load_bound = 2;                      ///< Highest load of a target over the mean.
    const std::set<target_id>* tried = nullptr; ///< Targets that this request has been sent to.
};

/// The target chosen, with the inputs that decided.
struct chosen_target {
    target_state* target = nullptr;
    double in_flight = 0;            ///< Estimate over all routers.
    double mean_in_flight = 0;       ///< Of the pool.
    double cost_ms = 0;              ///< Expected wait for the first token, or for a slot.
    std::uint32_t unread_tokens = 0; ///< Prompt tokens that are probably not cached there.
    duration wait{};                 ///< Expected before the prompt is read.
    bool is_home = false;            ///< First in the rendezvous order of the prompt.
    /// Target that probably has the shared parts which the chosen one has not.
    std::optional<endpoint> fetch_from;
};

/// Why there is no target.
enum class no_target_reason {
    none_registered, ///< The pool has no target that takes requests.
    all_tried,       ///< The request has been sent to each of them.
    all_full,        ///< Each is at its bound.
    all_late,        ///< None would begin to answer in time.
};

/// Returns the reason as written in logs, such as `all_full`.
std::string_view to_string(no_target_reason reason);

using choice = std::variant<chosen_target, no_target_reason>;

/// Slowing of an engine by each request that runs on it, in ms to the first token.
inline constexpr double engine_ms_per_request = 1.5;
/// Time that a plain service works on a request, in ms; the sheets state 15.
inline constexpr double service_ms = 15;
/// Cost of a target in another failure domain, in ms: the way there and back, and its bytes.
inline constexpr double other_domain_ms = 4;
/// Requests beyond its slots that a plain target may hold, as a share of the slots.
inline constexpr double service_queue_share = 1.0;
/// Requests that every target may hold above the bound, so that small pools are usable.
inline constexpr double load_allowance = 2;
/// Share of the bound that is used up to the age `fresh_report` of the report of a target's load,
/// and from `stale_report` on or without one: many routers with the same old report fill a target
/// together.
inline constexpr double fresh_bound_share = 0.9;
inline constexpr double stale_bound_share = 0.7;
/// The median age of reports in a fleet of eight routers.
inline constexpr duration fresh_report{400'000};
/// Requests last about a second, so that an older report says little.
inline constexpr duration stale_report{1'400'000};

/// Shared tokens that a target must lack before they are fetched from another one.
inline constexpr std::uint32_t least_fetched_tokens = 500;

/// Share of the objective within which an expected first event is early enough. Half leaves room
/// for what the estimate does not see.
inline constexpr double early_enough_share = 0.5;
/// Share of its objective that a request of the most urgent priority may be expected to wait
/// before it is refused; each further priority may wait less, so that the less urgent yield.
inline constexpr double most_wait_share = 1.2;
inline constexpr double wait_share_step = 0.2;
inline constexpr double least_wait_share = 0.6;

/// Returns how long a request may be expected to wait before it is refused.
duration wait_bound(duration objective, std::uint32_t priority);

/// Chooses the target with the least expected wait among those below their bound.
choice choose_target(const choice_query& query, const target_table& table, time_point now);

} // namespace endivelatch
