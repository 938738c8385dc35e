#pragma once

#include <cstdint>
#include <string_view>

namespace endivelatch {

/// Returns a 64-bit hash that is the same on all machines and in all processes: FNV-1a, then
/// `mix_bits`.
std::uint64_t stable_hash(std::string_view text);

/// Mixes all bits of a number (the finalizer of SplitMix64).
constexpr std::uint64_t mix_bits(std::uint64_t n)
{
    n ^= n >> 30U;
    n *= 0xBF58476D1CE4E5B9ULL;
    n ^= n >> 27U;
    n *= 0x94D049BB133111EBULL;
    n ^= n >> 31U;
    return n;
}

/// Combines two hashes; the result depends on their order.
constexpr std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b)
{
    return mix_bits(a + 0x9E3779B97F4A7C15ULL + mix_bits(b));
}

/// A deterministic pseudorandom generator (SplitMix64) for use with the standard distributions.
class random_source {
public:
    using result_type = std::uint64_t;

    explicit constexpr random_source(std::uint64_t seed) : state_{seed} {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~result_type{0}; }

    /// Returns the next pseudorandom number.
    constexpr result_type operator()()
    {
        state_ += 0x9E3779B97F4A7C15ULL;
        return mix_bits(state_);
    }

    /// Returns a number below `bound`, which must not be zero.
    constexpr result_type below(result_type bound) { return operator()() % bound; }

    /// Returns a number in [0, 1).
    constexpr double fraction() { return static_cast<double>(operator()() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace endivelatch
