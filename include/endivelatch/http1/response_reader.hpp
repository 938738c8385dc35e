#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace endivelatch {

/// The status line and headers of a response, as received.
struct response_head {
    int status = 0;
    http_headers headers; ///< Names keep their case.
    bool keeps_alive = false;
    bool is_close_delimited = false;     ///< The body ends when the connection closes.
    std::optional<std::uint64_t> length; ///< Body size in bytes, from `Content-Length`.
};

/// Callbacks of a `response_reader`.
struct response_callbacks {
    std::function<void(response_head&&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
};

/// Incremental parser of the responses of one connection, one at a time. Interim responses (1xx)
/// are skipped; many in succession are an error.
class response_reader {
public:
    explicit response_reader(response_callbacks callbacks);
    ~response_reader();
    response_reader(response_reader&&) = delete;
    response_reader& operator=(response_reader&&) = delete;
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Consumes bytes up to the end of the current response; returns how many were consumed.
    std::size_t feed(std::string_view bytes);

    /// Signals an orderly shutdown by the sender, which completes a close-delimited response.
    void end_of_input();

    /// Returns whether the bytes received are not a valid response.
    bool has_failed() const;

    /// Returns whether the current response is complete.
    bool is_complete() const;

    /// Resets the state for the next response; `to_head_request` if it responds to HEAD and so has
    /// no
    /// body.
    void next(bool to_head_request);

private:
    struct parser;
    std::unique_ptr<parser> parser_;
};

} // namespace endivelatch
