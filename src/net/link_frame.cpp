#include "endivelatch/net/link_frame.hpp"

namespace endivelatch {

namespace {

/// Size in bytes of the kind and the number.
constexpr std::size_t header_size = 1 + 8;

} // namespace

std::string encode_link_frame(const link_frame& frame)
{
    std::string bytes;
    bytes.reserve(header_size + frame.content.size());
    bytes += static_cast<char>(frame.kind);
    for (unsigned shift = 64; shift > 0; shift -= 8) {
        bytes += static_cast<char>(frame.number >> (shift - 8) & 0xFFU);
    }
    bytes += frame.content;
    return bytes;
}

std::optional<link_frame> decode_link_frame(std::string_view bytes)
{
    if (bytes.size() < header_size) {
        return std::nullopt;
    }
    const auto kind = static_cast<link_frame_kind>(bytes.front());
    if (kind != link_frame_kind::data && kind != link_frame_kind::acknowledgement &&
        kind != link_frame_kind::ping) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    for (const char c : bytes.substr(1, header_size - 1)) {
        number = number << 8U | static_cast<unsigned char>(c);
    }
    return link_frame{kind, number, bytes.substr(header_size)};
}

} // namespace endivelatch
