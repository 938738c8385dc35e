#include "platform_json.hpp"

#include "endivelatch/base/json_text.hpp"

#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

/// Converts an object; throws json::exception when a field is missing or has another type.
platform_object to_object(const json& from)
{
    return {from.at("name").get<std::string>(),
            object_version{from.at("version").get<std::uint64_t>()},
            from.at("document").get<std::string>()};
}

/// Parses the text and applies `parser`; returns nullopt if the text is not acceptable JSON or
/// `parser` throws json::exception.
template <class Parser>
auto parse_with(const std::string& text, Parser parser) -> std::optional<decltype(parser(json{}))>
{
    try {
        return parser(parse_json(text));
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::optional<objects_found> parse_object(const std::string& text)
{
    return parse_with(text, [](const json& from) {
        return objects_found{{to_object(from)},
                             object_version{from.at("store").get<std::uint64_t>()}};
    });
}

std::optional<objects_found> parse_objects(const std::string& text)
{
    return parse_with(text, [](const json& from) {
        objects_found found;
        for (const auto& it : from.at("objects")) {
            found.objects.push_back(to_object(it));
        }
        found.store = object_version{from.at("store").get<std::uint64_t>()};
        return found;
    });
}

std::optional<object_version> parse_version(const std::string& text, const char* field)
{
    return parse_with(text, [field](const json& from) {
        return object_version{from.at(field).get<std::uint64_t>()};
    });
}

std::optional<std::vector<platform_vm>> parse_vms(const std::string& text)
{
    return parse_with(text, [](const json& from) {
        std::vector<platform_vm> all;
        for (const auto& it : from.at("vms")) {
            all.push_back({it.at("name").get<std::string>(), it.at("address").get<std::string>(),
                           it.value("state", "live") == "leaving"});
        }
        return all;
    });
}

std::string encode_path(std::string_view text)
{
    constexpr std::string_view kept = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                      "0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (kept.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xFU];
    }
    return encoded;
}

} // namespace endivelatch
