#include "endivelatch/mirror/store_position.hpp"

#include <charconv>
#include <optional>

namespace endivelatch {

namespace {

constexpr char era_separator = '@';

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool is_valid = ec == std::errc{} && end == text.data() + text.size();
    return is_valid ? std::optional{n} : std::nullopt;
}

} // namespace

store_era parse_store_era(std::string_view text)
{
    return store_era{parse_number(text).value_or(0)};
}

std::string to_string(store_position position)
{
    auto text = std::to_string(position.revision.value());
    if (position.era != store_era{}) {
        text += era_separator + std::to_string(position.era.value());
    }
    return text;
}

store_position parse_store_position(std::string_view text)
{
    const auto separator = text.find(era_separator);
    const auto revision = parse_number(text.substr(0, separator));
    if (!revision) {
        return {};
    }
    const bool has_era = separator != std::string_view::npos;
    const auto era = has_era ? parse_store_era(text.substr(separator + 1)) : store_era{};
    return {era, store_revision{*revision}};
}

} // namespace endivelatch
