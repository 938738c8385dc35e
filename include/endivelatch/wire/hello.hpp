#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

/// Handshake of a link: the first frame in each direction is a hello with the sender's identity
/// and a nonce.
///
/// Both hellos are authenticated with the fleet key. All later frames are authenticated with keys
/// derived from both nonces, so frames replayed from another connection are rejected.
namespace endivelatch {

/// Size of a nonce, in bytes.
constexpr std::size_t nonce_size = 16;

/// Largest encoded hello, in bytes.
constexpr std::size_t max_hello_size = 512;

/// Identifies one end of a link.
struct link_hello {
    router_id from;
    incarnation from_run;
    std::string nonce; ///< Random bytes, generated for each connection.

    friend bool operator==(const link_hello&, const link_hello&) = default;
};

/// Returns the encoded hello, the content of a frame.
std::string encode(const link_hello& hello);

/// Decodes a hello, or returns findings. Never throws on malformed input.
result<link_hello> decode_hello(std::string_view bytes);

/// Returns the authentication key of the frames that `sender` sends to `receiver`.
std::string derive_frame_key(std::string_view fleet_key, const link_hello& sender,
                             const link_hello& receiver);

} // namespace endivelatch
