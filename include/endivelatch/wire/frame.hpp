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
/// A frame consists of: version (1 byte), length of the content (4 bytes, big endian),
/// authentication tag (16 bytes), content. The tag covers the frame's sequence number on the
/// connection and the content.
namespace endivelatch {

/// Version of the frame layout.
constexpr std::uint8_t frame_version = 1;

/// Size of the fields before the content, in bytes.
constexpr std::size_t frame_header_size = 1 + 4 + auth_tag_size;

/// Encodes and authenticates the frames of one direction of one connection.
class frame_writer {
public:
    /// Takes the key of this direction, see `derive_frame_key`.
    explicit frame_writer(std::string_view key) : authenticator_{key} {}

    /// Appends a frame with the content to `out`.
    void append(std::string& out, std::string_view content);

private:
    authenticator authenticator_;
    std::uint64_t next_sequence_number_ = 0; ///< Counts the frames of the connection.
};

/// Decodes and verifies the frames of one direction of one connection.
/// An error is permanent: every later call returns it, and the connection has to be closed.
class frame_reader {
public:
    /// Takes the key of this direction and the largest accepted content size, in bytes.
    frame_reader(std::string_view key, std::size_t max_content)
        : authenticator_{key}, max_content_{max_content}
    {
    }

    /// Appends received bytes to the buffer.
    void feed(std::string_view bytes);

    /// Returns the content of the next frame, nothing while the frame is incomplete, or findings.
    /// The view is valid until the next call to `feed`.
    std::optional<result<std::string_view>> next();

    /// Returns the number of received bytes that `next` has not consumed.
    std::size_t buffered_bytes() const { return buffer_.size() - read_offset_; }

private:
    /// Records the error, discards the buffer and returns the error.
    result<std::string_view> fail(std::string message);

    authenticator authenticator_;
    std::size_t max_content_;
    std::uint64_t next_sequence_number_ = 0; ///< Counts the frames of the connection.
    std::string buffer_;
    std::size_t read_offset_ = 0; ///< Start of the next frame within the buffer.
    findings error_;
};

/// Returns the content as the first frame of a connection.
std::string encode_frame(std::string_view key, std::string_view content);

/// Returns a gossip packet: authentication tag (16 bytes), then the content.
/// Replayed packets are recognised by the number in the content, see `gossip_packet::number`.
std::string sign_packet(const authenticator& key, std::string_view content);

/// Returns the content of a packet whose tag matches, or findings.
result<std::string_view> verify_packet(const authenticator& key, std::string_view packet);

} // namespace endivelatch
