#include "entry_reader.hpp"

#include "object_fields.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endivelatch {

entry_reader::entry_reader(const nlohmann::json& value, std::string place, findings& faults)
    : value_{value}, place_{std::move(place)}, faults_{faults}
{
}

const nlohmann::json* entry_reader::find(std::string_view field)
{
    read_.emplace(field);
    const auto it = value_.find(field);
    return it == value_.end() ? nullptr : &*it;
}

std::string entry_reader::required_text(std::string_view field)
{
    if (find(field) == nullptr) {
        report(field, "is missing");
        return {};
    }
    auto out = text(field);
    if (out.empty() && value_.at(std::string{field}).is_string()) {
        report(field, "is empty");
    }
    return out;
}

std::string entry_reader::text(std::string_view field)
{
    const auto* const it = find(field);
    if (it == nullptr) {
        return {};
    }
    if (!it->is_string()) {
        report(field, "is not a text");
        return {};
    }
    return it->get<std::string>();
}

std::vector<std::string> entry_reader::texts(std::string_view field)
{
    const auto* const it = find(field);
    std::vector<std::string> out;
    if (it == nullptr) {
        return out;
    }
    if (!it->is_array()) {
        report(field, "is not a list");
        return out;
    }
    for (std::size_t n = 0; n < it->size(); ++n) {
        if (it->at(n).is_string()) {
            out.push_back(it->at(n).get<std::string>());
            continue;
        }
        report(std::string{field} + "/" + std::to_string(n), "is not a text");
    }
    return out;
}

bool entry_reader::flag(std::string_view field, bool otherwise)
{
    const auto* const it = find(field);
    if (it == nullptr) {
        return otherwise;
    }
    if (!it->is_boolean()) {
        report(field, "is not true or false");
        return otherwise;
    }
    return it->get<bool>();
}

double entry_reader::number(std::string_view field, double otherwise, double lowest, double highest)
{
    const auto* const it = find(field);
    if (it == nullptr) {
        return otherwise;
    }
    if (!it->is_number()) {
        report(field, "is not a number");
        return otherwise;
    }
    const auto out = it->get<double>();
    if (!(out >= lowest && out <= highest)) {
        report(field, it->dump() + " is outside the range " + nlohmann::json(lowest).dump() +
                          " to " + nlohmann::json(highest).dump());
        return otherwise;
    }
    return out;
}

std::uint32_t entry_reader::count(std::string_view field, std::uint32_t otherwise,
                                  std::uint32_t lowest)
{
    constexpr double highest = std::numeric_limits<std::uint32_t>::max();
    const auto out = number(field, otherwise, lowest, highest);
    if (out != std::floor(out)) {
        report(field, "is not a whole number");
        return otherwise;
    }
    return static_cast<std::uint32_t>(out);
}

void entry_reader::report(std::string_view field, std::string message)
{
    faults_.push_back({place_ + "/" + std::string{field}, std::move(message)});
}

void entry_reader::report_unread()
{
    for (const auto& [field, value] : value_.items()) {
        if (!read_.contains(field) && field != stamp_field) {
            report(field, "field \"" + field + "\" does not exist");
        }
    }
}

} // namespace endivelatch
