#include "endivelatch/wire/frame.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivelatch {
namespace {

constexpr std::size_t max_content = 1'000;
const std::string key(32, 'k');

/// Feeds the bytes in pieces of `step` bytes; returns the contents and whether the reader failed.
std::pair<std::vector<std::string>, bool> read_all(frame_reader& reader, std::string_view bytes,
                                                   std::size_t step)
{
    std::vector<std::string> contents;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        reader.feed(bytes.substr(at, step));
        for (auto it = reader.next(); it; it = reader.next()) {
            if (!has_value(*it)) {
                return {contents, true};
            }
            contents.emplace_back(value_of(*it));
        }
    }
    return {contents, false};
}

RC_GTEST_PROP(frames, are_read_whole_however_the_bytes_arrive,
              (const std::vector<std::string>& sent))
{
    frame_writer writer{key};
    std::string bytes;
    for (const auto& it : sent) {
        writer.append(bytes, it);
    }
    frame_reader reader{key, max_content};
    const auto step = *rc::gen::inRange<std::size_t>(1, 100);
    RC_ASSERT(read_all(reader, bytes, step) == std::make_pair(sent, false));
}

RC_GTEST_PROP(frames, never_pass_with_a_flipped_bit, (const std::string& content))
{
    auto bytes = encode_frame(key, content);
    const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    frame_reader reader{key, max_content};
    RC_ASSERT(read_all(reader, bytes, bytes.size()).first.empty());
}

TEST(frames, are_rejected_when_replayed_or_signed_with_another_key)
{
    const auto frame = encode_frame(key, "content");
    frame_reader reader{key, max_content};
    const auto [contents, has_error] = read_all(reader, frame + frame, 7);
    EXPECT_EQ(contents, std::vector<std::string>{"content"});
    EXPECT_TRUE(has_error);
    frame_reader other{std::string(32, 'x'), max_content};
    EXPECT_TRUE(read_all(other, frame, frame.size()).second);
}

TEST(frames, with_an_excessive_length_are_rejected_before_the_content_arrives)
{
    frame_reader reader{key, max_content};
    reader.feed(std::string_view{"\x01\xff\xff\xff\xff", 5});
    const auto read = reader.next();
    ASSERT_TRUE(read && !has_value(*read));
    EXPECT_EQ(findings_of(*read),
              one_finding("frame", "length 4294967295 is above the limit of 1000"));
}

RC_GTEST_PROP(packets, never_pass_with_a_flipped_bit, (const std::string& content))
{
    const authenticator auth{key};
    auto packet = sign_packet(auth, content);
    RC_ASSERT(value_of(verify_packet(auth, packet)) == content);
    const auto bit = *rc::gen::inRange<std::size_t>(0, packet.size() * 8);
    packet[bit / 8] = static_cast<char>(packet[bit / 8] ^ (1 << (bit % 8)));
    RC_ASSERT(!has_value(verify_packet(auth, packet)));
}

} // namespace
} // namespace endivelatch
