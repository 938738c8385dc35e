#include "soak_run.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

#include <gtest/gtest.h>

/// By hand: SOAK_FIRST=100 SOAK_COUNT=50 SOAK_SECONDS=8 build/tests/soak/test_soak
namespace endivelatch::soak {
namespace {

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

TEST(soak, keeps_the_promises_under_overlapping_faults)
{
    const auto first = number_from_environment("SOAK_FIRST", 1);
    const auto count = number_from_environment("SOAK_COUNT", 2);
    const auto seconds = number_from_environment("SOAK_SECONDS", 6);
    for (auto seed = first; seed < first + count; ++seed) {
        soak_run run{seed};
        run.play(std::chrono::seconds{seconds});
        const auto broken = run.broken();
        std::cout << "soak seed=" << seed << " requests=" << run.requests()
                  << " broken=" << broken.size();
        for (const auto& [name, times] : run.faults()) {
            std::cout << ' ' << name << '=' << times;
        }
        std::cout << std::endl;
        for (const auto& it : broken) {
            ADD_FAILURE() << "seed " << seed << ": " << it;
        }
    }
}

} // namespace
} // namespace endivelatch::soak
