#include "endivelatch/entry/copy_query.hpp"

#include <charconv>

namespace endivelatch {

namespace {

constexpr std::string_view revision_parameter = "?newer-than=";
constexpr std::string_view watcher_parameter = "&from-watcher";
constexpr std::string_view changes_parameter = "&changes";
constexpr std::string_view small_parameter = "&small";

/// Removes the suffix; returns whether it was there.
bool take_suffix(std::string_view& text, std::string_view suffix)
{
    if (!text.ends_with(suffix)) {
        return false;
    }
    text.remove_suffix(suffix.size());
    return true;
}

std::string copy_path(object_kind kind)
{
    return "/copy/" + std::string{to_string(kind)};
}

} // namespace

std::size_t largest_small_copy(std::uint64_t link_rate)
{
    if (link_rate == 0) {
        return default_small_copy;
    }
    const auto seconds = std::chrono::duration<double>{small_copy_time}.count();
    return static_cast<std::size_t>(static_cast<double>(link_rate) * seconds);
}

std::string write_copy_query(const copy_query& query)
{
    return copy_path(query.kind) + std::string{revision_parameter} +
           std::to_string(query.newer_than.value()) +
           std::string{query.from_watcher ? watcher_parameter : ""} +
           std::string{query.takes_changes ? changes_parameter : ""} +
           std::string{query.small_only ? small_parameter : ""};
}

std::optional<copy_query> read_copy_query(std::string_view target)
{
    const bool small_only = take_suffix(target, small_parameter);
    const bool takes_changes = take_suffix(target, changes_parameter);
    const bool from_watcher = take_suffix(target, watcher_parameter);
    const auto mark = target.find(revision_parameter);
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = target.substr(mark + revision_parameter.size());
    std::uint64_t revision = 0;
    const auto read = std::from_chars(number.data(), number.data() + number.size(), revision);
    if (read.ec != std::errc{} || read.ptr != number.data() + number.size()) {
        return std::nullopt;
    }
    for (const auto kind : {object_kind::configuration, object_kind::targets}) {
        if (target.substr(0, mark) == copy_path(kind)) {
            return copy_query{kind, store_revision{revision}, from_watcher, takes_changes,
                              small_only};
        }
    }
    return std::nullopt;
}

} // namespace endivelatch
