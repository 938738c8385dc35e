#pragma once

#include "fleet_model.hpp"

/// Workloads and placement policies for the benchmarks and the tests.
namespace endivelatch::model {

/// 20 targets in 4 failure domains, 8 routers, long prompts.
inline workload long_prompt_workload()
{
    return {};
}

/// 12 targets in 3 failure domains, 6 routers, shorter chats, a fourfold surge.
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

/// 24 targets and 8 routers with a threefold surge.
inline workload combined_workload()
{
    workload load;
    load.targets = 24;
    load.chats_per_second = 6;
    load.surge_factor = 3;
    return load;
}

/// Load bound at admission that keeps the busiest target within 1.25 times the mean load.
inline constexpr double admission_bound = 1.18;

/// Cached tokens that a target transfers before a planned stop.
inline constexpr std::uint64_t transfer_budget = 3'000'000;

/// Returns a default policy with another placement strategy.
inline policy policy_with_strategy(const char* name, placement strategy)
{
    policy it;
    it.name = name;
    it.strategy = strategy;
    return it;
}

/// Returns the default policy after applying `change` to it.
template <class Change>
policy modified_policy(const char* name, Change change)
{
    policy it;
    it.name = name;
    change(it);
    return it;
}

/// Returns the oracle and the three baseline policies.
inline std::vector<policy> reference_policies()
{
    return {policy_with_strategy("oracle", placement::oracle),
            policy_with_strategy("rendezvous", placement::rendezvous),
            policy_with_strategy("bounded", placement::bounded),
            policy_with_strategy("two_loads", placement::two_loads)};
}

/// Returns the default policy, and variants of it with single settings changed or mechanisms
/// disabled.
inline std::vector<policy> ablation_policies()
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
