#include "endivelatch/wire/frame.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivelatch {
namespace {

constexpr std::size_t max_content = 1'000;
const std::string key(32, 'k');

/// Returns the contents read and whether a fault was found, when fed `step` bytes at a time.
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

TEST(frames, are_refused_when_repeated_or_of_another_key)
{
    const auto frame = encode_frame(key, "content");
    frame_reader reader{key, max_content};
    const auto [contents, is_faulty] = read_all(reader, frame + frame, 7);
    EXPECT_EQ(contents, std::vector<std::string>{"content"});
    EXPECT_TRUE(is_faulty);
    frame_reader other{std::string(32, 'x'), max_content};
    EXPECT_TRUE(read_all(other, frame, frame.size()).second);
}

TEST(frames, report_an_absurd_length_before_its_bytes_arrive)
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
    const authenticator seal{key};
    auto packet = sign_packet(seal, content);
    RC_ASSERT(value_of(verify_packet(seal, packet)) == content);
    const auto bit = *rc::gen::inRange<std::size_t>(0, packet.size() * 8);
    packet[bit / 8] = static_cast<char>(packet[bit / 8] ^ (1 << (bit % 8)));
    RC_ASSERT(!has_value(verify_packet(seal, packet)));
}

} // namespace
} // namespace endivelatch
