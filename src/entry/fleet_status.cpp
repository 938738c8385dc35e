#include "endivelatch/entry/fleet_status.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace endivelatch {

namespace {

/// A column of the table: its title and the metric that it shows.
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

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

std::int64_t largest(const std::vector<router_status>& fleet, std::string_view name)
{
    std::int64_t most = 0;
    for (const auto& it : fleet) {
        most = std::max(most, it.value(name));
    }
    return most;
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
        std::int64_t n = 0;
        const auto read = std::from_chars(number.data(), number.data() + number.size(), n);
        if (read.ec == std::errc{} && read.ptr == number.data() + number.size()) {
            values.emplace(line.substr(0, space), n);
        }
    }
    return values;
}

std::int64_t router_status::value(std::string_view name) const
{
    const auto it = values.find("endivelatch_" + std::string{name});
    return it == values.end() ? 0 : it->second;
}

std::vector<std::string> find_problems(const std::vector<router_status>& fleet)
{
    const auto newest = largest(fleet, "configuration_version");
    const auto routers = largest(fleet, "live_routers");
    std::vector<std::string> all;
    for (const auto& it : fleet) {
        const auto note = [&](const std::string& what) { all.push_back(it.address + ": " + what); };
        if (!it.error.empty()) {
            note("does not answer: " + it.error);
            continue;
        }
        if (it.value("ready") == 0) {
            note("is not ready");
        }
        if (it.value("configuration_version") < newest) {
            note("holds configuration " + std::to_string(it.value("configuration_version")) +
                 ", others hold " + std::to_string(newest));
        }
        for (const auto* kind : {"configuration", "targets"}) {
            if (it.value("store_connected{kind=\"" + std::string{kind} + "\"}") == 0) {
                note("has lost the store (" + std::string{kind} + ")");
            }
        }
        if (it.value("live_routers") < routers) {
            note("knows " + std::to_string(it.value("live_routers")) + " routers, others " +
                 std::to_string(routers));
        }
        if (it.value("log_lines_dropped") > 0) {
            note("dropped " + std::to_string(it.value("log_lines_dropped")) + " lines of its log");
        }
    }
    return all;
}

std::string to_table(const std::vector<router_status>& fleet)
{
    std::string text = padded("router", address_width);
    for (const auto& it : columns) {
        text += padded(std::string{it.title}, column_width);
    }
    text += '\n';
    for (const auto& router : fleet) {
        text += padded(router.address, address_width);
        for (const auto& it : columns) {
            text += padded(router.error.empty() ? std::to_string(router.value(it.metric)) : "-",
                           column_width);
        }
        text += '\n';
    }
    return text;
}

} // namespace endivelatch
