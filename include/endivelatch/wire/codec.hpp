#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

/// Encoding and decoding of peer messages and gossip packets (Thrift compact protocol).
namespace endivelatch {

/// Largest encoded peer message, in bytes. Leaves room for a configuration object of the largest
/// size.
constexpr std::size_t max_message_size = 4'000'000;

/// Largest encoded gossip packet, in bytes, without its authentication tag.
constexpr std::size_t max_gossip_size = 1'200;

/// Returns the encoded message.
std::string encode(const peer_envelope& message);

/// Appends the encoded message to `out`.
void encode_to(std::string& out, const peer_envelope& message);

/// Decodes a message, or returns findings. Never throws on malformed input.
result<peer_envelope> decode_message(std::string_view bytes);

/// Short name for `decode_message`, the counterpart of `encode`.
inline result<peer_envelope> decode(std::string_view bytes)
{
    return decode_message(bytes);
}

/// Returns the encoded packet.
std::string encode(const gossip_packet& packet);

/// Decodes a packet, or returns findings. Never throws on malformed input.
result<gossip_packet> decode_gossip(std::string_view bytes);

} // namespace endivelatch
