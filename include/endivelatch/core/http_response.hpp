#pragma once

#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/core/effect.hpp"

#include <string>
#include <string_view>

/// The form of answers to callers: error bodies, streams and their end.
namespace endivelatch {

/// Returns an answer that refuses a request before it was routed.
http_respond refusal_response(exchange_number exchange, int status, const findings& faults);

/// Returns the answer to a request that did not complete and whose answer has not begun.
http_respond outcome_response(exchange_number exchange, const answer_end& end);

/// Returns the beginning of a streamed answer; `token` names the request for a resume.
http_begin_stream stream_response(exchange_number exchange, const std::string& token,
                                  const answer_begin& begin);

/// Returns one event of the target as the caller receives it, numbered for a resume.
payload stream_event(const answer_event& event);

/// Returns the last event of a stream, which states the outcome and how many events it has.
payload stream_end(const answer_end& end);

/// Returns a whole answer that was not streamed.
http_respond buffered_response(exchange_number exchange, const std::string& token,
                               const answer_begin& begin, std::string body);

} // namespace endivelatch
