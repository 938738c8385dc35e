#include "endivelatch/configuration/object_names.hpp"

#include "endivelatch/base/hash.hpp"

#include <array>

namespace endivelatch {

namespace {

constexpr std::array<std::string_view, 5> kind_names{"defaults", "models", "exceptions",
                                                     "organisations", "targets"};

/// Returns the number of objects over which the entries of a kind are distributed.
std::uint32_t object_count(config_kind kind)
{
    switch (kind) {
    case config_kind::organisations:
        return organisation_object_count;
    case config_kind::targets:
        return target_object_count;
    default:
        return 1;
    }
}

} // namespace

std::string_view to_string(config_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<config_kind> parse_config_kind(std::string_view name)
{
    for (std::size_t n = 0; n < kind_names.size(); ++n) {
        if (name == kind_names.at(n)) {
            return static_cast<config_kind>(n);
        }
    }
    return std::nullopt;
}

std::string config_object_name(config_kind kind, std::string_view entry)
{
    auto out = std::string{config_prefix} + std::string{to_string(kind)};
    const auto count = object_count(kind);
    if (count == 1) {
        return out;
    }
    constexpr std::uint64_t ten = 10;
    const auto number = stable_hash(entry) % count;
    return out + "/" + std::to_string(number / ten) + std::to_string(number % ten);
}

std::optional<config_kind> kind_of_object(std::string_view name)
{
    if (!name.starts_with(config_prefix)) {
        return std::nullopt;
    }
    name.remove_prefix(config_prefix.size());
    return parse_config_kind(name.substr(0, name.find('/')));
}

} // namespace endivelatch
