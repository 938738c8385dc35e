#include "endivelatch/base/counters.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/hybrid_clock.hpp"
#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/json_text.hpp"
#include "endivelatch/base/log_event.hpp"

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace endivelatch {
namespace {

TEST(request_id_text, is_equal_after_formatting_and_parsing_with_dots_in_the_router_name)
{
    const request_id id{router_id{"r1.gent"}, incarnation{0x5f}, 17};
    EXPECT_EQ(to_string(id), "r1.gent.5f.11");
    EXPECT_EQ(parse_request_id(to_string(id)), id);
}

TEST(request_id_text, is_rejected_when_malformed)
{
    for (const auto* it : {"", ".", "..", "a", "a.1", ".1.2", "a.x.1", "a.1.", "a.1.g"}) {
        EXPECT_FALSE(parse_request_id(it).has_value()) << it;
    }
}

TEST(json_text, depth_counts_arrays_and_objects_outside_of_strings)
{
    EXPECT_EQ(json_depth("7"), 0U);
    EXPECT_EQ(json_depth("[]"), 1U);
    EXPECT_EQ(json_depth(R"({"a":[1,{"b":2}],"c":[]})"), 3U);
    EXPECT_EQ(json_depth(R"(["[[[[", "\"[[", "\\", [1]])"), 2U);
}

// review/1: values that are printed, copied or merged recurse once a level.
TEST(json_text, nested_too_deeply_is_not_parsed)
{
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    EXPECT_TRUE(parse_json(nested(max_json_depth)).is_array());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(nested(1'000'000)).is_discarded());
    EXPECT_TRUE(parse_json("[1").is_discarded());
}

TEST(digest, matches_published_vectors)
{
    EXPECT_EQ(to_hex(sha256("abc")),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(to_hex(hmac_sha256("Jefe", "what do ya want for nothing?")),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(base64url, is_equal_after_encoding_and_decoding_at_every_length)
{
    std::string bytes;
    for (int n = 0; n < 40; ++n) {
        EXPECT_EQ(from_base64url(to_base64url(bytes)), bytes);
        bytes += static_cast<char>(n * 37);
    }
    EXPECT_FALSE(from_base64url("a+b/").has_value());
}

TEST(hybrid_clock, never_issues_a_timestamp_below_a_received_one)
{
    hybrid_clock clock;
    const auto first = clock.local(wall_time{duration{100}});
    const auto second = clock.received(wall_time{duration{50}}, hybrid_time{500, 7});
    const auto third = clock.local(wall_time{duration{60}});
    EXPECT_LT(first, second);
    EXPECT_GT(second, (hybrid_time{500, 7}));
    EXPECT_LT(second, third);
}

TEST(log_event, quotes_values_that_contain_separators)
{
    log_event event{"dispatch"};
    event.add("target", target_id{"t1"}).add("reason", "a \"b\"\nc").add("n", 3);
    EXPECT_EQ(event.to_line(), "event=dispatch target=t1 reason=\"a \\\"b\\\"\\nc\" n=3");
}

TEST(counters, are_written_sorted_with_their_type)
{
    counters all;
    all.add("requests", 2, "outcome=\"complete\"");
    all.set("routers", 8);
    EXPECT_EQ(all.to_text(), "# TYPE endivelatch_requests counter\n"
                             "endivelatch_requests{outcome=\"complete\"} 2\n"
                             "# TYPE endivelatch_routers gauge\nendivelatch_routers 8\n");
}

} // namespace
} // namespace endivelatch
