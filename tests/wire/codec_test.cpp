#include "endivelatch/wire/codec.hpp"

#include "endivelatch/wire/hello.hpp"
#include "wire/message_samples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivelatch {
namespace {

/// Replaces one to four bytes by arbitrary ones and truncates at an arbitrary length.
std::string corrupt(std::string bytes)
{
    const auto count = *rc::gen::inRange(1, 5);
    for (int n = 0; n < count; ++n) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    return bytes.substr(0, *rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
}

/// Returns whether the result holds a value or at least one finding.
template <class T>
bool is_value_or_findings(const result<T>& decoded)
{
    return has_value(decoded) || !findings_of(decoded).empty();
}

class message_kinds : public testing::TestWithParam<peer_message> {};

TEST_P(message_kinds, are_equal_after_encoding_and_decoding)
{
    const auto message = sample_envelope(GetParam());
    const auto bytes = encode(message);
    const auto decoded = decode(bytes);
    ASSERT_TRUE(has_value(decoded)) << to_string(findings_of(decoded));
    EXPECT_EQ(value_of(decoded).from, message.from);
    EXPECT_EQ(value_of(decoded).from_incarnation, message.from_incarnation);
    EXPECT_EQ(value_of(decoded).stamp, message.stamp);
    EXPECT_EQ(value_of(decoded).body.index(), message.body.index());
    EXPECT_EQ(encode(value_of(decoded)), bytes);
}

TEST_P(message_kinds, are_rejected_when_truncated_or_extended)
{
    const auto bytes = encode(sample_envelope(GetParam()));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(has_value(decode(std::string_view{bytes}.substr(0, size)))) << size;
    }
    EXPECT_FALSE(has_value(decode(bytes + "x")));
}

INSTANTIATE_TEST_SUITE_P(all, message_kinds, testing::ValuesIn(sample_messages()));

TEST(messages, have_a_sample_of_each_kind)
{
    const auto samples = sample_messages();
    ASSERT_EQ(samples.size(), std::variant_size_v<peer_message>);
    for (std::size_t n = 0; n < samples.size(); ++n) {
        EXPECT_EQ(samples[n].index(), n);
    }
}

TEST(messages, keep_each_field_of_a_forward_request)
{
    const auto message = sample_forward();
    const auto decoded = value_of(decode(encode(sample_envelope(message))));
    const auto& out = std::get<forward_request>(decoded.body);
    EXPECT_EQ(out.key, message.key);
    EXPECT_EQ(out.target, message.target);
    EXPECT_EQ(out.organisation, message.organisation);
    EXPECT_EQ(out.caller, message.caller);
    EXPECT_EQ(out.chat, message.chat);
    EXPECT_EQ(out.prefix_hash, message.prefix_hash);
    EXPECT_EQ(out.work_tokens, message.work_tokens);
    EXPECT_EQ(out.priority, message.priority);
    EXPECT_EQ(out.deadline, message.deadline);
    EXPECT_EQ(out.repeat, message.repeat);
    EXPECT_EQ(out.config_version, message.config_version);
    EXPECT_EQ(out.method, message.method);
    EXPECT_EQ(out.path, message.path);
    EXPECT_EQ(out.content_type, message.content_type);
    EXPECT_EQ(out.streams, message.streams);
    EXPECT_EQ(*out.body, *message.body);
}

TEST(messages, keep_each_field_of_a_load_report)
{
    gossip_packet packet;
    packet.loads = {{target_key{7}, 12, std::chrono::milliseconds{250}, 2.5},
                    {target_key{8}, 3, std::chrono::milliseconds{40}, std::nullopt}};
    EXPECT_EQ(value_of(decode_gossip(encode(packet))).loads, packet.loads);
}

TEST(messages, load_reports_without_slowdown_have_the_same_bytes_as_before_it_existed)
{
    gossip_packet packet;
    packet.loads = {{target_key{7}, 12, std::chrono::milliseconds{250}, std::nullopt}};
    // The fields 1 to 3 as 32-bit numbers in variable length, and the end of the struct.
    const std::string expected{"\x15\x0e\x15\x18\x15\xf4\x03\x00", 8};
    EXPECT_NE(encode(packet).find(expected), std::string::npos);
    packet.loads.front().slowdown = 1;
    EXPECT_EQ(encode(packet).find(expected), std::string::npos);
}

TEST(messages, implausible_slowdowns_of_load_reports_are_ignored)
{
    for (const auto slowdown : {0.0, -1.0, 0.05, 1e9}) {
        gossip_packet packet;
        packet.loads = {{target_key{7}, 12, std::chrono::milliseconds{250}, slowdown}};
        const auto loads = value_of(decode_gossip(encode(packet))).loads;
        ASSERT_EQ(loads.size(), 1U);
        EXPECT_EQ(loads.front().in_flight, 12U);
        EXPECT_FALSE(loads.front().slowdown);
    }
}

TEST(messages, with_excessive_lengths_are_rejected_before_allocation)
{
    // A message header whose first field, a string, has a declared length of 2 GB.
    const std::string bytes{"\x18\xff\xff\xff\xff\x07", 6};
    EXPECT_FALSE(has_value(decode(bytes)));
    EXPECT_FALSE(has_value(decode_gossip(bytes)));
    EXPECT_FALSE(has_value(decode_hello(bytes)));
    EXPECT_FALSE(has_value(decode(std::string(max_message_size + 1, '\0'))));
    EXPECT_FALSE(has_value(decode_gossip(std::string(max_gossip_size + 1, '\0'))));
}

RC_GTEST_PROP(messages, never_crash_the_decoder, ())
{
    const auto samples = sample_messages();
    const auto index = *rc::gen::inRange<std::size_t>(0, samples.size());
    const auto bytes = corrupt(encode(sample_envelope(samples[index])));
    const auto decoded = decode(bytes);
    RC_ASSERT(is_value_or_findings(decoded));
}

RC_GTEST_PROP(messages, never_crash_the_decoder_with_random_bytes, (const std::string& bytes))
{
    static_cast<void>(decode(bytes));
    static_cast<void>(decode_gossip(bytes));
    static_cast<void>(decode_hello(bytes));
}

TEST(gossip, is_equal_after_encoding_and_decoding)
{
    const auto packet = sample_packet();
    const auto decoded = decode_gossip(encode(packet));
    ASSERT_TRUE(has_value(decoded)) << to_string(findings_of(decoded));
    EXPECT_EQ(value_of(decoded), packet);
    gossip_packet plain;
    plain.from = router_id{"r"};
    EXPECT_EQ(value_of(decode_gossip(encode(plain))), plain);
}

RC_GTEST_PROP(gossip, never_crashes_the_decoder, ())
{
    const auto decoded = decode_gossip(corrupt(encode(sample_packet())));
    RC_ASSERT(is_value_or_findings(decoded));
}

TEST(hello, is_equal_after_encoding_and_decoding_and_requires_a_full_nonce)
{
    const link_hello hello{router_id{"gent-1"}, incarnation{7}, std::string(nonce_size, 'n')};
    EXPECT_EQ(value_of(decode_hello(encode(hello))), hello);
    EXPECT_FALSE(has_value(decode_hello(encode(link_hello{hello.from, hello.from_run, "short"}))));
    EXPECT_FALSE(has_value(decode_hello(encode(hello) + "x")));
}

TEST(hello, derives_a_separate_key_for_each_direction_and_connection)
{
    const link_hello a{router_id{"a"}, incarnation{1}, std::string(nonce_size, 'a')};
    const link_hello b{router_id{"b"}, incarnation{1}, std::string(nonce_size, 'b')};
    auto later = a;
    later.nonce = std::string(nonce_size, 'c');
    const auto key = derive_frame_key("fleet", a, b);
    EXPECT_NE(key, derive_frame_key("fleet", b, a));
    EXPECT_NE(key, derive_frame_key("fleet", later, b));
    EXPECT_NE(key, derive_frame_key("other", a, b));
}

} // namespace
} // namespace endivelatch
