#include "endivelatch/wire/frame.hpp"

#include <utility>

namespace endivelatch {
namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_offset = 1;
constexpr std::size_t length_size = 4;
constexpr std::size_t code_offset = length_offset + length_size;

/// Position under which packets are sealed; no frame of a connection reaches it.
constexpr std::uint64_t packet_position = ~std::uint64_t{0};

/// Buffered bytes above which memory of consumed frames is released.
constexpr std::size_t compaction_size = 65'536;

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

std::string_view as_text(const auth_tag& code)
{
    return {code.data(), code.size()};
}

} // namespace

void frame_writer::append(std::string& out, std::string_view content)
{
    out += static_cast<char>(frame_version);
    append_length(out, content.size());
    out += as_text(authenticator_.compute_tag(position_, content));
    out += content;
    ++position_;
}

void frame_reader::feed(std::string_view bytes)
{
    if (begin_ == buffer_.size()) {
        buffer_.clear();
        begin_ = 0;
    }
    if (begin_ >= compaction_size) {
        buffer_.erase(0, begin_);
        begin_ = 0;
    }
    buffer_ += bytes;
}

std::optional<result<std::string_view>> frame_reader::next()
{
    if (!fault_.empty()) {
        return fault_;
    }
    const auto rest = std::string_view{buffer_}.substr(begin_);
    if (rest.empty()) {
        return std::nullopt;
    }
    const auto version = static_cast<std::uint8_t>(rest.front());
    if (version != frame_version) {
        return fail("version " + std::to_string(version) + " is not " +
                    std::to_string(frame_version));
    }
    if (rest.size() < code_offset) {
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
    if (!authenticator_.verify(position_, content, rest.substr(code_offset, auth_tag_size))) {
        return fail("authentication code of frame " + std::to_string(position_) + " does not fit");
    }
    ++position_;
    begin_ += frame_header_size + size;
    return content;
}

result<std::string_view> frame_reader::fail(std::string message)
{
    fault_ = one_finding("frame", std::move(message));
    buffer_.clear();
    begin_ = 0;
    return fault_;
}

std::string encode_frame(std::string_view key, std::string_view content)
{
    std::string out;
    frame_writer{key}.append(out, content);
    return out;
}

std::string sign_packet(const authenticator& key, std::string_view content)
{
    std::string out{as_text(key.compute_tag(packet_position, content))};
    out += content;
    return out;
}

result<std::string_view> verify_packet(const authenticator& key, std::string_view packet)
{
    if (packet.size() < auth_tag_size) {
        return one_finding("packet", "has " + std::to_string(packet.size()) +
                                         " bytes, fewer than its authentication code");
    }
    const auto content = packet.substr(auth_tag_size);
    if (!key.verify(packet_position, content, packet.substr(0, auth_tag_size))) {
        return one_finding("packet", "authentication code does not fit");
    }
    return content;
}

} // namespace endivelatch
