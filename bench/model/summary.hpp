#pragma once

#include "scenarios.hpp"

#include <cstdio>
#include <limits>

namespace endivelatch::model {

/// Aggregates the results of one policy over several seeds, relative to the oracle.
class summary {
public:
    /// Adds the results of a run and of the oracle's run on the same trace.
    void add(outcome_counts counts, const outcome_counts& oracle)
    {
        const double oracle_ratio = counts.reuse() / oracle.reuse();
        lowest_ratio_ = std::min(lowest_ratio_, oracle_ratio);
        highest_ratio_ = std::max(highest_ratio_, oracle_ratio);
        ++runs_;
        reuse_ += counts.reuse();
        oracle_ratio_ += oracle_ratio;
        token_reuse_ += counts.token_reuse();
        reusable_hit_share_ += counts.reusable_hit_share();
        shared_reuse_ += outcome_counts::share(counts.shared_reused, counts.shared_tokens);
        owners_asked_ +=
            static_cast<double>(counts.owners_asked) / static_cast<double>(counts.requests);
        samples_over_bound_ += outcome_counts::share(counts.samples_over_bound, counts.samples);
        mean_skew_ += counts.mean_skew();
        worst_skew_ = std::max(worst_skew_, counts.worst_skew);
        first_token_p95_ += counts.first_token(0.95);
        admissions_over_bound_ += counts.over_bound;
        max_excess_ =
            std::max({max_excess_, counts.max_admission_excess, counts.max_sample_excess});
        aborted_ += counts.aborted;
        wasted_waits_ += counts.wasted_waits;
        requests_ += counts.requests;
    }

    /// Prints one line of results: counts are sums over the seeds, ratios are means over the seeds.
    void print(const char* workload_name, const char* name) const
    {
        std::printf("user=%s policy=%s seeds=%u requests=%llu reuse=%.4f of_oracle=%.4f "
                    "of_oracle_min=%.4f of_oracle_max=%.4f of_reusable=%.4f token_reuse=%.4f "
                    "shared_reuse=%.4f tries=%.3f skew_mean=%.3f skew_worst=%.2f "
                    "samples_over=%.5f admissions_over=%llu excess=%llu cut=%llu vain_waits=%llu "
                    "first_token_p95=%.2f\n",
                    workload_name, name, runs_, to_printable(requests_), mean(reuse_),
                    mean(oracle_ratio_), lowest_ratio_, highest_ratio_, mean(reusable_hit_share_),
                    mean(token_reuse_), mean(shared_reuse_), mean(owners_asked_), mean(mean_skew_),
                    worst_skew_, mean(samples_over_bound_), to_printable(admissions_over_bound_),
                    to_printable(max_excess_), to_printable(aborted_), to_printable(wasted_waits_),
                    mean(first_token_p95_));
    }

private:
    double mean(double sum) const { return sum / runs_; }
    static unsigned long long to_printable(std::uint64_t n) { return n; }

    unsigned runs_ = 0;
    double lowest_ratio_ = std::numeric_limits<double>::max();
    double highest_ratio_ = 0;
    double reuse_ = 0;
    double oracle_ratio_ = 0;
    double token_reuse_ = 0;
    double reusable_hit_share_ = 0;
    double shared_reuse_ = 0;
    double owners_asked_ = 0;
    double samples_over_bound_ = 0;
    double mean_skew_ = 0;
    double worst_skew_ = 0;
    double first_token_p95_ = 0;
    std::uint64_t admissions_over_bound_ = 0;
    std::uint64_t max_excess_ = 0;
    std::uint64_t aborted_ = 0;
    std::uint64_t wasted_waits_ = 0;
    std::uint64_t requests_ = 0;
};

/// Runs all policies with all seeds and prints one line per policy; the first must be the oracle.
inline void compare(const char* workload_name, workload load, const std::vector<policy>& policies,
                    std::span<const std::uint64_t> seeds, view_delays delays = {})
{
    std::vector<summary> summaries(policies.size());
    for (const auto seed : seeds) {
        load.seed = seed;
        const auto input = make_trace(load);
        const auto oracle = fleet_model{load, input, policies.front(), delays}.run();
        summaries.front().add(oracle, oracle);
        for (std::size_t it = 1; it < policies.size(); ++it) {
            summaries[it].add(fleet_model{load, input, policies[it], delays}.run(), oracle);
        }
    }
    for (std::size_t it = 0; it < policies.size(); ++it) {
        summaries[it].print(workload_name, policies[it].name.c_str());
    }
}

} // namespace endivelatch::model
