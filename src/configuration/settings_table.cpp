#include "settings_table.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace endivelatch {

namespace {

constexpr double seconds_per_day = 86'400;
constexpr double max_booking_retention = 2 * seconds_per_day; // The ledger deletes older records.
constexpr double max_count = 1'000'000;

constexpr std::array<setting_definition, 9> definitions{{
    {"load_bound", &fleet_defaults::load_bound, 1.01, 100},
    {"organisation_cap", &fleet_defaults::organisation_cap, 1, max_count},
    {"queue_deadline", &fleet_defaults::queue_deadline, 0.01, 600},
    {"request_timeout", &fleet_defaults::request_timeout, 0.1, 3600},
    {"entry_lifetime", &fleet_defaults::entry_lifetime, 1, 3600},
    {"retry_share", &fleet_defaults::retry_share, 0, 1},
    {"service_sockets", &fleet_defaults::service_sockets, 1, 10'000},
    {"queue_length", &fleet_defaults::queue_length, 0, max_count},
    {"booking_retention", &fleet_defaults::booking_retention, 60, max_booking_retention},
}};

} // namespace

std::span<const setting_definition> settings_table()
{
    return definitions;
}

const setting_definition* find_setting(std::string_view name)
{
    const auto* const it =
        std::find_if(definitions.begin(), definitions.end(),
                     [&](const setting_definition& definition) { return definition.name == name; });
    return it == definitions.end() ? nullptr : it;
}

double read_setting(const fleet_defaults& settings, const setting_definition& definition)
{
    return std::visit(
        overloaded{[&](double fleet_defaults::*m) { return settings.*m; },
                   [&](std::uint32_t fleet_defaults::*m) { return double{1} * (settings.*m); },
                   [&](duration fleet_defaults::*m) {
                       return std::chrono::duration<double>(settings.*m).count();
                   }},
        definition.member);
}

void write_setting(fleet_defaults& settings, const setting_definition& definition, double value)
{
    std::visit(overloaded{[&](double fleet_defaults::*m) { settings.*m = value; },
                          [&](std::uint32_t fleet_defaults::*m) {
                              settings.*m = static_cast<std::uint32_t>(std::llround(value));
                          },
                          [&](duration fleet_defaults::*m) {
                              settings.*m = std::chrono::round<duration>(
                                  std::chrono::duration<double>(value));
                          }},
               definition.member);
}

} // namespace endivelatch
