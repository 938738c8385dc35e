/// Measures load skew and cache reuse for several admission bounds; samples are counted as over the
/// bound above 1.25 times the mean load.

#include "model/summary.hpp"

#include <array>

namespace {

using namespace endivelatch::model;

std::vector<policy> admission_bound_policies()
{
    std::vector<policy> out{policy_with_strategy("oracle", placement::oracle)};
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
    compare("pedaalwacht", long_prompt_workload(), admission_bound_policies(), seeds);
    compare("kasa_bells", short_chat_workload(), admission_bound_policies(), seeds);
    compare("both_users", combined_workload(), admission_bound_policies(), seeds);
    const std::vector<policy> fixed{
        policy_with_strategy("oracle", placement::oracle),
        modified_policy("admit_1.18", [](policy& it) { it.load_bound = admission_bound; })};
    for (const int report_interval_ms : {250, 3000}) {
        view_delays delays;
        delays.report_interval = std::chrono::milliseconds{report_interval_ms};
        const auto name = "both_users_report_every_" + std::to_string(report_interval_ms) + "ms";
        compare(name.c_str(), combined_workload(), fixed, seeds, delays);
    }
    return 0;
}
