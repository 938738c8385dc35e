#pragma once

#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/core/effect.hpp"

#include <string>
#include <string_view>

/// Construction of the HTTP responses that callers receive.
namespace endivelatch {

/// Returns the response to a request that was rejected before routing.
http_respond refusal_response(exchange_number exchange, int status, const findings& errors);

/// Returns the error response to a request that did not complete and has sent nothing to the
/// caller yet.
http_respond outcome_response(exchange_number exchange, const answer_end& end);

/// Returns the head of a streamed response. Callers use `token` to resume the stream.
http_begin_stream stream_response(exchange_number exchange, const std::string& token,
                                  const answer_begin& begin);

/// Returns a target's event with the event number as its `id`, by which callers resume the stream.
payload stream_event(const answer_event& event);

/// Returns the final event of a stream, which contains the outcome and the number of events.
payload stream_end(const answer_end& end);

/// Returns a complete response that is not streamed.
http_respond buffered_response(exchange_number exchange, const std::string& token,
                               const answer_begin& begin, std::string body);

} // namespace endivelatch
