#include "endivelatch/ledger/booking_key_time.hpp"

#include <algorithm>
#include <charconv>

namespace endivelatch {

namespace {

constexpr std::int64_t latest_second = 99'999'999'999;
constexpr char first_printable = '!';
constexpr char last_printable = '~';

} // namespace

std::optional<wall_time> booking_key_time(const booking_key& key)
{
    const auto& text = key.str();
    if (text.size() > max_booking_key_size) {
        return std::nullopt;
    }
    const bool printable = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= first_printable && c <= last_printable;
    });
    std::int64_t seconds = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, seconds);
    const bool has_text = ec == std::errc{} && end - rest >= 2 && *rest == '-';
    if (!printable || !has_text || seconds < 0 || seconds > latest_second) {
        return std::nullopt;
    }
    return wall_time{std::chrono::seconds{seconds}};
}

} // namespace endivelatch
