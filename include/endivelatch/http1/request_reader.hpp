#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

/// Reading of HTTP/1.1 requests that refuses whatever two readers could understand differently.
namespace endivelatch {

/// Why the bytes of a connection cannot be read as a request.
enum class request_parse_error {
    none,
    malformed,      ///< Not HTTP, or ambiguous where the request ends; answer 400 and close.
    head_too_large, ///< Answer 431 and close.
    body_too_large, ///< Answer 413 and close.
};

/// Largest sizes of a request, in bytes.
struct request_limits {
    std::size_t head = 16'384;
    std::size_t body = 4'194'304;
};

/// The start line and headers of a request, as they were received.
struct request_head {
    std::string method;
    std::string target;   ///< Path and query, undecoded.
    http_headers headers; ///< Names in the letter case received.
    bool keeps_alive = false;
    bool is_chunked = false;
};

/// Reads the requests of one connection, one after another.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Takes bytes up to the end of the current request; returns how many were taken.
    std::size_t feed(std::string_view bytes);

    /// Returns whether any byte of the current request has been taken.
    bool has_started() const;

    /// Returns whether the head of the current request is whole.
    bool has_head() const;

    /// Returns whether the current request is whole.
    bool is_complete() const;

    /// Returns why the connection can carry no further request.
    request_parse_error error() const;

    /// The head read; only once `has_head`.
    const request_head& head() const;

    /// Takes the body out; only once `is_complete`.
    std::string take_body();

    /// Starts over with the next request.
    void next();

    /// Sets the limits that apply from the next request on.
    void set_limits(request_limits limits);

private:
    struct parser;
    std::unique_ptr<parser> parser_;
};

} // namespace endivelatch
