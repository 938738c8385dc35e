#include "endivelatch/entry/fleet_status.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace endivelatch {

namespace {

/// A column of the status table: its title and the metric that it shows.
struct column {
    std::string_view title;
    std::string_view metric;
};

constexpr std::array<column, 10> columns{{
    {"ready", "ready"},
    {"routers", "live_routers"},
    {"targets", "targets"},
    {"config", "configuration_version"},
    {"store", "store_connected{kind=\"configuration\"}"},
    {"active", "requests_active"},
    {"requests", "requests"},
    {"whole", "requests_finished{outcome=\"complete\"}"},
    {"unknown", "requests_finished{outcome=\"unknown\"}"},
    {"not_run", "requests_finished{outcome=\"not_run\"}"},
}};

constexpr std::size_t address_width = 22;
constexpr std::size_t column_width = 10;

std::string pad(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

std::int64_t max_value(const std::vector<router_status>& fleet, std::string_view name)
{
    std::int64_t highest = 0;
    for (const auto& router : fleet) {
        highest = std::max(highest, router.value(name));
    }
    return highest;
}

} // namespace

metric_values parse_metrics(std::string_view text)
{
    metric_values values;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto space = line.rfind(' ');
        if (line.starts_with('#') || space == std::string_view::npos) {
            continue;
        }
        const auto number = line.substr(space + 1);
        std::int64_t value = 0;
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
        if (parsed.ec == std::errc{} && parsed.ptr == number.data() + number.size()) {
            values.emplace(line.substr(0, space), value);
        }
    }
    return values;
}

std::int64_t router_status::value(std::string_view name) const
{
    const auto it = values.find("endivelatch_" + std::string{name});
    return it == values.end() ? 0 : it->second;
}

bool router_status::has(std::string_view name) const
{
    return values.contains("endivelatch_" + std::string{name});
}

std::vector<std::string> find_problems(const std::vector<router_status>& fleet)
{
    const auto newest_version = max_value(fleet, "configuration_version");
    const auto max_routers = max_value(fleet, "live_routers");
    std::vector<std::string> problems;
    for (const auto& router : fleet) {
        const auto add_problem = [&](const std::string& problem) {
            problems.push_back(router.address + ": " + problem);
        };
        if (!router.error.empty()) {
            add_problem("does not answer: " + router.error);
            continue;
        }
        if (router.value("ready") == 0) {
            add_problem("is not ready");
        }
        if (router.value("configuration_version") < newest_version) {
            add_problem("holds configuration " +
                        std::to_string(router.value("configuration_version")) + ", others hold " +
                        std::to_string(newest_version));
        }
        for (const auto* kind : {"configuration", "targets", "evacuations"}) {
            const auto name = "store_connected{kind=\"" + std::string{kind} + "\"}";
            const bool is_read = kind != std::string_view{"evacuations"} || router.has(name);
            if (is_read && router.value(name) == 0) {
                add_problem("has lost contact with the store (" + std::string{kind} + ")");
            }
        }
        if (router.value("live_routers") < max_routers) {
            add_problem("knows " + std::to_string(router.value("live_routers")) +
                        " routers, others know " + std::to_string(max_routers));
        }
        if (router.value("log_lines_dropped") > 0) {
            add_problem("dropped " + std::to_string(router.value("log_lines_dropped")) +
                        " log lines");
        }
    }
    return problems;
}

std::string to_table(const std::vector<router_status>& fleet)
{
    std::string text = pad("router", address_width);
    for (const auto& col : columns) {
        text += pad(std::string{col.title}, column_width);
    }
    text += '\n';
    for (const auto& router : fleet) {
        text += pad(router.address, address_width);
        for (const auto& col : columns) {
            text += pad(router.error.empty() ? std::to_string(router.value(col.metric)) : "-",
                        column_width);
        }
        text += '\n';
    }
    return text;
}

} // namespace endivelatch
