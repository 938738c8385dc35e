#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 request parsing that rejects requests which two parsers could interpret differently, as
/// in request smuggling.
namespace endivelatch {

/// Why the bytes of a connection cannot be parsed as a request.
enum class request_parse_error {
    none,
    malformed,      ///< Not HTTP, or ambiguous; respond with 400 and close.
    head_too_large, ///< Respond with 431 and close.
    body_too_large, ///< Respond with 413 and close.
};

/// Bytes of chunk sizes, extensions and trailers that a chunked body may take in all, and beside
/// that for each byte of payload: chunks of one byte without extensions take five.
inline constexpr std::size_t free_chunk_overhead = 1'048'576;
inline constexpr std::size_t chunk_overhead_per_byte = 16;

/// Size limits of a request, in bytes.
struct request_limits {
    std::size_t head = 16'384;
    std::size_t body = 4'194'304;
};

/// The request line and headers of a request, as received.
struct request_head {
    std::string method;
    std::string target;   ///< Path and query, not percent-decoded.
    http_headers headers; ///< Names keep their case.
    bool keeps_alive = false;
    bool is_chunked = false;
};

/// Incremental parser of the requests of one connection, one at a time.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Consumes bytes up to the end of the current request; returns how many were consumed.
    std::size_t feed(std::string_view bytes);

    /// Returns whether any byte of the current request has been consumed.
    bool has_started() const;

    /// Returns whether the head of the current request is complete.
    bool has_head() const;

    /// Returns whether the current request is complete.
    bool is_complete() const;

    /// Returns the number of bytes of the body so far, without the overhead of chunks.
    std::size_t payload() const;

    /// Returns the size of the body that the head announces; zero without one or for chunks.
    std::size_t announced() const;

    /// Returns the bytes of memory that the current request takes.
    std::size_t held() const;

    /// Returns the error after which the connection cannot be used for further requests.
    request_parse_error error() const;

    /// Returns the parsed head; valid only if `has_head()`.
    const request_head& head() const;

    /// Moves the head out; valid only if `is_complete()`.
    request_head take_head();

    /// Moves the body out; valid only if `is_complete()`.
    std::string take_body();

    /// Resets the state for the next request.
    void next();

    /// Sets the limits that apply from the next request on; the current one keeps its limits.
    void set_limits(request_limits limits);

private:
    struct parser;
    std::unique_ptr<parser> parser_;
};

} // namespace endivelatch
