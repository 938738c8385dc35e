/// Compares placement of chats with a shared prompt prefix: by chat, or on a given number of
/// replicas per prefix.

#include "model/summary.hpp"

#include <array>

int main()
{
    using namespace endivelatch::model;
    constexpr std::array<std::uint64_t, 2> seeds{301, 302};
    std::vector<policy> policies{policy_with_strategy("oracle", placement::oracle)};
    for (const std::uint32_t replicas : {0U, 1U, 2U, 4U, 6U, 8U, 12U}) {
        policy it;
        it.route.prefix_replicas = replicas;
        it.name = "replicas_" + std::to_string(replicas);
        policies.push_back(it);
    }
    for (const std::uint32_t prefixes : {5U, 50U}) {
        auto load = long_prompt_workload();
        load.first_tokens = 4'000;
        load.cache_tokens = 6'000'000;
        load.shared_tokens = 20'000;
        load.shared_prefixes = prefixes;
        const auto name = "prefixes_" + std::to_string(prefixes) + "_an_organisation";
        compare(name.c_str(), load, policies, seeds);
    }
    return 0;
}
