#pragma once

#include "endivelatch/base/ids.hpp"

#include <cstdint>

namespace endivelatch {

/// Detects duplicate packets by their numbers within a run, with a sliding window.
class replay_window {
public:
    /// Records the number and returns whether it is new. Numbers of earlier runs and numbers below
    /// the window count as duplicates.
    bool accept(incarnation run, std::uint64_t number)
    {
        if (run != run_) {
            if (run < run_) {
                return false;
            }
            *this = replay_window{};
            run_ = run;
        }
        return accept(number);
    }

private:
    static constexpr std::uint64_t window_size = 64;

    bool accept(std::uint64_t number)
    {
        if (number > highest_) {
            const auto shift = number - highest_;
            received_mask_ = shift >= window_size ? 1 : (received_mask_ << shift) | 1U;
            highest_ = number;
            return true;
        }
        const auto age = highest_ - number;
        if (age >= window_size || ((received_mask_ >> age) & 1U) != 0) {
            return false;
        }
        received_mask_ |= std::uint64_t{1} << age;
        return true;
    }

    incarnation run_;
    std::uint64_t highest_ = 0;
    std::uint64_t received_mask_ = 1; ///< Bit n is set if number `highest_ - n` was received.
};

} // namespace endivelatch
