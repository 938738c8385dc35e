#include "endivelatch/entry/copy_query.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace endivelatch {

namespace {

constexpr std::string_view revision_parameter = "?newer-than=";
constexpr std::string_view watcher_parameter = "&from-watcher";
constexpr std::string_view changes_parameter = "&changes";
constexpr std::string_view small_parameter = "&small";
constexpr std::string_view era_header = "Copy-Era";
constexpr std::string_view wait_header = "Copy-Wait-Ms";
constexpr std::string_view confirmation_header = "Copy-Confirmed-Ms";
/// Confirmations older than this are of no use; larger numbers are not read.
constexpr std::int64_t max_header_ms = 1'000'000'000;

/// Removes the suffix if present. Returns whether it was present.
bool consume_suffix(std::string_view& text, std::string_view suffix)
{
    if (!text.ends_with(suffix)) {
        return false;
    }
    text.remove_suffix(suffix.size());
    return true;
}

std::int64_t to_ms(duration time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time).count();
}

/// Reads a header with a number of milliseconds. Returns nothing if it is missing or not valid.
std::optional<duration> read_ms(const http_headers& headers, std::string_view name)
{
    const auto* text = find_header_ignoring_case(headers, name);
    std::int64_t n = 0;
    if (text == nullptr) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), n);
    const bool is_valid = ec == std::errc{} && end == text->data() + text->size() &&
                          n >= -max_header_ms && n <= max_header_ms;
    return is_valid ? std::optional<duration>{std::chrono::milliseconds{n}} : std::nullopt;
}

std::string copy_path(object_kind kind)
{
    return "/copy/" + std::string{to_string(kind)};
}

} // namespace

std::size_t max_small_copy_size(std::uint64_t link_rate)
{
    if (link_rate == 0) {
        return default_max_small_copy_size;
    }
    const auto seconds = std::chrono::duration<double>{max_small_copy_time}.count();
    return static_cast<std::size_t>(static_cast<double>(link_rate) * seconds);
}

std::string write_copy_query(const copy_query& query)
{
    return copy_path(query.kind) + std::string{revision_parameter} +
           std::to_string(query.newer_than.revision.value()) +
           std::string{query.from_watcher ? watcher_parameter : ""} +
           std::string{query.accepts_changes ? changes_parameter : ""} +
           std::string{query.small_only ? small_parameter : ""};
}

http_headers write_copy_headers(const copy_query& query)
{
    auto headers = write_copy_era(query.newer_than.era);
    if (query.wait) {
        headers.push_back({std::string{wait_header}, std::to_string(to_ms(*query.wait))});
    }
    return headers;
}

http_header write_confirmation(duration since_query)
{
    return {std::string{confirmation_header}, std::to_string(to_ms(since_query))};
}

std::optional<duration> read_confirmation(const http_headers& headers)
{
    return read_ms(headers, confirmation_header);
}

http_headers write_copy_era(store_era era)
{
    if (era == store_era{}) {
        return {};
    }
    return {{std::string{era_header}, std::to_string(era.value())}};
}

store_era read_copy_era(const http_headers& headers)
{
    const auto* era = find_header_ignoring_case(headers, era_header);
    return era == nullptr ? store_era{} : parse_store_era(*era);
}

std::optional<copy_query> read_copy_query(std::string_view target, const http_headers& headers)
{
    const bool small_only = consume_suffix(target, small_parameter);
    const bool accepts_changes = consume_suffix(target, changes_parameter);
    const bool from_watcher = consume_suffix(target, watcher_parameter);
    const auto query_start = target.find(revision_parameter);
    if (query_start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = target.substr(query_start + revision_parameter.size());
    std::uint64_t revision = 0;
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), revision);
    if (parsed.ec != std::errc{} || parsed.ptr != number.data() + number.size()) {
        return std::nullopt;
    }
    for (const auto kind :
         {object_kind::configuration, object_kind::targets, object_kind::evacuations}) {
        if (target.substr(0, query_start) == copy_path(kind)) {
            const store_position newer_than{read_copy_era(headers), store_revision{revision}};
            auto wait = read_ms(headers, wait_header);
            if (wait) {
                wait = std::clamp(*wait, duration{}, max_copy_wait);
            }
            return copy_query{kind, newer_than, from_watcher, accepts_changes, small_only, wait};
        }
    }
    return std::nullopt;
}

} // namespace endivelatch
