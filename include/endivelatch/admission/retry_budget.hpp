#pragma once

#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace endivelatch {

/// Limits retries to a share of recent requests, so that retries do not multiply the load during
/// an outage.
///
/// The attempts within a window never exceed `(1 + share) * requests + burst`.
class retry_budget {
public:
    /// Takes the retries allowed per request and the retries allowed without any recent request.
    explicit retry_budget(double share = 0.1, std::uint32_t burst = 3);

    /// Counts a first attempt.
    void record_request(time_point now);

    /// Takes one retry from the budget; false if the budget is exhausted.
    bool try_retry(time_point now);

    /// Returns the mean rate of requests within the window.
    request_rate rate(time_point now);

    /// Changes the share.
    void set_share(double share) { share_ = share; }

    /// Changes the retries allowed without any recent request.
    void set_burst(std::uint32_t burst) { burst_ = burst; }

    static constexpr duration window{10'000'000};

private:
    static constexpr std::size_t slot_count = 10;
    struct slot {
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    /// Clears the slots that have left the window and returns the current one.
    slot& advance(time_point now);

    double share_;
    std::uint32_t burst_;
    std::array<slot, slot_count> slots_{};
    std::int64_t current_ = 0; ///< Index of the current slot since boot.
    std::optional<time_point> first_request_at_;
};

} // namespace endivelatch
