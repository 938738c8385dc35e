#pragma once

#include "endivelatch/configuration/documents.hpp"

#include <span>
#include <string_view>
#include <variant>

namespace endivelatch {

/// Pointer to the member of `fleet_defaults` that stores a setting.
using setting_member = std::variant<double fleet_defaults::*, std::uint32_t fleet_defaults::*,
                                    duration fleet_defaults::*>;

/// Name, member and permitted range of a setting; durations in seconds.
struct setting_definition {
    std::string_view name;
    setting_member member;
    double minimum;
    double maximum;
};

/// Returns the definitions of all settings.
std::span<const setting_definition> settings_table();

/// Returns the definition of a setting, or nullptr if there is none.
const setting_definition* find_setting(std::string_view name);

/// Returns the value of a setting; durations in seconds.
double read_setting(const fleet_defaults& settings, const setting_definition& definition);

/// Sets a setting; durations in seconds.
void write_setting(fleet_defaults& settings, const setting_definition& definition, double value);

} // namespace endivelatch
