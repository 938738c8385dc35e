#include "membership/gossip_oracle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t routers = 7;
constexpr std::size_t domains = 3;
constexpr duration quiet_time{130s}; ///< Longer than the longest pause plus a refresh of summaries.

/// One step of a scenario: action, router, and parameter of the action.
using step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

/// Applies one step.
void apply_step(gossip_net& net, gossip_oracle& oracle, const step& it)
{
    const auto [kind, router, amount] = it;
    const std::size_t n = router % routers;
    const std::uint8_t partition_mask = amount;
    switch (kind % 8) {
    case 0:
        net.kill(n);
        break;
    case 1:
        oracle.forget_reports(n);
        net.start(n, domains);
        break;
    case 2:
        net.pause(n, 200ms * amount);
        break;
    case 3:
        net.is_partitioned = [partition_mask](std::size_t a, std::size_t b) {
            return ((partition_mask >> a) & 1U) != ((partition_mask >> b) & 1U);
        };
        break;
    case 4:
        net.is_partitioned = nullptr;
        break;
    case 5:
        if (net.is_running(n) && amount % 4 == 0) {
            net.apply_effects(n, net.router(n).leave(net.now()));
        }
        break;
    default:
        break;
    }
    for (std::size_t at = 0; at < routers; ++at) {
        if (net.is_running(at) && (amount >> at & 1U) != 0) {
            oracle.publish(at);
        }
    }
    net.run(50ms * amount);
}

/// Returns the violations that the oracle found after the steps and a period without faults.
std::vector<std::string> run_scenario(const std::vector<step>& steps, std::uint64_t seed,
                                      mutation disabled_check)
{
    gossip_net net{seed};
    gossip_oracle oracle{net};
    net.configure = [disabled_check](membership& it) {
        if (disabled_check == mutation::no_refutation) {
            it.disable_refutation();
        }
        if (disabled_check == mutation::no_version_check) {
            it.summaries().disable_version_check();
        }
    };
    net.seeds = routers;
    for (std::size_t n = 0; n < routers; ++n) {
        net.start(n, domains);
    }
    net.conditions = {0.1, 0.1, 1ms, 900ms};
    for (const auto& it : steps) {
        apply_step(net, oracle, it);
    }
    net.conditions = {};
    net.is_partitioned = nullptr;
    net.run(quiet_time);
    oracle.check_agreement();
    return oracle.violations;
}

/// Returns the number of random scenarios in which the oracle found a violation.
int scenarios_with_violations(mutation disabled_check)
{
    int violating = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random{seed};
        std::vector<step> steps(15);
        for (auto& it : steps) {
            it = {static_cast<std::uint8_t>(random()), static_cast<std::uint8_t>(random()),
                  static_cast<std::uint8_t>(random())};
        }
        violating += run_scenario(steps, seed, disabled_check).empty() ? 0 : 1;
    }
    return violating;
}

RC_GTEST_PROP(gossip, keeps_its_promises_under_faults,
              (const std::vector<step>& steps, std::uint64_t seed))
{
    RC_ASSERT(run_scenario(steps, seed, mutation::none) == std::vector<std::string>{});
}

TEST(gossip_oracle, detects_each_disabled_check)
{
    EXPECT_EQ(scenarios_with_violations(mutation::none), 0);
    EXPECT_GT(scenarios_with_violations(mutation::no_refutation), 0);
    EXPECT_GT(scenarios_with_violations(mutation::no_version_check), 0);
}

} // namespace
} // namespace endivelatch
