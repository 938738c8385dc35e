/// Prints skew against reuse over the bound that owners admit under; samples are judged by 1.25.

#include "model/summary.hpp"

#include <array>

namespace {

using namespace endivelatch::model;

std::vector<policy> bounds()
{
    std::vector<policy> out{placed("oracle", placement::oracle)};
    for (const double bound : {1.05, 1.1, 1.15, 1.18, 1.25, 1.4, 2.0, 3.0}) {
        policy it;
        it.load_bound = bound;
        it.name = "admit_" + std::to_string(bound).substr(0, 4);
        out.push_back(it);
    }
    return out;
}

} // namespace

int main()
{
    constexpr std::array<std::uint64_t, 2> seeds{201, 202};
    compare("pedaalwacht", long_prompt_workload(), bounds(), seeds);
    compare("kasa_bells", short_chat_workload(), bounds(), seeds);
    compare("both_users", combined_workload(), bounds(), seeds);
    const std::vector<policy> fixed{
        placed("oracle", placement::oracle),
        modified_policy("admit_1.18", [](policy& it) { it.load_bound = admission_bound; })};
    for (const int age : {250, 3000}) {
        lag delays;
        delays.report = std::chrono::milliseconds{age};
        const auto name = "both_users_report_every_" + std::to_string(age) + "ms";
        compare(name.c_str(), combined_workload(), fixed, seeds, delays);
    }
    return 0;
}
