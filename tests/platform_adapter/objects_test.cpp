#include "platform/protocol.hpp"

#include "endivelatch/base/json_text.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace endivelatch {
namespace {

using platform::protocol;

TEST(platform_objects, builds_list_and_watch_calls)
{
    EXPECT_EQ(protocol::list_call(object_kind::targets, {}).target, "/-/objects/servers");
    EXPECT_EQ(protocol::list_call(object_kind::targets, {"i-7", false}).target,
              "/-/objects/servers?After=i-7");
    EXPECT_EQ(protocol::list_call(object_kind::targets, {"", true}).target,
              "/-/objects/servers?StaleRead=1");
    EXPECT_EQ(protocol::list_call(object_kind::targets, {"i-7", true}).target,
              "/-/objects/servers?After=i-7&StaleRead=1");
    EXPECT_EQ(protocol::watch_call(object_kind::configuration, store_revision{530},
                                   std::chrono::seconds{5})
                  .target,
              "/-/objects/config?Watch=530&WaitMs=5000");
}

// What the operator writes besides the name does not matter.
TEST(platform_objects, an_evacuation_names_its_domain_even_if_it_is_unreadable)
{
    EXPECT_EQ(protocol::list_call(object_kind::evacuations, {}).target, "/-/objects/evacuations");
    const auto page = protocol::read_page(
        R"({"Items":[{"Metadata":{"Name":"zone-a","Revision":7},"Spec":{}},
            {"Metadata":{"Name":"zone-b","Revision":8}},
            {"Metadata":{"Name":"zone-c","Revision":9},"Spec":{"x":}}],"HasMore":false,"At":9})");
    ASSERT_TRUE(has_value(page));
    std::string names;
    for (const auto& it : value_of(page).objects) {
        names += protocol::read_evacuation(it).str() + ' ';
    }
    EXPECT_EQ(names, "zone-a zone-b zone-c ");
}

TEST(platform_objects, pages_are_unchanged_after_writing_and_reading)
{
    const auto read = protocol::read_page(
        R"({"Items":[{"Metadata":{"Name":"a","Revision":7},"Spec":{"x":[1,"é"]},"Status":null},
            "no object",{"Metadata":{"Name":3}}],"HasMore":false,"At":9})");
    ASSERT_TRUE(has_value(read));
    ASSERT_EQ(value_of(read).objects.size(), 1U); // Malformed items are skipped.
    const auto reread = protocol::read_page(protocol::write_page(value_of(read)));
    ASSERT_TRUE(has_value(reread));
    EXPECT_EQ(value_of(reread).objects, value_of(read).objects);
    EXPECT_EQ(value_of(reread).position.revision, store_revision{9});
}

/// Returns an array that holds arrays, `depth` levels in all.
std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// review/1: printing the nested field overflowed the stack of all routers.
TEST(platform_objects, a_spec_nested_too_deeply_names_nothing_and_the_others_hold)
{
    const auto odd = R"({"Metadata":{"Name":"odd","Revision":8},"Spec":{"Zone":)" +
                     nested_arrays(200'000) + "}}";
    const std::string sound = R"({"Metadata":{"Name":"sound","Revision":7},"Spec":{"x":1}})";
    const auto page =
        protocol::read_page("{\"Items\":[" + odd + "," + sound + "],\"HasMore\":false,\"At\":9}");
    ASSERT_TRUE(has_value(page));
    ASSERT_EQ(value_of(page).objects.size(), 2U);
    EXPECT_FALSE(has_value(protocol::read_target(value_of(page).objects[0])));
    EXPECT_EQ(value_of(page).objects[1].content, R"({"x":1})");
    EXPECT_LT(protocol::write_page(value_of(page)).size(), 1'000U);

    const auto changes =
        protocol::read_changes(R"({"events":[{"Deleted":false,"Object":)" + odd +
                               R"(},{"Deleted":false,"Object":)" + sound + R"(}],"At":9})");
    ASSERT_TRUE(has_value(changes));
    ASSERT_EQ(value_of(changes).changes.size(), 2U);
    EXPECT_FALSE(has_value(protocol::read_target(value_of(changes).changes[0].object)));
    EXPECT_LT(protocol::write_changes(value_of(changes)).size(), 1'000U);
}

std::string concatenate(std::initializer_list<std::string_view> parts)
{
    std::string all;
    for (const auto part : parts) {
        all += part;
    }
    return all;
}

// review/3: one entry that could not be parsed lost the whole page, so that no router got ready.
TEST(platform_objects, an_unreadable_spec_names_nothing_and_the_others_hold)
{
    const std::string sound = R"({"Metadata":{"Name":"a","Revision":7},"Spec":{"x":1}})";
    for (const std::string spec :
         {"{\"Note\":\"\xff\xfe\"}", R"({"Note":"\ud800"})", "{\"Note\":1e400}", "{\"Note\":01}",
          "nothing", "\"\x01\"", "{\"a\" 1}"}) {
        const auto odd = R"({"Metadata":{"Name":"odd","Revision":8},"Spec":)" + spec + "}";
        const auto page = protocol::read_page(
            concatenate({R"({"Items":[)", sound, ",", odd, R"(],"HasMore":true,"At":9})"}));
        ASSERT_TRUE(has_value(page)) << spec;
        ASSERT_EQ(value_of(page).objects.size(), 2U) << spec;
        EXPECT_EQ(value_of(page).objects[0].content, R"({"x":1})");
        EXPECT_EQ(value_of(page).objects[1].name, "odd"); // The next page follows after it.
        EXPECT_FALSE(has_value(protocol::read_target(value_of(page).objects[1])));
        EXPECT_TRUE(value_of(page).has_more);
        EXPECT_EQ(value_of(page).position.revision, store_revision{9});
        const auto copy = protocol::write_page(value_of(page));
        EXPECT_FALSE(parse_json(copy).is_discarded()) << copy;

        const auto changes = protocol::read_changes(concatenate(
            {R"({"events":[{"Deleted":false,"Object":)", odd, R"(},{"Deleted":true,"Object":)", odd,
             R"(},{"Deleted":false,"Object":)", sound, R"(}],"At":9})"}));
        ASSERT_TRUE(has_value(changes)) << spec;
        ASSERT_EQ(value_of(changes).changes.size(), 3U) << spec;
        EXPECT_FALSE(has_value(protocol::read_target(value_of(changes).changes[0].object)));
        EXPECT_TRUE(value_of(changes).changes[1].is_deleted);
        EXPECT_EQ(value_of(changes).changes[2].object.content, R"({"x":1})");
    }
}

// An entry whose metadata cannot be read has no name; the others hold.
TEST(platform_objects, unreadable_metadata_loses_only_its_item)
{
    const auto page = protocol::read_page(
        "{\"Items\":[{\"Metadata\":{\"Name\":\"\xff\",\"Revision\":8}},{\"Metadata\":1e400},"
        R"({"Metadata":{"Name":"a","Revision":7},"Status":1e400,"Spec":{}}],"At":9})");
    ASSERT_TRUE(has_value(page));
    ASSERT_EQ(value_of(page).objects.size(), 1U);
    EXPECT_EQ(value_of(page).objects[0].content, "{}");
}

TEST(platform_objects, brackets_and_quotes_without_counterpart_are_not_a_page)
{
    for (const char* body :
         {R"({"Items":[{],"At":9})", R"({"Items":["],"At":9})", R"({"Items":[}],"At":9})",
          R"({"Items":[1],"At":9)", R"({"Items":{},"At":9})", R"({"At" 9})"}) {
        EXPECT_FALSE(has_value(protocol::read_page(body))) << body;
    }
}

TEST(platform_objects, names_are_encoded_in_calls)
{
    EXPECT_EQ(protocol::list_call(object_kind::targets, {"i 7&a=\xc3\xa9", false}).target,
              "/-/objects/servers?After=i%207%26a%3D%C3%A9");
}

TEST(platform_objects, numbers_out_of_range_make_a_registration_unreadable)
{
    for (const std::string fields :
         {R"("Address":"10.0.0.9:99999","Slots":6)", R"("Address":"10.0.0.9:80","Slots":-1)",
          R"("Address":"10.0.0.9:80","Slots":1e300)",
          R"("Address":"10.0.0.9:80","Slots":4294967296)"}) {
        const auto spec = R"({"Service":"s","Zone":"z","State":"ready",)" + fields + "}";
        EXPECT_FALSE(has_value(protocol::read_target({"i-7", store_revision{1}, spec}))) << spec;
    }
}

TEST(platform_objects, a_configuration_nested_too_deeply_is_not_read)
{
    const auto spec = R"({"Version":1,"Other":)" + nested_arrays(200'000) + "}";
    EXPECT_FALSE(has_value(protocol::read_configuration({"main", store_revision{1}, spec})));
}

TEST(platform_objects, reads_changes)
{
    const auto read = protocol::read_changes(
        R"({"events":[{"Deleted":true,"Object":{"Metadata":{"Name":"a","Revision":8},"Spec":{}}},
            {"Deleted":false},5],"At":8})");
    ASSERT_TRUE(has_value(read));
    ASSERT_EQ(value_of(read).changes.size(), 1U);
    EXPECT_TRUE(value_of(read).changes[0].is_deleted);
    EXPECT_FALSE(has_value(protocol::read_changes("{\"events\":[]}")));
    EXPECT_FALSE(has_value(protocol::read_changes("[")));
}

TEST(platform_objects, changes_are_unchanged_after_writing_and_reading)
{
    object_changes changes;
    changes.position.revision = store_revision{9};
    changes.changes.push_back({{"a", store_revision{8}, R"({"x":[1,"é"]})"}, false});
    changes.changes.push_back({{"b", store_revision{9}, {}}, true});
    const auto read = protocol::read_changes(protocol::write_changes(changes));
    ASSERT_TRUE(has_value(read));
    const auto& reread = value_of(read);
    EXPECT_EQ(reread.position, changes.position);
    ASSERT_EQ(reread.changes.size(), 2U);
    EXPECT_EQ(reread.changes[0].object, changes.changes[0].object);
    EXPECT_FALSE(reread.changes[0].is_deleted);
    EXPECT_EQ(reread.changes[1].object.name, "b");
    EXPECT_TRUE(reread.changes[1].is_deleted);
}

TEST(platform_objects, reads_valid_registrations_and_rejects_malformed_ones)
{
    const auto target = protocol::read_target(
        {"i-7", store_revision{1},
         R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":64,"State":"draining",
             "Sequence":4,"born":1700000000000})"});
    ASSERT_TRUE(has_value(target)) << to_string(findings_of(target));
    EXPECT_EQ(value_of(target).pool.str(), "s");
    EXPECT_EQ(value_of(target).address, (endpoint{"10.0.0.9", 80}));
    EXPECT_TRUE(value_of(target).is_leaving);
    EXPECT_EQ(value_of(target).started.value(), 1'700'000'000'000U);
    for (const char* spec :
         {"7", "{}", R"({"Service":"s","Address":"10.0.0.9","Zone":"z","State":"ready"})",
          R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","State":"resting"})",
          R"({"Service":["s"],"Address":"10.0.0.9:80","Zone":"z","State":"ready"})"}) {
        EXPECT_FALSE(has_value(protocol::read_target({"i-7", store_revision{1}, spec}))) << spec;
    }
}

TEST(platform_objects, reads_how_long_a_target_is_cold)
{
    const auto read = [](const std::string& field) {
        return protocol::read_target(
            {"i-7", store_revision{9},
             R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","State":"ready")" + field + "}"});
    };
    EXPECT_EQ(value_of(read("")).cold_left, std::nullopt);
    EXPECT_EQ(value_of(read(R"(,"ColdRemainingMs":0)")).cold_left, duration{});
    EXPECT_EQ(value_of(read("")).revision, 9U);
    EXPECT_EQ(value_of(read(R"(,"ColdRemainingMs":1700)")).cold_left,
              std::chrono::milliseconds{1'700});
    for (const char* odd : {"-1", "\"soon\"", "1e30", "null"}) {
        EXPECT_FALSE(has_value(read(std::string{",\"ColdRemainingMs\":"} + odd))) << odd;
    }
}

TEST(platform_objects, reads_the_cold_start_limit_of_a_pool)
{
    const auto read = [](const std::string& fields) {
        return protocol::read_configuration(
            {"main", store_revision{1},
             R"({"Version":1,"Routes":[],"Services":[{"Name":"s")" + fields + "}]}"});
    };
    const auto limited = read(R"(,"ColdStartS":2.5,"ColdPerS":11.0)");
    ASSERT_TRUE(has_value(limited));
    const auto* pool = value_of(limited).find_pool(pool_id{"s"});
    ASSERT_TRUE(pool->cold_start);
    EXPECT_EQ(pool->cold_start->time, std::chrono::milliseconds{2'500});
    EXPECT_DOUBLE_EQ(pool->cold_start->rate.per_second, 11);
    EXPECT_FALSE(value_of(read("")).find_pool(pool_id{"s"})->cold_start);
    for (const char* odd : {"-1", "\"11\"", "1e300", "null"}) {
        EXPECT_FALSE(has_value(read(std::string{R"(,"ColdStartS":3,"ColdPerS":)"} + odd))) << odd;
    }
}

TEST(platform_objects, reads_a_configuration)
{
    const auto read = protocol::read_configuration(
        {"main", store_revision{1},
         R"({"Version":7,"Routes":[{"Name":"r","Host":"H.example","PathPrefix":"/p/",
             "Type":"streaming","TimeoutMs":4000,"TargetLatencyMs":500,"Priority":2,
             "TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],
             "MaxAttempts":2,"Anonymous":true,"SessionAffinity":true,"StreamResume":true,
             "TargetGapMs":250}],
             "Services":[{"Name":"a","HealthPath":"/h","MaxConnections":360,
                          "Engine":{"Slots":64,"KvCapacity":343073}},{"Name":"b"}],
             "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,
                       "IdleTimeoutMs":400},
             "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1}]})"});
    ASSERT_TRUE(has_value(read)) << to_string(findings_of(read));
    const auto& configuration = value_of(read);
    EXPECT_EQ(configuration.version(), traffic_version{7});
    const auto* route = configuration.find_route("h.example", "/p/x");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, request_kind::streaming);
    EXPECT_EQ(route->timeout, std::chrono::seconds{4});
    EXPECT_EQ(route->pools.size(), 2U);
    EXPECT_TRUE(route->is_anonymous);
    EXPECT_TRUE(route->is_idempotent());
    EXPECT_EQ(configuration.find_pool(pool_id{"a"})->engine->cache_tokens, 343'073U);
    EXPECT_FALSE(configuration.find_pool(pool_id{"b"})->engine);
    EXPECT_EQ(configuration.find_organisation("k2")->priority, 1U);
    EXPECT_EQ(configuration.find_organisation("k3"), nullptr);
    EXPECT_EQ(configuration.limits().sizes.head, 100U);
    EXPECT_EQ(configuration.limits().idle_timeout, std::chrono::milliseconds{400});
}

// From the review: when a version took the last organisation away, every key was accepted.
TEST(platform_objects, an_empty_list_of_organisations_needs_keys_that_nobody_holds)
{
    const auto needs_keys = [](const std::string& tenants) {
        const auto read = protocol::read_configuration(
            {"main", store_revision{1}, "{\"Version\":1,\"Routes\":[]" + tenants + "}"});
        return value_of(read).needs_keys();
    };
    EXPECT_TRUE(needs_keys(R"(,"Tenants":[])"));
    EXPECT_TRUE(needs_keys(R"(,"Tenants":[{"Name":"t","ApiKeys":["k"]}])"));
    EXPECT_FALSE(needs_keys(""));
}

TEST(platform_objects, reports_the_path_of_each_error_in_a_configuration)
{
    const auto read = protocol::read_configuration(
        {"main", store_revision{1},
         R"({"Version":"7","Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Type":"odd",
             "Service":"a"}],"Tenants":[{"Name":"t","ApiKeys":[5]}]})"});
    ASSERT_FALSE(has_value(read));
    const auto text = to_string(findings_of(read));
    for (const char* path : {"Version", "Routes[0].Type", "Tenants[0].ApiKeys"}) {
        EXPECT_NE(text.find(path), std::string::npos) << text;
    }
}

} // namespace
} // namespace endivelatch
