#include "endivelatch/base/ids.hpp"

#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace endivelatch {

namespace {

constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parse_hexadecimal(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, hexadecimal);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

} // namespace

std::string to_string(const request_id& id)
{
    return fmt::format("{}.{:x}.{:x}", id.entry.str(), id.entry_incarnation.value(), id.sequence);
}

std::optional<request_id> parse_request_id(std::string_view text)
{
    const auto last = text.rfind('.');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const auto middle = text.rfind('.', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    const auto run = parse_hexadecimal(text.substr(middle + 1, last - middle - 1));
    const auto sequence = parse_hexadecimal(text.substr(last + 1));
    if (!run || !sequence) {
        return std::nullopt;
    }
    return request_id{router_id{std::string{text.substr(0, middle)}}, incarnation{*run}, *sequence};
}

} // namespace endivelatch
