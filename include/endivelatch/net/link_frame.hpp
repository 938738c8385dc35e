#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/result.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Framing layer of the links between routers, below the messages.
namespace endivelatch {

/// The identity that a router states in its hello.
struct link_peer {
    router_id id;
    incarnation run;

    friend bool operator==(const link_peer&, const link_peer&) = default;
};

/// The type of a frame. The values are the bytes on the wire.
enum class link_frame_kind : char {
    data = 'D',            ///< Carries content. The number is the sender's sequence number.
    acknowledgement = 'A', ///< Cumulative: the number is the highest data frame received.
    ping = 'P',            ///< Requests an immediate acknowledgement.
};

/// A decoded frame, or one to be encoded.
struct link_frame {
    link_frame_kind kind = link_frame_kind::data;
    std::uint64_t number = 0;
    std::string_view content;
};

/// Encodes a frame as kind (1 byte), number (8 bytes, big endian) and content.
std::string encode_link_frame(const link_frame& frame);

/// Decodes a frame. Returns nullopt when the bytes are malformed; the content is a view into them.
std::optional<link_frame> decode_link_frame(std::string_view bytes);

/// Encrypts and decrypts the frames of one connection. The first frame each way is a hello.
template <class T>
concept link_codec = requires(T codec, std::string& out, std::string_view bytes)
{
    codec.append_hello(out);  // Appends the local hello.
    codec.append(out, bytes); // Appends an encoded frame; requires `is_open`.
    codec.feed(bytes);        // Appends received bytes to the input.
    {
        codec.next() // Returns the next decoded frame after the hello, or findings.
        } -> std::same_as<std::optional<result<std::string_view>>>;
    {
        codec.is_open() // Returns whether the hello of the peer was received.
        } -> std::convertible_to<bool>;
    {
        codec.peer() // Returns the identity of the peer; requires `is_open`.
        } -> std::convertible_to<link_peer>;
};

} // namespace endivelatch
