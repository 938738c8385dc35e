#include "endivelatch/wire/frame.hpp"

#include <utility>

namespace endivelatch {
namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_offset = 1;
constexpr std::size_t length_size = 4;
constexpr std::size_t auth_tag_offset = length_offset + length_size;

/// Sequence number for the tags of gossip packets. No frame of a connection reaches it, so a
/// packet cannot pass as a frame.
constexpr std::uint64_t packet_sequence_number = ~std::uint64_t{0};

/// Number of consumed bytes at which `feed` removes them from the buffer.
constexpr std::size_t compaction_threshold = 65'536;

/// Appends the number in big-endian order.
void append_length(std::string& out, std::size_t n)
{
    for (auto shift = bits_per_byte * length_size; shift > 0; shift -= bits_per_byte) {
        out += static_cast<char>(n >> (shift - bits_per_byte));
    }
}

/// Returns the big-endian number.
std::size_t read_length(std::string_view bytes)
{
    std::size_t n = 0;
    for (const char it : bytes) {
        n = (n << bits_per_byte) | static_cast<unsigned char>(it);
    }
    return n;
}

std::string_view as_text(const auth_tag& tag)
{
    return {tag.data(), tag.size()};
}

} // namespace

void frame_writer::append(std::string& out, std::string_view content)
{
    out += static_cast<char>(frame_version);
    append_length(out, content.size());
    out += as_text(authenticator_.compute_tag(next_sequence_number_, content));
    out += content;
    ++next_sequence_number_;
}

void frame_reader::feed(std::string_view bytes)
{
    if (read_offset_ == buffer_.size()) {
        buffer_.clear();
        read_offset_ = 0;
    }
    if (read_offset_ >= compaction_threshold) {
        buffer_.erase(0, read_offset_);
        read_offset_ = 0;
    }
    buffer_ += bytes;
}

std::optional<result<std::string_view>> frame_reader::next()
{
    if (!error_.empty()) {
        return error_;
    }
    const auto rest = std::string_view{buffer_}.substr(read_offset_);
    if (rest.empty()) {
        return std::nullopt;
    }
    const auto version = static_cast<std::uint8_t>(rest.front());
    if (version != frame_version) {
        return fail("version " + std::to_string(version) + " is not " +
                    std::to_string(frame_version));
    }
    if (rest.size() < auth_tag_offset) {
        return std::nullopt;
    }
    const auto size = read_length(rest.substr(length_offset, length_size));
    if (size > max_content_) {
        return fail("length " + std::to_string(size) + " is above the limit of " +
                    std::to_string(max_content_));
    }
    if (rest.size() < frame_header_size + size) {
        return std::nullopt;
    }
    const auto content = rest.substr(frame_header_size, size);
    if (!authenticator_.verify(next_sequence_number_, content,
                               rest.substr(auth_tag_offset, auth_tag_size))) {
        return fail("authentication tag of frame " + std::to_string(next_sequence_number_) +
                    " does not match");
    }
    ++next_sequence_number_;
    read_offset_ += frame_header_size + size;
    return content;
}

result<std::string_view> frame_reader::fail(std::string message)
{
    error_ = one_finding("frame", std::move(message));
    buffer_.clear();
    read_offset_ = 0;
    return error_;
}

std::string encode_frame(std::string_view key, std::string_view content)
{
    std::string out;
    frame_writer{key}.append(out, content);
    return out;
}

std::string sign_packet(const authenticator& key, std::string_view content)
{
    std::string out{as_text(key.compute_tag(packet_sequence_number, content))};
    out += content;
    return out;
}

result<std::string_view> verify_packet(const authenticator& key, std::string_view packet)
{
    if (packet.size() < auth_tag_size) {
        return one_finding("packet", "has " + std::to_string(packet.size()) +
                                         " bytes, fewer than an authentication tag");
    }
    const auto content = packet.substr(auth_tag_size);
    if (!key.verify(packet_sequence_number, content, packet.substr(0, auth_tag_size))) {
        return one_finding("packet", "authentication tag does not match");
    }
    return content;
}

} // namespace endivelatch
