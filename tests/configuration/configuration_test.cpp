#include "endivelatch/configuration/administration.hpp"
#include "endivelatch/configuration/check.hpp"
#include "endivelatch/configuration/object_names.hpp"
#include "endivelatch/configuration/parse.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivelatch {

namespace {

using testing::HasSubstr;

TEST(parse_test, reports_all_errors_with_places)
{
    const auto parsed = parse_object("config/models", R"({"entries": {
        "m1": {"pool": 7, "versions": ["1", 2], "colour": "red"}, "m 2": {}}})");
    ASSERT_FALSE(has_value(parsed));
    const auto text = to_string(findings_of(parsed));
    EXPECT_THAT(text, HasSubstr("config/models#/entries/m1/pool: is not a string"));
    EXPECT_THAT(text, HasSubstr("config/models#/entries/m1/versions/1: is not a string"));
    EXPECT_THAT(text, HasSubstr("config/models#/entries/m1/colour: field \"colour\""));
    EXPECT_THAT(text, HasSubstr("config/models#/entries/m 2: id"));
    EXPECT_THAT(text, HasSubstr("config/models#/entries/m 2/pool: is missing"));
}

TEST(parse_test, parses_serialized_entry)
{
    target_document target;
    target.id = target_id{"t1"};
    target.pool = pool_id{"p"};
    target.domain = domain_id{"d"};
    target.region = region_id{"r"};
    target.kind = target_kind::service;
    target.url = "http://127.0.0.1:9001";
    target.contract.idempotent_calls = false;
    target.draining = true;
    const auto parsed = parse_target("t1", to_json_text(target), "t1");
    ASSERT_TRUE(has_value(parsed));
    EXPECT_EQ(to_json_text(value_of(parsed)), to_json_text(target));
}

TEST(check_test, reports_unknown_references_and_empty_reasons)
{
    const auto errors =
        check_documents({{"config/models", R"({"entries": {"m1": {"pool": "p1"}}})"},
                         {config_object_name(config_kind::organisations, "o1"),
                          R"({"entries": {"o1": {"models": ["m2"]}}})"},
                         {"config/exceptions", R"({"entries": {"e1": {"subject": "pool/p1",
            "setting": "load_bound", "value": 2, "reason": ""}}})"}});
    const auto text = to_string(errors);
    EXPECT_THAT(text, HasSubstr("pool \"p1\" has no target"));
    EXPECT_THAT(text, HasSubstr("model \"m2\" does not exist"));
    EXPECT_THAT(text, HasSubstr("entries/e1/reason: is empty"));
}

TEST(check_test, exception_overrides_one_setting_of_its_subject)
{
    configuration config;
    exception_document exception;
    exception.subject = "pool/p1";
    exception.setting = "queue_deadline";
    exception.value = 2.5;
    config.exceptions["e1"] = exception;
    EXPECT_EQ(effective_settings(config, "pool/p1").queue_deadline,
              std::chrono::milliseconds{2500});
    EXPECT_EQ(value_of(effective_setting(config, "queue_deadline", "pool/p2")), 10);
    EXPECT_FALSE(has_value(effective_setting(config, "no_such", "pool/p2")));
}

} // namespace

} // namespace endivelatch
