#pragma once

#include "endivelatch/base/hash.hpp"

#include <cstdint>
#include <cstdlib>

namespace endivelatch {

/// Simulates the number of streams on one target in steps of one second, with random arrivals and
/// completions at the rates of the largest deployment.
class load_model {
public:
    load_model(std::uint64_t seed, int publish_threshold)
        : random_{seed}, publish_threshold_{publish_threshold}
    {
    }

    /// Advances by one second; returns whether the published number of streams has changed.
    bool advance_second()
    {
        for (int n = 0; n < arrival_slots; ++n) {
            streams_ += random_.fraction() < arrivals_per_second / arrival_slots ? 1 : 0;
        }
        int ended = 0;
        for (int n = 0; n < streams_; ++n) {
            ended += random_.fraction() < 1 / mean_stream_seconds ? 1 : 0;
        }
        streams_ -= ended;
        if (std::abs(streams_ - published_) < publish_threshold_) {
            return false;
        }
        published_ = streams_;
        return true;
    }

    /// Returns the number of streams that was published last.
    int published() const { return published_; }

private:
    static constexpr double arrivals_per_second = 31'000.0 / 5'300;
    static constexpr double mean_stream_seconds = 293 * 0.061;
    static constexpr int arrival_slots = 20;

    random_source random_;
    int publish_threshold_; ///< Smallest change in streams that is published.
    int streams_ = 105;
    int published_ = 105;
};

} // namespace endivelatch
