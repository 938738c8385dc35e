#include "platform/protocol.hpp"

#include <array>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

/// Parses randomly damaged store responses, objects and settings. Each must yield a value or at
/// least one finding, and must not crash.
namespace endivelatch {
namespace {

using platform::protocol;

constexpr std::string_view page_text =
    R"({"Items":[{"Metadata":{"Name":"a","Revision":7},"Spec":{"x":[1,"b"]},"Status":null}],)"
    R"("HasMore":false,"At":9})";
constexpr std::string_view changes_text =
    R"({"events":[{"Deleted":true,"Object":{"Metadata":{"Name":"a","Revision":8},"Spec":{}}}],)"
    R"("At":8})";
constexpr std::string_view target_text =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"ready",)"
    R"("Sequence":4,"born":1700000000000})";
constexpr std::string_view configuration_text =
    R"({"Version":3,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Type":"streaming",)"
    R"("TimeoutMs":1500,"TargetLatencyMs":200,"Priority":1,"Service":"s","MaxAttempts":2,)"
    R"("Anonymous":false,"StreamResume":true,"TrafficSplit":[{"Service":"s","Weight":3}]}],)"
    R"("Services":[{"Name":"s","HealthPath":"/healthz","MaxConnections":4}],)"
    R"("Limits":{"MaxHeaderBytes":4096,"MaxBodyBytes":10000},)"
    R"("Tenants":[{"Name":"t","ApiKeys":["k"]}]})";
constexpr std::string_view settings_text = "NodeName = \"a\"\nIp = \"10.1.0.40\"\nZone = \"z\"\n"
                                           "Region = \"r\"\nInternalPorts = [7340,7355]\n"
                                           "Seeds = [\"10.1.0.40:8229\"]\n[Listen]\n"
                                           "Frontend = \"10.1.0.40:8227\"\n[Bounds]\nGraceS = 8\n"
                                           "[Platform]\nAddress = \"10.200.1.7:8223\"\n";

/// Returns the text with up to three random changes: a byte or value replaced, bytes removed or
/// bytes repeated.
std::string with_random_damage(std::string_view original)
{
    std::string text{original};
    constexpr std::array<std::string_view, 12> replacement_values{"null",
                                                                  "-1",
                                                                  "1e300",
                                                                  "\"\"",
                                                                  "[]",
                                                                  "{}",
                                                                  "true",
                                                                  "0.5",
                                                                  "99999999999999999999",
                                                                  "\"10.0.0.9:99999\"",
                                                                  "\"\\u0000\"",
                                                                  ","};
    const auto change_count = *rc::gen::inRange(1, 4);
    for (int change = 0; change < change_count && !text.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 9);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[position] = *rc::gen::arbitrary<char>();
            break;
        case 1: {
            // Replace the value after the next colon or equals sign.
            const auto begin = text.find_first_of(":=", position);
            const auto end = text.find_first_of(",}]\n", begin);
            if (begin != std::string::npos && end != std::string::npos) {
                text.replace(begin + 1, end - begin - 1,
                             replacement_values.at(
                                 *rc::gen::inRange<std::size_t>(0, replacement_values.size())));
            }
            break;
        }
        case 2:
            text.erase(position, length);
            break;
        default:
            text.insert(position, text.substr(position, length));
        }
    }
    return text;
}

template <class T>
bool has_value_or_findings(const result<T>& read)
{
    return has_value(read) || !findings_of(read).empty();
}

RC_GTEST_PROP(platform_bodies, damaged_lists_and_changes_are_read_or_refused, ())
{
    RC_ASSERT(has_value_or_findings(protocol::read_page(with_random_damage(page_text))));
    RC_ASSERT(has_value_or_findings(protocol::read_changes(with_random_damage(changes_text))));
}

RC_GTEST_PROP(platform_bodies, damaged_registrations_are_read_or_refused, ())
{
    const mirrored_object object{"i-1", store_revision{1}, with_random_damage(target_text)};
    const auto read = protocol::read_target(object);
    RC_ASSERT(has_value_or_findings(read));
    if (has_value(read)) {
        RC_ASSERT(value_of(read).address.port != 0);
    }
}

RC_GTEST_PROP(platform_bodies, damaged_configurations_are_read_or_refused, ())
{
    const mirrored_object object{"main", store_revision{1}, with_random_damage(configuration_text)};
    RC_ASSERT(has_value_or_findings(protocol::read_configuration(object)));
}

RC_GTEST_PROP(platform_bodies, damaged_settings_are_read_or_refused, ())
{
    RC_ASSERT(has_value_or_findings(protocol::read_settings(with_random_damage(settings_text))));
}

} // namespace
} // namespace endivelatch
