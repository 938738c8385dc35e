#pragma once

#include "endivelatch/routing/route.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// Placement policies that the fleet model compares, and the statistics of a run.
namespace endivelatch::model {

/// Strategy that ranks the targets for a request.
enum class placement {
    endivelatch, ///< The routing library.
    rendezvous,  ///< Rendezvous hashing of the chat, without a load bound.
    bounded,     ///< Rendezvous hashing with a load bound, without hints.
    two_loads,   ///< The less loaded of two random targets, without a load bound.
    oracle,      ///< Knows all caches and loads exactly; has a load bound.
};

/// A placement policy; its flags disable single mechanisms for ablation runs.
struct policy {
    std::string name;
    placement strategy = placement::endivelatch;
    route_settings route{};
    double load_bound = 1.25;       ///< Highest admitted load as a multiple of the mean.
    double evaluation_bound = 1.25; ///< Bound above which admissions and samples count as over.
    double total_load_margin = 0;   ///< Fraction subtracted from the known total load of the pool.
    bool enforces_bound = true;     ///< Whether owners check the load bound.
    bool uses_hints = true;
    bool uses_flap_damping = true;
    bool uses_cache_events = true;
    std::uint64_t transfer_tokens = 0; ///< Tokens transferred before a planned stop; zero for none.
    bool checks_incarnation = true;    ///< If false, hints of earlier incarnations are accepted.
};

/// Statistics of one run.
struct outcome_counts {
    std::uint64_t requests = 0;
    std::uint64_t returning = 0;
    std::uint64_t hits = 0;     ///< Returning requests whose prefix was cached.
    std::uint64_t reusable = 0; ///< Returning requests whose prefix some eligible target held.
    std::uint64_t returning_prefix_tokens = 0;
    std::uint64_t reused_tokens = 0;
    std::uint64_t shared_tokens = 0; ///< Tokens of requested shared prefixes.
    std::uint64_t shared_reused = 0; ///< Tokens of shared prefixes found in the cache.
    std::uint64_t owners_asked = 0;  ///< Admission attempts at owners.
    std::uint64_t waits = 0;   ///< Rounds without an admission, after which the request is retried.
    std::uint64_t aborted = 0; ///< Requests aborted because their target went down.
    std::uint64_t over_bound = 0;           ///< Admissions above the bound of the actual mean load.
    std::uint64_t max_admission_excess = 0; ///< Most requests above the bound at an admission.
    std::uint64_t admissions_to_draining = 0; ///< Admissions to draining targets.
    std::uint64_t samples = 0;
    std::uint64_t samples_over_bound = 0; ///< Samples with the busiest target above the bound.
    std::uint64_t max_sample_excess = 0;  ///< Most requests above the bound in a sample.
    std::uint64_t wasted_waits = 0; ///< Waits for a target whose cache no longer held the prefix.
    double skew_sum = 0;            ///< Sum over samples of the highest load divided by the mean.
    double worst_skew = 0;          ///< Largest highest load divided by the mean.
    std::vector<double> first_token_seconds;

    double reuse() const { return share(hits, returning); }
    double token_reuse() const { return share(reused_tokens, returning_prefix_tokens); }
    double reusable_hit_share() const { return share(hits, reusable); }
    double mean_skew() const { return samples == 0 ? 0 : skew_sum / static_cast<double>(samples); }

    /// Returns a quantile of the time to first token in seconds.
    double first_token(double quantile)
    {
        if (first_token_seconds.empty()) {
            return 0;
        }
        const auto n = static_cast<double>(first_token_seconds.size() - 1) * quantile;
        const auto nth = first_token_seconds.begin() + static_cast<std::ptrdiff_t>(n);
        std::nth_element(first_token_seconds.begin(), nth, first_token_seconds.end());
        return *nth;
    }

    static double share(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }
};

} // namespace endivelatch::model
