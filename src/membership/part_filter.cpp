#include "endivelatch/membership/part_filter.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

namespace endivelatch {

std::array<std::size_t, part_filter::hash_count> part_filter::bits_of(part_key part)
{
    constexpr unsigned half = 32;
    const auto hash = mix_bits(part.value());
    return {static_cast<std::size_t>(hash % (size * bits_per_byte)),
            static_cast<std::size_t>((hash >> half) % (size * bits_per_byte))};
}

void part_filter::add(part_key part)
{
    for (const auto bit : bits_of(part)) {
        bytes_.at(bit / bits_per_byte) |= static_cast<std::uint8_t>(1U << (bit % bits_per_byte));
    }
}

bool part_filter::may_contain(part_key part) const
{
    const auto bits = bits_of(part);
    return std::all_of(bits.begin(), bits.end(), [this](std::size_t bit) {
        return (bytes_.at(bit / bits_per_byte) >> (bit % bits_per_byte) & 1U) != 0;
    });
}

std::string part_filter::bytes() const
{
    return empty() ? std::string{} : std::string{bytes_.begin(), bytes_.end()};
}

part_filter part_filter::read(std::string_view bytes)
{
    part_filter filter;
    if (bytes.size() == size) {
        std::transform(bytes.begin(), bytes.end(), filter.bytes_.begin(),
                       [](char it) { return static_cast<std::uint8_t>(it); });
    }
    return filter;
}

} // namespace endivelatch
