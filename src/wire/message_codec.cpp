#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/wire/codec.hpp"
#include "wire/message_structs.hpp"
#include "wire/thrift_buffer.hpp"

#include <thrift/TApplicationException.h>

#include <utility>

namespace endivelatch {
namespace {

using kind = thrift_wire::message_kind;

/// Builds the header; the kind is the index within the variant plus one.
thrift_wire::message_header to_header(const peer_envelope& message)
{
    thrift_wire::message_header header;
    header.sender = message.from.str();
    header.sender_run = to_signed(message.from_incarnation.value());
    header.stamp_wall_us = message.stamp.wall_us;
    header.stamp_counter = to_signed(message.stamp.counter);
    header.kind = static_cast<std::int32_t>(message.body.index()) + 1;
    return header;
}

/// Reads a struct and converts it to a message.
template <class Struct>
peer_message read_body(thrift_reader& reader)
{
    Struct body;
    reader.read(body);
    return from_struct(std::move(body));
}

/// Reads the body that the kind selects; throws on an unknown kind.
peer_message read_body(thrift_reader& reader, std::int32_t message_kind)
{
    switch (message_kind) {
    case kind::forward_request:
        return read_body<thrift_wire::forward_request>(reader);
    case kind::answer_begin:
        return read_body<thrift_wire::answer_begin>(reader);
    case kind::answer_event:
        return read_body<thrift_wire::answer_event>(reader);
    case kind::answer_end:
        return read_body<thrift_wire::answer_end>(reader);
    case kind::cancel_request:
        return read_body<thrift_wire::cancel_request>(reader);
    case kind::answer_credit:
        return read_body<thrift_wire::answer_credit>(reader);
    case kind::resume_request:
        return read_body<thrift_wire::resume_request>(reader);
    case kind::status_query:
        return read_body<thrift_wire::status_query>(reader);
    case kind::status_answer:
        return read_body<thrift_wire::status_answer>(reader);
    case kind::handover_query:
        return read_body<thrift_wire::handover_query>(reader);
    case kind::handover_answer:
        return read_body<thrift_wire::handover_answer>(reader);
    case kind::booking_request:
        return read_body<thrift_wire::booking_request>(reader);
    case kind::config_query:
        return read_body<thrift_wire::config_query>(reader);
    case kind::config_update:
        return read_body<thrift_wire::config_update>(reader);
    case kind::heartbeat:
        return read_body<thrift_wire::heartbeat>(reader);
    default:
        throw invalid_encoding{"unknown message kind " + std::to_string(message_kind)};
    }
}

/// Decodes a message; throws on malformed input.
peer_envelope read_message(std::string_view bytes)
{
    thrift_reader reader{bytes};
    thrift_wire::message_header header;
    reader.read(header);
    peer_envelope message;
    message.from = router_id{std::move(header.sender)};
    message.from_incarnation = incarnation{to_unsigned(header.sender_run)};
    message.stamp = {header.stamp_wall_us, to_unsigned(header.stamp_counter)};
    message.body = read_body(reader, header.kind);
    if (!reader.at_end()) {
        throw invalid_encoding{"trailing bytes after the message"};
    }
    return message;
}

} // namespace

void encode_to(std::string& out, const peer_envelope& message)
{
    thrift_writer writer;
    writer.write(to_header(message));
    std::visit([&](const auto& body) { writer.write(to_struct(body)); }, message.body);
    out += writer.bytes();
}

std::string encode(const peer_envelope& message)
{
    std::string out;
    encode_to(out, message);
    return out;
}

result<peer_envelope> decode_message(std::string_view bytes)
{
    if (bytes.size() > max_message_size) {
        return one_finding("message", "has " + std::to_string(bytes.size()) +
                                          " bytes, the limit is " +
                                          std::to_string(max_message_size));
    }
    try {
        return read_message(bytes);
    }
    catch (const std::exception& e) {
        return one_finding("message", e.what());
    }
}

} // namespace endivelatch
