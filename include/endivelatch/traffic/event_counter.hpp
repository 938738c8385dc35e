#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace endivelatch {

/// Counts the complete events of an event stream (text/event-stream) without buffering its bytes.
/// Comments and `retry` fields are no events: a target may send them before its first one.
class event_counter {
public:
    /// Processes received bytes.
    void feed(std::string_view bytes);

    /// Returns the number of events whose terminating empty line was received.
    std::uint64_t complete_events() const { return complete_events_; }

    /// Returns the number of bytes since the last one that belongs to a field: empty lines and
    /// comments, which keep a connection alive but carry nothing.
    std::uint64_t idle_bytes() const { return idle_bytes_; }

    /// Returns whether a part of an event was received after the last complete one.
    bool has_partial_event() const { return has_event_field_ || is_event_field(); }

    /// Returns whether a part of a line was received after the last complete one.
    bool has_partial_line() const { return line_size_ > 0; }

private:
    /// Returns whether the current line is surely a field that belongs to an event.
    bool is_event_field() const { return line_size_ > 0 && !is_comment_ && !may_be_retry_; }
    void end_line();

    std::uint64_t complete_events_ = 0;
    std::uint64_t idle_bytes_ = 0;
    bool has_event_field_ = false; ///< Complete lines since the last event hold a field of one.
    std::size_t line_size_ =
        0;                    ///< Bytes of the current line, without carriage returns at its start.
    bool is_comment_ = false; ///< The current line begins with a colon.
    bool may_be_retry_ = true; ///< The current line begins with `retry:` or a part of it.
};

} // namespace endivelatch
