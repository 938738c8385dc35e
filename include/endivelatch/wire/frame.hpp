#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/wire/authenticator.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Authenticated frames on the TCP links between routers.
///
/// A frame is: version (1 byte), length of its content (4 bytes, big endian), authentication
/// code (16 bytes), content. The code covers the frame's position on the connection, the version
/// and the content.
namespace endivelatch {

/// Version of the frame's layout.
constexpr std::uint8_t frame_version = 1;

/// Bytes before the content.
constexpr std::size_t frame_header_size = 1 + 4 + auth_tag_size;

/// Seals the frames of one direction of one connection.
class frame_writer {
public:
    /// Takes the key of this direction, see `derive_frame_key`.
    explicit frame_writer(std::string_view key) : authenticator_{key} {}

    /// Appends the sealed frame to `out`.
    void append(std::string& out, std::string_view content);

private:
    authenticator authenticator_;
    std::uint64_t position_ = 0; ///< Of the next frame on the connection.
};

/// Opens the frames of one direction of one connection.
/// After a fault the connection is of no use, and all calls return that fault.
class frame_reader {
public:
    /// Takes the key of this direction and the largest content, in bytes.
    frame_reader(std::string_view key, std::size_t max_content)
        : authenticator_{key}, max_content_{max_content}
    {
    }

    /// Adds received bytes.
    void feed(std::string_view bytes);

    /// Returns the next content, nothing while bytes are missing, or findings.
    /// The view is valid until the next call of `feed`.
    std::optional<result<std::string_view>> next();

    /// Returns how many bytes wait for the rest of their frame.
    std::size_t buffered_bytes() const { return buffer_.size() - begin_; }

private:
    /// Records the fault and returns it.
    result<std::string_view> fail(std::string message);

    authenticator authenticator_;
    std::size_t max_content_;
    std::uint64_t position_ = 0; ///< Of the next frame on the connection.
    std::string buffer_;
    std::size_t begin_ = 0; ///< Where the next frame begins within the buffer.
    findings fault_;
};

/// Returns one frame, sealed as the first of a connection.
std::string encode_frame(std::string_view key, std::string_view content);

/// Seals gossip packets: code (16 bytes), then the content.
/// Recorded packets are recognised by the numbers inside, see `gossip_packet::number`.
std::string sign_packet(const authenticator& key, std::string_view content);

/// Returns the content of a sealed packet, or what is wrong with it.
result<std::string_view> verify_packet(const authenticator& key, std::string_view packet);

} // namespace endivelatch
