#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Parser for streams of server-sent events.
namespace endivelatch {

/// A parsed event with its original bytes.
struct sse_event {
    std::string raw;                 ///< The received bytes, including the terminating blank line.
    std::string data;                ///< Values of the `data` fields, joined by LF.
    std::optional<std::uint64_t> id; ///< Value of the `id` field, if numeric.

    /// Returns whether this is the event `data: [DONE]`, which terminates a stream.
    bool is_end() const { return data == "[DONE]"; }
};

/// Incremental parser of an event stream. Lines may end in LF or CRLF.
class sse_reader {
public:
    explicit sse_reader(std::size_t max_event = default_max_event) : max_event_{max_event} {}

    /// Default size limit of an event in bytes.
    static constexpr std::size_t default_max_event = 1'048'576;

    /// Appends received bytes.
    void feed(std::string_view bytes) { buf_.append(bytes); }

    /// Returns the next complete event, or nullopt when more bytes are needed.
    std::optional<sse_event> next();

    /// Returns whether an incomplete event exceeds the size limit.
    bool is_too_large() const { return buf_.size() - begin_ > max_event_; }

    /// Returns whether the buffer holds part of an incomplete event.
    bool has_partial_event() const { return begin_ < buf_.size(); }

private:
    std::size_t max_event_;
    std::string buf_;
    std::size_t begin_ = 0;   ///< Start of the first event not yet returned.
    std::size_t scanned_ = 0; ///< Start of the first line not yet scanned.
};

} // namespace endivelatch
