#pragma once

#include "endivelatch/core/entry_requests.hpp"
#include "endivelatch/core/outbox.hpp"

#include <string>
#include <unordered_map>

namespace endivelatch {

/// Builds the HTTP responses to callers from the outputs of their requests. Responses that are
/// not streamed are buffered until they end.
class exchange_responses {
public:
    /// Handles one part of the response to an exchange.
    void on_output(exchange_number exchange, const sink_output& output, outbox& out);

    /// Discards the response of an exchange whose caller has disconnected.
    void on_closed(exchange_number exchange) { responses_.erase(exchange); }

private:
    struct pending_response {
        answer_begin begin;
        std::string token;
        std::string body; ///< Parts received so far of a response that is not streamed.
        bool begun = false;
        bool streaming = false;
        bool too_large = false;
    };

    void on_begin(exchange_number exchange, const sink_output& output, const answer_begin& part,
                  outbox& out);
    void on_event(exchange_number exchange, const answer_event& part, outbox& out);
    void on_end(exchange_number exchange, const answer_end& part, outbox& out);

    std::unordered_map<exchange_number, pending_response> responses_;
};

} // namespace endivelatch
