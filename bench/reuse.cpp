/// Compares cache reuse and load skew of the routing library with an oracle, three baselines and
/// ablations of single mechanisms.

#include "model/summary.hpp"

#include <array>

int main()
{
    using namespace endivelatch::model;
    constexpr std::array<std::uint64_t, 3> seeds{101, 102, 103};
    auto policies = reference_policies();
    const auto ablations = ablation_policies();
    policies.insert(policies.end(), ablations.begin(), ablations.end());
    compare("pedaalwacht", long_prompt_workload(), policies, seeds);
    compare("kasa_bells", short_chat_workload(), policies, seeds);

    auto flapping = long_prompt_workload();
    flapping.flapping = true;
    const auto two_seeds = std::array<std::uint64_t, 2>{101, 102};
    compare("pedaalwacht_flapping", flapping,
            {policies.front(), ablations.front(),
             modified_policy("no_hold_back", [](policy& it) { it.uses_flap_damping = false; })},
            two_seeds);

    auto small_cache = long_prompt_workload();
    small_cache.cache_tokens = 2'500'000;
    compare("pedaalwacht_small_cache", small_cache,
            {policies[0], policies[1], policies[2], ablations.front(),
             modified_policy("no_cache_events", [](policy& it) { it.uses_cache_events = false; })},
            two_seeds);

    auto without_hints = long_prompt_workload();
    without_hints.hint_share = 0;
    compare("pedaalwacht_without_hints", without_hints,
            {policies[0], policies[2], ablations.front()}, two_seeds);
    return 0;
}
