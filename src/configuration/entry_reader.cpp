#include "entry_reader.hpp"

#include "object_fields.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endivelatch {

entry_reader::entry_reader(const nlohmann::json& value, std::string place, findings& errors)
    : value_{value}, place_{std::move(place)}, errors_{errors}
{
}

const nlohmann::json* entry_reader::find_field(std::string_view field)
{
    known_fields_.emplace(field);
    const auto it = value_.find(field);
    return it == value_.end() ? nullptr : &*it;
}

std::string entry_reader::required_string(std::string_view field)
{
    if (find_field(field) == nullptr) {
        add_error(field, "is missing");
        return {};
    }
    auto out = optional_string(field);
    if (out.empty() && value_.at(std::string{field}).is_string()) {
        add_error(field, "is empty");
    }
    return out;
}

std::string entry_reader::optional_string(std::string_view field)
{
    const auto* const value = find_field(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        add_error(field, "is not a string");
        return {};
    }
    return value->get<std::string>();
}

std::vector<std::string> entry_reader::string_list(std::string_view field)
{
    const auto* const value = find_field(field);
    std::vector<std::string> out;
    if (value == nullptr) {
        return out;
    }
    if (!value->is_array()) {
        add_error(field, "is not an array");
        return out;
    }
    for (std::size_t n = 0; n < value->size(); ++n) {
        if (value->at(n).is_string()) {
            out.push_back(value->at(n).get<std::string>());
            continue;
        }
        add_error(std::string{field} + "/" + std::to_string(n), "is not a string");
    }
    return out;
}

bool entry_reader::boolean(std::string_view field, bool default_value)
{
    const auto* const value = find_field(field);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_boolean()) {
        add_error(field, "is not true or false");
        return default_value;
    }
    return value->get<bool>();
}

double entry_reader::number(std::string_view field, double default_value, double minimum,
                            double maximum)
{
    const auto* const value = find_field(field);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_number()) {
        add_error(field, "is not a number");
        return default_value;
    }
    const auto out = value->get<double>();
    if (!(out >= minimum && out <= maximum)) {
        add_error(field, value->dump() + " is outside the range " + nlohmann::json(minimum).dump() +
                             " to " + nlohmann::json(maximum).dump());
        return default_value;
    }
    return out;
}

std::uint32_t entry_reader::count(std::string_view field, std::uint32_t default_value,
                                  std::uint32_t minimum)
{
    constexpr double maximum = std::numeric_limits<std::uint32_t>::max();
    const auto out = number(field, default_value, minimum, maximum);
    if (out != std::floor(out)) {
        add_error(field, "is not a whole number");
        return default_value;
    }
    return static_cast<std::uint32_t>(out);
}

void entry_reader::add_error(std::string_view field, std::string message)
{
    errors_.push_back({place_ + "/" + std::string{field}, std::move(message)});
}

void entry_reader::report_unknown_fields()
{
    for (const auto& [field, value] : value_.items()) {
        if (!known_fields_.contains(field) && field != last_change_field) {
            add_error(field, "field \"" + field + "\" does not exist");
        }
    }
}

} // namespace endivelatch
