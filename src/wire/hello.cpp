#include "endivelatch/wire/hello.hpp"

#include "endivelatch/base/digest.hpp"
#include "wire/message_structs.hpp"
#include "wire/thrift_buffer.hpp"

#include <utility>

namespace endivelatch {
namespace {

/// Decodes a hello; throws on malformed input.
link_hello read_hello(std::string_view bytes)
{
    thrift_reader reader{bytes};
    thrift_wire::link_hello hello;
    reader.read(hello);
    if (!reader.at_end()) {
        throw invalid_encoding{"trailing bytes after the hello"};
    }
    if (hello.nonce.size() != nonce_size) {
        throw invalid_encoding{"nonce has " + std::to_string(hello.nonce.size()) + " bytes"};
    }
    return {router_id{std::move(hello.sender)}, incarnation{to_unsigned(hello.sender_run)},
            std::move(hello.nonce)};
}

} // namespace

std::string encode(const link_hello& hello)
{
    thrift_wire::link_hello out;
    out.sender = hello.from.str();
    out.sender_run = to_signed(hello.from_run.value());
    out.nonce = hello.nonce;
    thrift_writer writer;
    writer.write(out);
    return std::string{writer.bytes()};
}

result<link_hello> decode_hello(std::string_view bytes)
{
    if (bytes.size() > max_hello_size) {
        return one_finding("hello", "has " + std::to_string(bytes.size()) +
                                        " bytes, the limit is " + std::to_string(max_hello_size));
    }
    try {
        return read_hello(bytes);
    }
    catch (const std::exception& e) {
        return one_finding("hello", e.what());
    }
}

std::string derive_frame_key(std::string_view fleet_key, const link_hello& sender,
                             const link_hello& receiver)
{
    return hmac_sha256(fleet_key, "link" + encode(sender) + encode(receiver));
}

} // namespace endivelatch
