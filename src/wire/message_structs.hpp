#pragma once

#include "endivelatch/wire/message.hpp"

#include <endivelatch_types.h>

#include <stdexcept>
#include <type_traits>

/// Conversions between messages and the generated Thrift structs.
namespace endivelatch {

/// Thrown within the decoder when a value is invalid. The decoder catches it.
class invalid_encoding : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the signed number with the same bits; Thrift has no unsigned integers.
template <class Number>
constexpr auto to_signed(Number n)
{
    return static_cast<std::make_signed_t<Number>>(n);
}

/// Returns the unsigned number with the same bits.
template <class Number>
constexpr auto to_unsigned(Number n)
{
    return static_cast<std::make_unsigned_t<Number>>(n);
}

thrift_wire::forward_request to_struct(const forward_request& it);
thrift_wire::answer_begin to_struct(const answer_begin& it);
thrift_wire::answer_event to_struct(const answer_event& it);
thrift_wire::answer_end to_struct(const answer_end& it);
thrift_wire::cancel_request to_struct(const cancel_request& it);
thrift_wire::answer_credit to_struct(const answer_credit& it);
thrift_wire::resume_request to_struct(const resume_request& it);
thrift_wire::status_query to_struct(const status_query& it);
thrift_wire::status_answer to_struct(const status_answer& it);
thrift_wire::handover_query to_struct(const handover_query& it);
thrift_wire::handover_answer to_struct(const handover_answer& it);
thrift_wire::booking_request to_struct(const booking_request& it);
thrift_wire::config_query to_struct(const config_query& it);
thrift_wire::config_update to_struct(const config_update& it);
thrift_wire::heartbeat to_struct(const heartbeat& it);

forward_request from_struct(thrift_wire::forward_request&& it);
answer_begin from_struct(thrift_wire::answer_begin&& it);
answer_event from_struct(thrift_wire::answer_event&& it);
answer_end from_struct(thrift_wire::answer_end&& it);
cancel_request from_struct(thrift_wire::cancel_request&& it);
answer_credit from_struct(thrift_wire::answer_credit&& it);
resume_request from_struct(thrift_wire::resume_request&& it);
status_query from_struct(thrift_wire::status_query&& it);
status_answer from_struct(thrift_wire::status_answer&& it);
handover_query from_struct(thrift_wire::handover_query&& it);
handover_answer from_struct(thrift_wire::handover_answer&& it);
booking_request from_struct(thrift_wire::booking_request&& it);
config_query from_struct(thrift_wire::config_query&& it);
config_update from_struct(thrift_wire::config_update&& it);
heartbeat from_struct(thrift_wire::heartbeat&& it);

} // namespace endivelatch
