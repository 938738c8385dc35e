#pragma once

#include <cstdint>
#include <string_view>

namespace endivelatch {

/// Counts the complete events of an event stream (text/event-stream) without buffering its bytes.
class event_counter {
public:
    /// Processes received bytes.
    void feed(std::string_view bytes);

    /// Returns the number of events whose terminating empty line was received.
    std::uint64_t complete_events() const { return complete_events_; }

    /// Returns the number of bytes since the last one that belongs to a field: empty lines and
    /// comments, which keep a connection alive but carry nothing.
    std::uint64_t idle_bytes() const { return idle_bytes_; }

    /// Returns whether bytes were received since the last complete event.
    bool has_partial_event() const { return has_partial_event_; }

private:
    std::uint64_t complete_events_ = 0;
    bool has_partial_event_ = false;
    std::uint64_t idle_bytes_ = 0;
    bool is_line_empty_ = true; ///< No byte of the current line was received but a carriage return.
    bool is_comment_ = false;   ///< The current line begins with a colon.
};

} // namespace endivelatch
