#include "admission/models.hpp"

#include <cstdio>
#include <string>

/// Runs the admission models of a surge, a slow service and the organisation cap. Waiting times are
/// in simulated time.
namespace {

using namespace endivelatch;

void measure_surge(const std::string& name, models::surge_settings settings)
{
    constexpr int seeds = 5;
    double before_ms = 0;
    double during_ms = 0;
    double worst_ratio = 0;
    int refused_before = 0;
    int refused_during = 0;
    std::uint64_t tokens = 0;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        settings.has_surge = false;
        const auto before = models::surge_model{settings}.run();
        settings.has_surge = true;
        const auto during = models::surge_model{settings}.run();
        before_ms += before.p95_wait_ms / seeds;
        during_ms += during.p95_wait_ms / seeds;
        worst_ratio = std::max(worst_ratio, (during.p95_wait_ms + 1) / (before.p95_wait_ms + 1));
        refused_before += before.refused;
        refused_during += during.refused;
        tokens += during.tokens;
    }
    std::printf("bench=surge variant=%s utilisation=%.2f p95_before_ms=%.0f p95_during_ms=%.0f "
                "worst_ratio=%.2f refused_before=%d refused_during=%d all_tokens=%llu\n",
                name.c_str(), settings.utilisation, before_ms, during_ms, worst_ratio,
                refused_before, refused_during, static_cast<unsigned long long>(tokens));
}

void measure_slow_service(const char* name, bool has_bulkheads)
{
    const auto before = models::run_slow_service({false, has_bulkheads, false, 60});
    const auto during = models::run_slow_service({true, has_bulkheads, false, 60});
    const auto first_quiet = models::run_slow_service({false, has_bulkheads, true, 1000});
    std::printf("bench=slow_service variant=%s p99_before_ms=%.0f p99_during_ms=%.0f "
                "saturated_calls_while_first_is_quiet=%d\n",
                name, before.p99_ms, during.p99_ms, first_quiet.completed);
}

} // namespace

int main()
{
    for (const auto utilisation : {0.6, 0.85, 0.95}) {
        for (const auto headroom : {0.0, 0.25, 0.33, 0.4, 0.5}) {
            const auto name = "fair_headroom_" + std::to_string(static_cast<int>(headroom * 100));
            measure_surge(name, {false, true, 1'000'000, utilisation, headroom, 1});
        }
        measure_surge("first_come", {false, false, 1'000'000, utilisation, 0, 1});
    }
    measure_slow_service("bulkheads", true);
    measure_slow_service("shared", false);
    for (const auto routers : {2, 8, 32}) {
        for (const auto is_paced : {true, false}) {
            int max_overshoot = 0;
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                max_overshoot = std::max(
                    max_overshoot, models::organisation_overshoot(routers, 64, is_paced, seed));
            }
            std::printf("bench=organisation_cap routers=%d cap=64 paced=%d overshoot=%d\n", routers,
                        is_paced ? 1 : 0, max_overshoot);
        }
    }
    return 0;
}
