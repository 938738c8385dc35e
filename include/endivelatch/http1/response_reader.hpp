#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace endivelatch {

/// The status line and headers of an answer, as they were received.
struct response_head {
    int status = 0;
    http_headers headers; ///< Names in the letter case received.
    bool keeps_alive = false;
    bool is_close_delimited = false;     ///< Neither a length nor chunks mark the end.
    std::optional<std::uint64_t> length; ///< Bytes of the body, when the head tells.
};

/// What an answer reader reports.
struct response_callbacks {
    std::function<void(response_head&&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
};

/// Reads the answers of one connection, one after another. Interim answers (1xx) are dropped.
class response_reader {
public:
    explicit response_reader(response_callbacks callbacks);
    ~response_reader();
    response_reader(response_reader&&) = delete;
    response_reader& operator=(response_reader&&) = delete;
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Takes bytes up to the end of the current answer; returns how many were taken.
    std::size_t feed(std::string_view bytes);

    /// Tells that the sender closed its side in order, which may end the answer.
    void end_of_input();

    /// Returns whether the bytes received are no answer.
    bool has_failed() const;

    /// Returns whether the current answer has been read whole.
    bool is_complete() const;

    /// Starts over with the next answer; `to_head_request` if it answers HEAD and has no body.
    void next(bool to_head_request);

private:
    struct parser;
    std::unique_ptr<parser> parser_;
};

} // namespace endivelatch
