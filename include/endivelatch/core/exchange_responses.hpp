#pragma once

#include "endivelatch/core/entry_requests.hpp"
#include "endivelatch/core/outbox.hpp"

#include <string>
#include <unordered_map>

namespace endivelatch {

/// The answers that this router writes to callers, each until it has ended.
class exchange_responses {
public:
    /// Takes one part of an answer for an exchange.
    void take(exchange_number exchange, const sink_output& output, outbox& out);

    /// Forgets an exchange whose caller has gone.
    void closed(exchange_number exchange) { answers_.erase(exchange); }

private:
    struct answer {
        answer_begin begin;
        std::string token;
        std::string body; ///< Collected parts of an answer that is not streamed.
        bool begun = false;
        bool streaming = false;
        bool too_large = false;
    };

    void take_begin(exchange_number exchange, const sink_output& output, const answer_begin& part,
                    outbox& out);
    void take_event(exchange_number exchange, const answer_event& part, outbox& out);
    void take_end(exchange_number exchange, const answer_end& part, outbox& out);

    std::unordered_map<exchange_number, answer> answers_;
};

} // namespace endivelatch
