#pragma once

#include "scenarios.hpp"

#include <cstdio>
#include <limits>

namespace endivelatch::model {

/// The counts of one policy over several seeds, beside those of the oracle.
class summary {
public:
    /// Adds one run and the oracle's run of the same trace.
    void add(outcome_counts counts, const outcome_counts& oracle)
    {
        const double ratio = counts.reuse() / oracle.reuse();
        lowest_ = std::min(lowest_, ratio);
        highest_ = std::max(highest_, ratio);
        ++runs_;
        reuse_ += counts.reuse();
        ratio_ += ratio;
        token_reuse_ += counts.token_reuse();
        reusable_ += counts.of_reusable();
        shared_ += outcome_counts::share(counts.shared_reused, counts.shared_tokens);
        tries_ += static_cast<double>(counts.tries) / static_cast<double>(counts.requests);
        samples_over_ += outcome_counts::share(counts.samples_over, counts.samples);
        mean_skew_ += counts.mean_skew();
        worst_skew_ = std::max(worst_skew_, counts.worst_skew);
        first_95_ += counts.first_token(0.95);
        over_ += counts.over_bound;
        excess_ = std::max({excess_, counts.excess, counts.sample_excess});
        cut_ += counts.aborted;
        vain_ += counts.wasted_waits;
        requests_ += counts.requests;
    }

    /// Prints one line of figures; counts are summed over the seeds, shares are their means.
    void print(const char* user, const char* name) const
    {
        std::printf("user=%s policy=%s seeds=%u requests=%llu reuse=%.4f of_oracle=%.4f "
                    "of_oracle_min=%.4f of_oracle_max=%.4f of_reusable=%.4f token_reuse=%.4f "
                    "shared_reuse=%.4f tries=%.3f skew_mean=%.3f skew_worst=%.2f "
                    "samples_over=%.5f admissions_over=%llu excess=%llu cut=%llu vain_waits=%llu "
                    "first_token_p95=%.2f\n",
                    user, name, runs_, to_print(requests_), mean(reuse_), mean(ratio_), lowest_,
                    highest_, mean(reusable_), mean(token_reuse_), mean(shared_), mean(tries_),
                    mean(mean_skew_), worst_skew_, mean(samples_over_), to_print(over_),
                    to_print(excess_), to_print(cut_), to_print(vain_), mean(first_95_));
    }

private:
    double mean(double sum) const { return sum / runs_; }
    static unsigned long long to_print(std::uint64_t n) { return n; }

    unsigned runs_ = 0;
    double lowest_ = std::numeric_limits<double>::max();
    double highest_ = 0;
    double reuse_ = 0;
    double ratio_ = 0;
    double token_reuse_ = 0;
    double reusable_ = 0;
    double shared_ = 0;
    double tries_ = 0;
    double samples_over_ = 0;
    double mean_skew_ = 0;
    double worst_skew_ = 0;
    double first_95_ = 0;
    std::uint64_t over_ = 0;
    std::uint64_t excess_ = 0;
    std::uint64_t cut_ = 0;
    std::uint64_t vain_ = 0;
    std::uint64_t requests_ = 0;
};

/// Runs the policies over the seeds and prints a line for each; the first must be the oracle.
inline void compare(const char* user, workload load, const std::vector<policy>& policies,
                    std::span<const std::uint64_t> seeds, lag delays = {})
{
    std::vector<summary> sums(policies.size());
    for (const auto seed : seeds) {
        load.seed = seed;
        const auto input = make_trace(load);
        const auto oracle = fleet_model{load, input, policies.front(), delays}.run();
        sums.front().add(oracle, oracle);
        for (std::size_t it = 1; it < policies.size(); ++it) {
            sums[it].add(fleet_model{load, input, policies[it], delays}.run(), oracle);
        }
    }
    for (std::size_t it = 0; it < policies.size(); ++it) {
        sums[it].print(user, policies[it].name.c_str());
    }
}

} // namespace endivelatch::model
