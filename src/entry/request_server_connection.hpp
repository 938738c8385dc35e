#pragma once

#include "endivelatch/entry/request_server.hpp"

namespace endivelatch {

/// A connection of a client.
struct request_server::connection {
    connection(std::uint64_t n, request_limits sizes) : number{n}, reader{sizes} {}

    std::uint64_t number;
    std::unique_ptr<tcp_stream> stream;
    request_reader reader;
    std::string pending; ///< Received bytes that are not parsed yet.
    exchange_number exchange;
    bool is_busy = false;             ///< A request has no complete answer yet.
    bool keeps_alive = true;          ///< Accepts another request after this answer.
    bool is_chunked = false;          ///< The answer uses the chunked transfer coding.
    bool has_no_body = false;         ///< The answer has no body, as for HEAD.
    bool closes_when_written = false; ///< Closes once all bytes are written.
    bool is_refused = false;          ///< What arrives is discarded, before and after the answer.
    bool has_lost_input = false;      ///< Received bytes were discarded for want of memory.
    time_point last_activity{};       ///< Start of the last request or end of the last answer.
    body_progress body;
    reading_progress reading;
    std::size_t held = 0;         ///< Bytes of requests counted in the budget.
    std::size_t discarded = 0;    ///< Bytes received after the request was refused.
    std::size_t unsent = 0;       ///< Bytes of answers counted in the budget.
    std::size_t request_held = 0; ///< Of `held`, bytes of the request that is being answered.
};

} // namespace endivelatch
