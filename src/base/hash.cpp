#include "endivelatch/base/hash.hpp"

namespace endivelatch {

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
    constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;
    std::uint64_t n = fnv_offset;
    for (const char it : text) {
        n ^= static_cast<unsigned char>(it);
        n *= fnv_prime;
    }
    return mix_bits(n);
}

} // namespace endivelatch
