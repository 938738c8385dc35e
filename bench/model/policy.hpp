#pragma once

#include "endivelatch/routing/route.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// The ways of placing requests that the model compares, and what it counts.
namespace endivelatch::model {

/// How targets are ranked for a request.
enum class placement {
    endivelatch, ///< The routing library.
    rendezvous,  ///< Rendezvous hashing of the chat, without a bound.
    bounded,     ///< Rendezvous hashing of the chat, skipping full targets, without hints.
    two_loads,   ///< The less loaded of two random targets, without a bound.
    oracle,      ///< Knows every cache and every load, under the bound.
};

/// One way of placing requests; the flags switch off single mechanisms.
struct policy {
    std::string name;
    placement strategy = placement::endivelatch;
    route_settings route{};
    double load_bound = 1.25;   ///< Highest load over the mean.
    double judged_bound = 1.25; ///< The bound that samples are judged by.
    double total_margin = 0;    ///< Part of the pool's total that admission doubts.
    bool enforces_bound = true; ///< Owners check the bound.
    bool uses_hints = true;
    bool uses_flap_damping = true;
    bool uses_cache_events = true;
    std::uint64_t transfer_tokens = 0; ///< Tokens that a leaving target moves; zero for none.
    bool checks_incarnation = true;    ///< Else hints of earlier runs are believed.
};

/// What one run counted.
struct outcome_counts {
    std::uint64_t requests = 0;
    std::uint64_t returning = 0;
    std::uint64_t hits = 0;     ///< Returning requests that found their prefix.
    std::uint64_t reusable = 0; ///< Those that the oracle could place warm at that moment.
    std::uint64_t returning_tokens = 0;
    std::uint64_t reused_tokens = 0;
    std::uint64_t shared_tokens = 0;          ///< Tokens of shared prefixes asked for.
    std::uint64_t shared_reused = 0;          ///< Those found in the cache.
    std::uint64_t tries = 0;                  ///< Owners asked.
    std::uint64_t waits = 0;                  ///< Rounds in which every candidate refused.
    std::uint64_t aborted = 0;                ///< Requests cut off by a target going down.
    std::uint64_t over_bound = 0;             ///< Admissions above the bound of the true mean.
    std::uint64_t excess = 0;                 ///< Requests above the bound in the worst admission.
    std::uint64_t admissions_to_draining = 0; ///< Admissions to targets that leave.
    std::uint64_t samples = 0;
    std::uint64_t samples_over = 0;  ///< Samples with the busiest target above the bound.
    std::uint64_t sample_excess = 0; ///< Requests above the bound in the worst sample.
    std::uint64_t wasted_waits = 0;  ///< Waits for a target believed warm that was cold.
    double skew_sum = 0;             ///< Busiest over mean, summed over samples.
    double worst_skew = 0;           ///< Highest of busiest over mean.
    std::vector<double> first_token_seconds;

    double reuse() const { return share(hits, returning); }
    double token_reuse() const { return share(reused_tokens, returning_tokens); }
    double of_reusable() const { return share(hits, reusable); }
    double mean_skew() const { return samples == 0 ? 0 : skew_sum / static_cast<double>(samples); }

    /// Returns a quantile of the seconds until the first token.
    double first_token(double quantile)
    {
        if (first_token_seconds.empty()) {
            return 0;
        }
        const auto n = static_cast<double>(first_token_seconds.size() - 1) * quantile;
        const auto place = first_token_seconds.begin() + static_cast<std::ptrdiff_t>(n);
        std::nth_element(first_token_seconds.begin(), place, first_token_seconds.end());
        return *place;
    }

    static double share(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }
};

} // namespace endivelatch::model
