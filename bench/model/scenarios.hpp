#pragma once

#include "fleet_model.hpp"

/// The fleets and the policies that the benchmark programs and the tests compare.
namespace endivelatch::model {

/// 20 engines in 4 failure domains, 8 routers, long dossiers.
inline workload long_prompt_workload()
{
    return {};
}

/// 12 engines in 3 failure domains, 6 routers, shorter chats, fourfold surges.
inline workload short_chat_workload()
{
    workload load;
    load.targets = 12;
    load.domains = 3;
    load.routers = 6;
    load.first_tokens = 4'000;
    load.cache_tokens = 2'000'000;
    load.chats_per_second = 2;
    load.surge_factor = 4;
    return load;
}

/// 24 targets and 8 routers under a threefold surge.
inline workload combined_workload()
{
    workload load;
    load.targets = 24;
    load.chats_per_second = 6;
    load.surge_factor = 3;
    return load;
}

/// The bound that owners admit under so that the busiest target stays within 1.25.
inline constexpr double admission_bound = 1.18;

/// Tokens that a target moves before a planned stop.
inline constexpr std::uint64_t transfer_budget = 3'000'000;

/// Returns a policy that differs from the library's in its placement.
inline policy placed(const char* name, placement strategy)
{
    policy it;
    it.name = name;
    it.strategy = strategy;
    return it;
}

/// Returns the library's policy with one change.
template <class Change>
policy modified_policy(const char* name, Change change)
{
    policy it;
    it.name = name;
    change(it);
    return it;
}

/// Returns the oracle and the three baselines.
inline std::vector<policy> reference_policies()
{
    return {placed("oracle", placement::oracle), placed("rendezvous", placement::rendezvous),
            placed("bounded", placement::bounded), placed("two_loads", placement::two_loads)};
}

/// Returns the library's policy, whole and with single mechanisms switched off.
inline std::vector<policy> variants()
{
    return {
        modified_policy("endivelatch", [](policy&) {}),
        modified_policy("admit_1.18", [](policy& it) { it.load_bound = admission_bound; }),
        modified_policy("hand_over", [](policy& it) { it.transfer_tokens = transfer_budget; }),
        modified_policy("no_hints", [](policy& it) { it.uses_hints = false; }),
        modified_policy("no_warm_wait",
                        [](policy& it) { it.route.max_warm_wait = duration::zero(); }),
        modified_policy("no_hold_back", [](policy& it) { it.uses_flap_damping = false; }),
        modified_policy("no_cache_events", [](policy& it) { it.uses_cache_events = false; }),
        modified_policy("no_run_check", [](policy& it) { it.checks_incarnation = false; }),
        modified_policy("no_bound", [](policy& it) { it.enforces_bound = false; }),
    };
}

} // namespace endivelatch::model
